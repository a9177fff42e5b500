import {Standing} from '../src/configuration.ts';
import {step} from '../src/step.ts';
import {applyOwnerRecord} from '../src/systems/ownership/owner-records.ts';
import {getRoutes} from '../src/systems/requests/routes.ts';
import {createWorld, type World} from '../src/world.ts';
import {createFleet} from './support/fleet.ts';

function createConfiguredWorld(): World {
	const fleet = createFleet({routers: {a: 'x', b: 'x'}, targets: {t1: 'x', t2: 'x'}});
	const other = fleet.worlds.get('a')!;
	fleet.runUntil(() => other.configuration.revision === 1, 5000);
	const world = createWorld({self: other.self, seed: 1, now: 0});
	world.configuration = other.configuration;
	return world;
}

function setOwner(world: World, target: string, owner: string, version: number) {
	applyOwnerRecord(world, target, version, {
		owner, incarnation: `${owner}#1`, epoch: version, nonce: '',
	});
}

test.each([
	{
		change: 'another owner', apply(world: World) {
			setOwner(world, 't1', 'b', 2);
		}, after: {a: ['t2'], b: ['t1']},
	},
	{
		change: 'a configuration that takes a target out', apply(world: World) {
			const targets = new Map(world.configuration.targets);
			targets.set('t1', {...targets.get('t1')!, standing: Standing.Out});
			world.configuration = {...world.configuration, targets};
		}, after: {a: ['t2']},
	},
	{
		change: 'no change', apply() {
			// Nothing changes.
		}, after: {a: ['t1', 't2']},
	},
])('routes are rebuilt after $change, within their period', ({apply, after}) => {
	const world = createConfiguredWorld();
	setOwner(world, 't1', 'a', 1);
	setOwner(world, 't2', 'a', 1);
	step(world, 1000, []);
	apply(world);
	step(world, 1100, []);
	expect(Object.fromEntries(getRoutes(world, 'm').map(({owner, targets}) => [owner, targets]))).toEqual(after);
});
