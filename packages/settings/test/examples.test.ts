import {readdirSync} from 'node:fs';
import {createEmptyConfiguration, TargetKind} from '@shallotloom/core/configuration.ts';
import {applyNote} from '@shallotloom/core/release.ts';
import {loadReleaseNote} from '../src/release-note.ts';
import {loadRouterSettings, type RouterSettings} from '../src/router-settings.ts';

async function loadRouters(name: string): Promise<RouterSettings[]> {
	const directory = `examples/${name}/routers`;
	return Promise.all(readdirSync(directory).map(async file => {
		const result = await loadRouterSettings(`${directory}/${file}`);
		if (result.kind !== 'ok') {
			throw new Error(`${file}: ${JSON.stringify(result.problems)}`);
		}

		expect(file).toBe(`${result.settings.router.id}.yaml`);
		return result.settings;
	}));
}

describe.each([
	{
		name: 'council', domains: ['suva', 'lautoka', 'labasa'], routers: 9, engines: 12,
	},
	{
		name: 'straw-works', domains: ['waco-a', 'temple-b', 'killeen-c'], routers: 8, engines: 8,
	},
])('example $name', ({name, domains, routers, engines}) => {
	test('all routers have distinct addresses and cover the failure domains of the release', async () => {
		const all = await loadRouters(name);
		expect(all).toHaveLength(routers);
		const addresses = all.flatMap(({listen}) => Object.values(listen));
		expect(new Set(addresses).size).toBe(addresses.length);
		expect(new Set(all.map(({router}) => router.failureDomain))).toEqual(new Set(domains));
	});

	test('the first release applies to an empty configuration', async () => {
		const loaded = await loadReleaseNote(`examples/${name}/release-1.yaml`);
		expect(loaded).toMatchObject({kind: 'ok'});
		const result = applyNote(createEmptyConfiguration(), loaded.kind === 'ok' ? loaded.settings : {});
		expect(result).toMatchObject({kind: 'ok'});
		const {targets, workspaces, failureDomains} = result.kind === 'ok' ? result.configuration : createEmptyConfiguration();
		const kinds = [...targets.values()].map(target => target.kind);
		expect([...failureDomains.keys()]).toEqual(domains);
		expect(kinds.filter(kind => kind === TargetKind.Engine)).toHaveLength(engines);
		expect(kinds.filter(kind => kind === TargetKind.Service)).toHaveLength(3);
		expect(workspaces.size).toBe(16);
	});
});
