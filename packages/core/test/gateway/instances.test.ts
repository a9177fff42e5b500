import {callerAddresses, isReady} from '../../src/gateway/instances.ts';
import {MemberState} from '../../src/messages.ts';
import {
	benchOf, heardFrom, itemsOf, registrationOf, type Bench,
} from '../support/gateways.ts';

function hear(bench: Bench, from: string, state = MemberState.Active) {
	return bench.step(heardFrom(from, {state}));
}

const fleet = ['self', 'b', 'c', 'd'];

test('callers are named the instances that are heard, those of their failure domain first', () => {
	const bench = benchOf({instances: fleet});
	bench.wait(5000);
	hear(bench, 'b');
	hear(bench, 'c');
	expect(new Set(callerAddresses(bench.gateway, 'suva'))).toEqual(new Set(['self:80', 'b:80', 'c:80']));
	bench.gateway.instances.get('c')!.failureDomain = 'lautoka';
	expect(callerAddresses(bench.gateway, 'lautoka')[0]).toBe('c:80');
});

test('an instance that falls silent or stops is no longer named', () => {
	const bench = benchOf({instances: fleet});
	hear(bench, 'b');
	hear(bench, 'c', MemberState.Leaving);
	expect(callerAddresses(bench.gateway, undefined)).not.toContain('c:80');
	bench.wait(2100);
	expect(callerAddresses(bench.gateway, undefined)).not.toContain('b:80');
});

test('an instance that hears nobody names itself', () => {
	const bench = benchOf({instances: fleet});
	bench.wait(10_000);
	expect(callerAddresses(bench.gateway, undefined)).toEqual(['self:80']);
});

test('an instance that isn\'t ready is not named, and is ready only with catalogue, targets and fleet', () => {
	const bench = benchOf({instances: fleet});
	expect(isReady(bench.gateway)).toBe(true);
	bench.gateway.targetsListed = false;
	expect(isReady(bench.gateway)).toBe(false);
	expect(callerAddresses(bench.gateway, undefined)).not.toContain('self:80');
});

test('a registration that somebody removed is written again', () => {
	const bench = benchOf({instances: fleet});
	bench.wait(5000);
	const outbox = bench.step({kind: 'registrations', registrations: [registrationOf('b')]});
	expect(itemsOf(outbox, 'register')).toMatchObject([{registration: {id: 'self'}}]);
});

test('one of those that hear most of the fleet removes an instance that is gone; one that is cut off removes nobody', () => {
	const hearing = fleet.slice(0, 3).map(self => benchOf({instances: [self, ...fleet.filter(id => id !== self)]}));
	const removed: string[] = [];
	for (let second = 0; second < 15; second += 1) {
		for (const bench of hearing) {
			for (const other of ['self', 'b', 'c'].filter(id => id !== bench.gateway.self.id)) {
				hear(bench, other);
			}

			removed.push(...itemsOf(bench.wait(1000), 'remove').map(({instance}) => `${bench.gateway.self.id} ${instance}`));
		}
	}

	expect(new Set(removed).size).toBe(1);
	expect(removed[0]).toMatch(/ d$/v);
	const alone = benchOf({instances: fleet});
	for (let second = 0; second < 30; second += 1) {
		expect(itemsOf(alone.wait(1000), 'remove')).toEqual([]);
	}
});

describe('planned stop', () => {
	test('it withdraws from callers, lingers, closes, finishes its calls and ends', () => {
		const bench = benchOf({instances: fleet});
		const sent = itemsOf(bench.call({remainingMs: 60_000}), 'send')[0]!;
		const first = bench.step({kind: 'stopRequested'});
		expect(itemsOf(first, 'register')).toMatchObject([{registration: {state: MemberState.Leaving}}]);
		expect(itemsOf(first, 'sendDigest')).toHaveLength(3);
		expect(isReady(bench.gateway)).toBe(false);
		expect(itemsOf(bench.call({}), 'send')).toHaveLength(1);
		bench.step({kind: 'callerGone', call: 'c2'});
		bench.gateway.calls.get(sent.call)!.deadline = Number.POSITIVE_INFINITY;
		expect(itemsOf(bench.wait(2500), 'closeListener')).toHaveLength(1);
		expect(itemsOf(bench.wait(100), 'stopped')).toEqual([]);
		bench.step({kind: 'callerGone', call: sent.call});
		expect(itemsOf(bench.wait(10), 'stopped').length + itemsOf(bench.wait(10), 'stopped').length).toBeLessThanOrEqual(1);
		expect(bench.gateway.stopPhase).toBe('done');
	});

	test('it ends at its bound whatever still runs', () => {
		const bench = benchOf({instances: fleet, limits: {stopMs: 7000}});
		bench.call({});
		bench.gateway.calls.get('c1')!.deadline = Number.POSITIVE_INFINITY;
		bench.step({kind: 'stopRequested'});
		bench.wait(2500);
		expect(itemsOf(bench.wait(4400), 'stopped')).toEqual([]);
		expect(itemsOf(bench.wait(100), 'stopped')).toHaveLength(1);
	});
});
