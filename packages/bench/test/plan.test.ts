import {TargetKind} from '@shallotloom/core/configuration.ts';
import {
	deploymentDefaults, firstRelease, planDeployment, sha256,
} from '../src/deployment/plan.ts';

test('the default deployment has the sizes of the brief', () => {
	const {routers, targets, prefixes} = planDeployment(deploymentDefaults);
	expect(routers).toHaveLength(9);
	expect(targets.filter(({kind}) => kind === TargetKind.Engine)).toHaveLength(12);
	expect(targets.filter(({kind}) => kind === TargetKind.Service)).toHaveLength(3);
	expect(deploymentDefaults.workspaces).toHaveLength(16);
	expect(prefixes).toEqual({'127.0.2.': 'suva', '127.0.3.': 'lautoka', '127.0.4.': 'labasa'});
});

test('every process lies in the failure domain of its address, with an id and an address of its own', () => {
	const {routers, targets, prefixes} = planDeployment(deploymentDefaults);
	const all = [...routers, ...targets];
	for (const {address, failureDomain} of all) {
		expect(prefixes[address.slice(0, address.lastIndexOf('.') + 1)]).toBe(failureDomain);
	}

	expect(new Set(all.map(({id}) => id)).size).toBe(all.length);
	expect(new Set(all.map(({address}) => address)).size).toBe(all.length);
});

test('the first release holds hashes of keys, not the keys', () => {
	const {targets} = planDeployment(deploymentDefaults);
	const {added} = firstRelease(deploymentDefaults, targets.map(target => ({...target, url: `http://${target.address}`})));
	const [workspace] = deploymentDefaults.workspaces;
	expect(added.workspaces[0]?.keyHash).toBe(sha256(workspace?.key ?? ''));
	expect(JSON.stringify(added)).not.toContain(workspace?.key);
	expect(added.targets).toHaveLength(15);
});
