import {getCallerAddresses, isReady} from '../../src/gateway/instances.ts';
import {MemberState} from '../../src/messages.ts';
import {
	createBench, createDigestFrom, filterByKind, createRegistration, type Bench,
} from '../support/gateways.ts';

function sendDigest(bench: Bench, from: string, state = MemberState.Active) {
	return bench.step(createDigestFrom(from, {state}));
}

const fleet = ['self', 'b', 'c', 'd'];

test('callers receive the addresses of the instances that are alive, those of their failure domain first', () => {
	const bench = createBench({instances: fleet});
	bench.wait(5000);
	sendDigest(bench, 'b');
	sendDigest(bench, 'c');
	expect(new Set(getCallerAddresses(bench.gateway, 'suva'))).toEqual(new Set(['self:80', 'b:80', 'c:80']));
	bench.gateway.instances.get('c')!.failureDomain = 'lautoka';
	expect(getCallerAddresses(bench.gateway, 'lautoka')[0]).toBe('c:80');
});

test('an instance that is silent or stopping is no longer advertised', () => {
	const bench = createBench({instances: fleet});
	sendDigest(bench, 'b');
	sendDigest(bench, 'c', MemberState.Leaving);
	expect(getCallerAddresses(bench.gateway, undefined)).not.toContain('c:80');
	bench.wait(2100);
	expect(getCallerAddresses(bench.gateway, undefined)).not.toContain('b:80');
});

test('an instance that receives no digests advertises itself', () => {
	const bench = createBench({instances: fleet});
	bench.wait(10_000);
	expect(getCallerAddresses(bench.gateway, undefined)).toEqual(['self:80']);
});

test('an instance is ready only once its lists have arrived, and not advertised before', () => {
	const bench = createBench({instances: fleet});
	expect(isReady(bench.gateway)).toBe(true);
	bench.gateway.hasTargetList = false;
	expect(isReady(bench.gateway)).toBe(false);
	expect(getCallerAddresses(bench.gateway, undefined)).not.toContain('self:80');
});

test('an instance registers again when its registration was removed', () => {
	const bench = createBench({instances: fleet});
	bench.wait(5000);
	const outbox = bench.step({kind: 'registrations', registrations: [createRegistration('b')]});
	expect(filterByKind(outbox, 'register')).toMatchObject([{registration: {id: 'self'}}]);
});

test('one of the instances that receive most digests removes a silent instance; one that is cut off removes none', () => {
	const connected = fleet.slice(0, 3).map(self => createBench({instances: [self, ...fleet.filter(id => id !== self)]}));
	const removed: string[] = [];
	for (let second = 0; second < 15; second += 1) {
		for (const bench of connected) {
			for (const other of ['self', 'b', 'c'].filter(id => id !== bench.gateway.self.id)) {
				sendDigest(bench, other);
			}

			removed.push(...filterByKind(bench.wait(1000), 'remove').map(({instance}) => `${bench.gateway.self.id} ${instance}`));
		}
	}

	expect(new Set(removed).size).toBe(1);
	expect(removed[0]).toMatch(/ d$/v);
	const alone = createBench({instances: fleet});
	for (let second = 0; second < 30; second += 1) {
		expect(filterByKind(alone.wait(1000), 'remove')).toEqual([]);
	}
});

