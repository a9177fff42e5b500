import {createFleet} from './support/fleet.ts';

const routers = {
	a: 'x', b: 'x', c: 'x', d: 'y', e: 'y',
};
const targets = {
	t1: 'x', t2: 'x', t3: 'x', t4: 'y', t5: 'y', t6: 'z',
};
const targetIds = Object.keys(targets);

test('every target is owned within seconds of the start, by a router of its failure domain', () => {
	const fleet = createFleet({routers, targets});
	fleet.until(() => targetIds.every(target => fleet.servers(target).length === 1), 4000);
	expect(fleet.servers('t4')[0]).toMatch(/[de]/v);
	fleet.run(10_000);
	for (const target of targetIds) {
		expect(fleet.servers(target)).toHaveLength(1);
		expect(fleet.worlds.get('a')!.ownerships.get(target)!.owner).toBe(fleet.servers(target)[0]);
	}
});

test('a crashed router\'s targets are taken over once its lease has lapsed', () => {
	const fleet = createFleet({routers, targets});
	fleet.run(10_000);
	const [owner] = fleet.servers('t1');
	fleet.kill(owner!);
	const took = fleet.until(() => fleet.servers('t1').length === 1, 12_000);
	expect(took).toBeGreaterThan(4000);
	fleet.until(() => targetIds.every(target => fleet.servers(target).length === 1), 4000);
});
