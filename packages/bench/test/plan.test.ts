import {TargetKind} from '@shallotloom/core/configuration.ts';
import {
	defaultDeploymentOptions, createFirstRelease, planDeployment, sha256,
} from '../src/deployment/plan.ts';

test('the default deployment has the required size', () => {
	const {routers, targets, prefixes} = planDeployment(defaultDeploymentOptions);
	expect(routers).toHaveLength(9);
	expect(targets.filter(({kind}) => kind === TargetKind.Engine)).toHaveLength(12);
	expect(targets.filter(({kind}) => kind === TargetKind.Service)).toHaveLength(3);
	expect(defaultDeploymentOptions.workspaces).toHaveLength(16);
	expect(prefixes).toEqual({'127.0.2.': 'suva', '127.0.3.': 'lautoka', '127.0.4.': 'labasa'});
});

test('every process has a unique id and address, and the address is in its failure domain', () => {
	const {routers, targets, prefixes} = planDeployment(defaultDeploymentOptions);
	const all = [...routers, ...targets];
	for (const {address, failureDomain} of all) {
		expect(prefixes[address.slice(0, address.lastIndexOf('.') + 1)]).toBe(failureDomain);
	}

	expect(new Set(all.map(({id}) => id)).size).toBe(all.length);
	expect(new Set(all.map(({address}) => address)).size).toBe(all.length);
});

test('the first release contains the hashes of keys, not the keys', () => {
	const {targets} = planDeployment(defaultDeploymentOptions);
	const {added} = createFirstRelease(defaultDeploymentOptions, targets.map(target => ({...target, url: `http://${target.address}`})));
	const [workspace] = defaultDeploymentOptions.workspaces;
	expect(added.workspaces[0]?.keyHash).toBe(sha256(workspace?.key ?? ''));
	expect(JSON.stringify(added)).not.toContain(workspace?.key);
	expect(added.targets).toHaveLength(15);
});
