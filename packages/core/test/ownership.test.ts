import type {StoreOperation} from '../src/ports.ts';
import {onInstanceList} from '../src/systems/membership/membership.ts';
import {createFleet, tickMs, type Fleet} from './support/fleet.ts';
import {StoreFault} from './support/store-map.ts';

const routers = {
	a: 'x', b: 'x', c: 'x', d: 'y', e: 'y',
};
const targets = {
	t1: 'x', t2: 'x', t3: 'x', t4: 'y', t5: 'y', t6: 'z',
};
const targetIds = Object.keys(targets);

test('every target is owned within seconds of the start, by a router of its failure domain', () => {
	const fleet = createFleet({routers, targets});
	fleet.runUntil(() => targetIds.every(target => fleet.getServingRouters(target).length === 1), 4000);
	expect(fleet.getServingRouters('t4')[0]).toMatch(/[de]/v);
	fleet.run(10_000);
	for (const target of targetIds) {
		expect(fleet.getServingRouters(target)).toHaveLength(1);
		expect(fleet.worlds.get('a')!.ownerships.get(target)!.owner).toBe(fleet.getServingRouters(target)[0]);
	}
});

test('a crashed router\'s targets are taken over once its lease has expired', () => {
	const fleet = createFleet({routers, targets});
	fleet.run(10_000);
	const [owner] = fleet.getServingRouters('t1');
	fleet.kill(owner!);
	const elapsedMs = fleet.runUntil(() => fleet.getServingRouters('t1').length === 1, 12_000);
	expect(elapsedMs).toBeGreaterThan(4000);
	fleet.runUntil(() => targetIds.every(target => fleet.getServingRouters(target).length === 1), 4000);
});

/** Stops the owner of t1 under a fault; returns the owners before and after, and the time for which no router served t1. */
function runHandover(fault: (fleet: Fleet, from: string) => void) {
	const fleet = createFleet({routers, targets});
	fleet.run(8000);
	const [from] = fleet.getServingRouters('t1');
	const epoch = fleet.worlds.get(from!)!.ownedTargets.get('t1')!;
	fault(fleet, from!);
	fleet.stop(from!);
	fleet.run(tickMs);
	const idleMs = fleet.runUntil(() => fleet.getServingRouters('t1').some(id => id !== from), 15_000);
	const [to] = fleet.getServingRouters('t1');
	return {
		fleet, from: from!, to: to!, idleMs, epochs: fleet.worlds.get(to!)!.ownedTargets.get('t1')! - epoch,
	};
}

function isWriteOf(action: StoreOperation, key: string): boolean {
	return action.kind === 'put' && action.key === key;
}

/** Applies a store fault to the first write of a key only. */
function failOnce(fleet: Fleet, key: string, fault: StoreFault) {
	let remaining = 1;
	fleet.storeFault = (_id, action) => {
		if (remaining === 0 || !isWriteOf(action, key)) {
			return StoreFault.None;
		}

		remaining -= 1;
		return fault;
	};
}

const handovers: Array<{name: string; fault: (fleet: Fleet, from: string) => void; withinMs: number}> = [
	{
		name: 'without a fault', fault() {
			// Nothing fails.
		}, withinMs: 100,
	},
	{
		name: 'with the answer of the write lost', fault(fleet) {
			failOnce(fleet, 'owner/t1', StoreFault.AnswerLost);
		}, withinMs: 1500,
	},
	{
		name: 'with the write lost', fault(fleet) {
			failOnce(fleet, 'owner/t1', StoreFault.Cut);
		}, withinMs: 1500,
	},
	{
		name: 'with the write refused', fault(fleet) {
			failOnce(fleet, 'owner/t1', StoreFault.Down);
		}, withinMs: 1500,
	},
	{
		name: 'with the message lost', fault(fleet) {
			fleet.delay = (_from, _to, item) => item.kind === 'send' && item.message.kind === 'targetHandover' ? undefined : 1;
		}, withinMs: 300,
	},
	{
		name: 'with the watch event lost', fault(fleet) {
			fleet.delay = from => from === 'watch' ? undefined : 1;
		}, withinMs: 3 * tickMs, // write, answer and message take a tick each
	},
];

test.each(handovers)('a handover $name leads to exactly one new owner in time, at the next epoch', ({fault, withinMs}) => {
	const {idleMs, epochs} = runHandover(fault);
	expect(idleMs).toBeLessThanOrEqual(withinMs);
	expect(epochs).toBe(1);
});

