import {isAlive} from '@shallotloom/core/systems/membership/quorum.ts';
import {createFleet} from '../src/core-size/fleet.ts';
import {runWorld, StepKind} from '../src/core-size/run-world.ts';

test.each([9, 50])('a world with %d members is in a steady state after two seconds', members => {
	const fleet = createFleet({members, seed: 3});
	const {times} = runWorld(fleet, {seconds: 2, seed: 3});
	const {world} = fleet;
	expect(world.members.size).toBe(members);
	for (const member of world.members.rows()) {
		expect(isAlive(world, member)).toBe(true);
	}

	for (const budget of world.budgets.rows()) {
		expect(world.permits.count(budget.target)).toBeGreaterThan(budget.budget / 2);
	}

	expect(times[StepKind.Tick].count).toBe(40);
	expect(times[StepKind.Digest].count).toBe((members - 1) * 8);
	expect(times[StepKind.Request].count).toBeGreaterThanOrEqual(92);
});

test('the same seed gives the same digests', () => {
	const [one, other] = [1, 2].map(() => createFleet({members: 20, seed: 5}));
	expect(one!.peers.map(peer => one!.createDigest(peer, 1))).toEqual(other!.peers.map(peer => other!.createDigest(peer, 1)));
});
