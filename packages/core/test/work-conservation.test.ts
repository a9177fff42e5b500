import type {Limits} from '../src/limits.ts';
import {countFreeTargetSlots} from '../src/systems/targets/budgets.ts';
import {attachEngines, sendRequests, runUnderLoad} from './support/engines.ts';
import {createFleet, tickMs, type Fleet} from './support/fleet.ts';

const routers = {a: 'x', b: 'y', c: 'z'};
const targets = {t1: 'x', t2: 'y', t3: 'z'};

function start(limits: Partial<Limits> = {}) {
	const fleet = createFleet({routers, targets, limits});
	const engines = attachEngines(fleet, Object.keys(targets));
	fleet.runUntil(() => Object.keys(targets).every(target => fleet.getServingRouters(target).length === 1), 6000);
	runUnderLoad(fleet, 15_000, Object.keys(routers), 8);
	return {fleet, engines};
}

function countFreeSlots(fleet: Fleet): number {
	let sum = 0;
	for (const world of fleet.worlds.values()) {
		for (const budget of world.budgets.rows()) {
			sum += countFreeTargetSlots(world, budget);
		}
	}

	return sum;
}

function countWaitingTickets(fleet: Fleet): number {
	return [...fleet.worlds.values()].reduce((sum, world) => sum + [...world.tickets.rows()].length, 0);
}

/** Measures the longest time for which a slot was free while a ticket waited, with all requests sent to one router. */
function measureLongestIdleMs(fleet: Fleet): number {
	let longest = 0;
	let current = 0;
	for (let tick = 0; tick < 200; tick += 1) {
		runUnderLoad(fleet, tickMs, ['a'], 40);
		current = countFreeSlots(fleet) > 0 && countWaitingTickets(fleet) > 0 ? current + tickMs : 0;
		longest = Math.max(longest, current);
	}

	return longest;
}

test('no slot stays free for longer than a digest period and the transfer of a ticket while a ticket waits anywhere', () => {
	const {fleet} = start();
	fleet.run(2000);
	measureLongestIdleMs(fleet);
	const {digestMs} = fleet.worlds.get('a')!.limits;
	// One tick each for the work request, the return of the ticket, its offer, and the grant.
	expect(measureLongestIdleMs(fleet)).toBeLessThanOrEqual(digestMs + (5 * tickMs));
});

const losses = ['ticketOffer', 'ticketReturn', 'workRequest', 'permitGrant', 'digest'] as const;

test.each(losses)('requests whose %s messages are lost for a while are still served', kind => {
	const {fleet} = start();
	fleet.run(3000);
	fleet.delay = (_from, _to, item) => item.kind === 'send' && item.message.kind === kind ? undefined : 1;
	sendRequests(fleet, 'a', 30);
	fleet.run(500);
	fleet.delay = () => 1;
	fleet.runUntil(() => [...fleet.worlds.get('a')!.requests.rows()].length === 0, 15_000);
});

test('slots that become free while no ticket waits are advertised to others before the next digest', () => {
	const {fleet} = start({digestMs: 1000});
	const getReportedFreeSlots = () => [...fleet.worlds.values()].flatMap(world =>
		[...world.members.rows()].filter(({id}) => id !== world.self.id).map(member => member.pools.get('m')?.free ?? 0));
	runUnderLoad(fleet, 3000, Object.keys(routers), 8);
	// The last digests report no free slot.
	fleet.runUntil(() => getReportedFreeSlots().every(count => count <= 0), 3000);
	fleet.delay = (_from, _to, item) => item.kind === 'send' && item.message.kind === 'digest' ? 900 : 1;
	fleet.runUntil(() => [...fleet.worlds.values()].every(world => world.requests.size === 0), 3000);
	fleet.run(4 * tickMs);
	expect(Math.min(...getReportedFreeSlots())).toBeGreaterThan(0);
});