test('a target that is handed over to a router that has just crashed is taken over by another one', () => {
	const fleet = createFleet({routers, targets});
	fleet.run(8000);
	const [from] = fleet.getServingRouters('t1');
	const receiver = ['a', 'b', 'c'].find(id => id !== from);
	fleet.kill(receiver!);
	fleet.stop(from!);
	const elapsedMs = fleet.runUntil(() => targetIds.every(target => fleet.getServingRouters(target).length === 1 && fleet.getServingRouters(target)[0] !== from), 12_000);
	expect(elapsedMs).toBeLessThan(10_000);
});

test('an owner doesn\'t claim a target again while a handover without an answer may still take effect', () => {
	const fleet = createFleet({routers, targets});
	fleet.run(8000);
	const [from] = fleet.getServingRouters('t1');
	const writes = new Set<string>();
	const isLater = (value: string) => [...writes].indexOf(value) > 0;
	fleet.storeFault = (_id, action) => action.kind === 'put' && isLater(action.value) ? StoreFault.Down : StoreFault.None;
	fleet.delay = (sender, receiver, item) => {
		if (sender === from && receiver === 'store' && item.kind === 'store' && item.action.kind === 'put' && item.action.key === 'owner/t1') {
			writes.add(item.action.value);
			return isLater(item.action.value) ? 1 : 3000;
		}

		return sender === 'watch' && receiver === from ? undefined : 1;
	};

	fleet.check = () => {
		expect(fleet.getServingRouters('t1').length).toBeLessThan(2);
	};

	fleet.stop(from!);
	fleet.run(9000);
	expect(writes.size).toBeGreaterThan(1);
	expect(fleet.getServingRouters('t1')).not.toEqual([from]);
});

test('a stopping router hands no target to a silent member', () => {
	const fleet = createFleet({routers, targets});
	fleet.run(8000);
	const [from] = fleet.getServingRouters('t1');
	const dead = ['a', 'b', 'c'].find(id => id !== from);
	fleet.kill(dead!);
	fleet.run(2000);
	const owned = [...fleet.worlds.get(from!)!.ownedTargets.keys()];
	fleet.stop(from!);
	fleet.run(tickMs);
	fleet.runUntil(() => owned.every(target => fleet.getServingRouters(target).some(id => id !== from)), 500);
});

test('a late record or a deletion never restores a previous owner', () => {
	const {fleet, from, to} = runHandover(() => undefined);
	const world = fleet.worlds.get(from)!;
	const {version, tenure: incarnation} = fleet.worlds.get(to)!.ownerships.get('t1')!;
	const value = JSON.stringify({
		owner: from, incarnation: world.lease.tenure, epoch: 1, nonce: 'n',
	});
	for (const object of [{key: 'owner/t1', version: version - 1, value}, {key: 'owner/t1', version: version + 1, value: ''}]) {
		fleet.deliver(from, {kind: 'storeEvent', object});
	}

	fleet.run(200);
	expect(world.ownerships.get('t1')).toMatchObject({owner: to, tenure: incarnation});
	expect(fleet.getServingRouters('t1')).toEqual([to]);
});

test('a new router gets its share of the targets, at most one a second from each owner', () => {
	const fleet = createFleet({routers, targets: {...targets, t7: 'y', t8: 'y'}});
	fleet.kill('d');
	fleet.run(8000);
	fleet.start('d');
	fleet.runUntil(() => fleet.worlds.get('d')!.ownedTargets.size > 0, 12_000);
	fleet.run(4000);
	expect(fleet.worlds.get('d')!.ownedTargets.size).toBe(2);
});

const instanceLists = [
	{name: 'no longer contains the crashed ones', listed: ['a', 'b'], isTakenOver: true},
	{name: 'still contains the crashed ones', listed: Object.keys(routers), isTakenOver: false},
	{name: 'is empty', listed: [], isTakenOver: false},
];

test.each(instanceLists)('takeover by the other routers after most have crashed is $isTakenOver when the instance list $name', ({listed, isTakenOver}) => {
	const fleet = createFleet({routers, targets});
	fleet.run(8000);
	for (const id of ['c', 'd', 'e']) {
		fleet.kill(id);
	}

	for (const world of fleet.worlds.values()) {
		onInstanceList(world, {kind: 'instanceList', instances: listed.map(id => ({id, state: 'live'}))});
	}

	fleet.run(15_000);
	expect(targetIds.every(target => fleet.getServingRouters(target).length === 1)).toBe(isTakenOver);
});