describe('planned stop', () => {
	test('it is no longer advertised, lingers, drains, finishes its calls and stops', () => {
		const bench = createBench({instances: fleet});
		const sent = filterByKind(bench.call({remainingMs: 60_000}), 'send')[0]!;
		const first = bench.step({kind: 'stopRequested'});
		expect(filterByKind(first, 'register')).toMatchObject([{registration: {state: MemberState.Leaving}}]);
		expect(filterByKind(first, 'sendDigest')).toHaveLength(3);
		expect(isReady(bench.gateway)).toBe(false);
		expect(filterByKind(bench.call({}), 'send')).toHaveLength(1);
		bench.step({kind: 'callerGone', call: 'c2'});
		bench.gateway.calls.get(sent.call)!.deadline = Number.POSITIVE_INFINITY;
		bench.wait(2480);
		expect(bench.gateway.stopPhase).toBe('lingering');
		bench.wait(20);
		expect(bench.gateway.stopPhase).toBe('draining');
		expect(filterByKind(bench.wait(100), 'stopped')).toEqual([]);
		bench.step({kind: 'callerGone', call: sent.call});
		expect(filterByKind(bench.wait(10), 'stopped').length + filterByKind(bench.wait(10), 'stopped').length).toBeLessThanOrEqual(1);
		expect(bench.gateway.stopPhase).toBe('done');
	});

	test('it stops after its maximum duration even if calls are in flight', () => {
		const bench = createBench({instances: fleet, limits: {maxStopMs: 7000}});
		bench.call({});
		bench.gateway.calls.get('c1')!.deadline = Number.POSITIVE_INFINITY;
		bench.step({kind: 'stopRequested'});
		bench.wait(2500);
		expect(filterByKind(bench.wait(4400), 'stopped')).toEqual([]);
		expect(filterByKind(bench.wait(100), 'stopped')).toHaveLength(1);
	});
});

describe('an instance that stood still', () => {
	test('doesn\'t take the others for gone because it could read no digest meanwhile', () => {
		const bench = createBench({instances: fleet});
		bench.wait(5000);
		sendDigest(bench, 'b');
		bench.wait(3000);
		bench.step({kind: 'stalled', ms: 2900});
		expect(getCallerAddresses(bench.gateway, undefined)).toContain('b:80');
		bench.wait(1100);
		expect(getCallerAddresses(bench.gateway, undefined)).not.toContain('b:80');
	});

	test('puts no more than two seconds of silence down to its stalls', () => {
		const bench = createBench({instances: fleet});
		bench.wait(5000);
		sendDigest(bench, 'b');
		bench.wait(4100);
		bench.step({kind: 'stalled', ms: 4000});
		expect(getCallerAddresses(bench.gateway, undefined)).not.toContain('b:80');
	});

	test('sends callers to the others until it has recovered, and reports that to them', () => {
		const bench = createBench({instances: fleet});
		sendDigest(bench, 'b');
		sendDigest(bench, 'c');
		bench.step({kind: 'stalled', ms: 150});
		expect(getCallerAddresses(bench.gateway, undefined)).toContain('self:80');
		bench.step({kind: 'stalled', ms: 300});
		expect(getCallerAddresses(bench.gateway, undefined)).not.toContain('self:80');
		expect(filterByKind(bench.wait(600), 'sendDigest')[0]!.digest.isOverloaded).toBe(true);
		bench.wait(1500);
		expect(getCallerAddresses(bench.gateway, undefined)).toContain('self:80');
	});
});

test('an instance that uses up its processor counts as overloaded, but not while it starts', () => {
	const bench = createBench({instances: fleet});
	sendDigest(bench, 'b');
	sendDigest(bench, 'c');
	bench.step({kind: 'processorUse', fraction: 1});
	expect(getCallerAddresses(bench.gateway, undefined)).toContain('self:80');
	bench.wait(5000);
	sendDigest(bench, 'b');
	sendDigest(bench, 'c');
	bench.step({kind: 'processorUse', fraction: 0.8});
	expect(getCallerAddresses(bench.gateway, undefined)).toContain('self:80');
	bench.step({kind: 'processorUse', fraction: 0.95});
	expect(getCallerAddresses(bench.gateway, undefined)).not.toContain('self:80');
});

test('an overloaded instance is not advertised while most others are not overloaded', () => {
	const bench = createBench({instances: fleet});
	bench.wait(5000);
	bench.step(createDigestFrom('b', {isOverloaded: true}), createDigestFrom('c'), createDigestFrom('d'));
	expect(new Set(getCallerAddresses(bench.gateway, undefined))).toEqual(new Set(['self:80', 'c:80', 'd:80']));
	bench.step(createDigestFrom('c', {isOverloaded: true}));
	expect(getCallerAddresses(bench.gateway, undefined)).toHaveLength(4);
});
