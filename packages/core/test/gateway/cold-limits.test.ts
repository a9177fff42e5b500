import fc from 'fast-check';
import {computeColdShare} from '../../src/gateway/cold-limits.ts';
import {SendEnd} from '../../src/gateway/ports.ts';
import {
	createBench, createDigestFrom, filterByKind, createPrompt, createListedTarget,
} from '../support/gateways.ts';

const engine = createListedTarget('e1', {pool: 'engines', slots: 64, coldForMs: 60_000});

test('the shares of all instances in a cold target\'s rate add up to exactly that rate', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 60}), fc.integer({min: 1, max: 40}), fc.string({minLength: 1}), (members, rate, id) => {
		const ids = Array.from({length: members}, (_, index) => `m${index}`);
		const shares = ids.map(self => {
			const bench = createBench({instances: [self, ...ids.filter(other => other !== self)], targets: [createListedTarget(id, {pool: 'engines'})]});
			return computeColdShare(bench.gateway, bench.gateway.targets.get(id)!, rate);
		});
		expect(shares.reduce((sum, share) => sum + share, 0)).toBe(rate);
	}), {seed: 7, numRuns: 30});
});

test('a fleet never exceeds the rate of a cold target in any second, even when no instance receives digests', () => {
	const ids = ['m1', 'm2', 'm3', 'm4', 'm5'];
	const benches = ids.map(self => createBench({instances: [self, ...ids.filter(other => other !== self)], targets: [engine]}));
	const sends: number[] = [];
	for (let tick = 0; tick < 300; tick += 1) {
		for (const bench of benches) {
			const outbox = [...bench.wait(10), ...bench.call({path: '/chat/x', prompt: createPrompt('p', 100)})];
			for (const sent of filterByKind(outbox, 'send')) {
				sends.push(bench.gateway.now);
				bench.step({
					kind: 'sendEnded', call: sent.call, send: sent.send, end: SendEnd.Complete, load: undefined, detail: '',
				});
			}
		}
	}

	for (const start of sends) {
		expect(sends.filter(at => at >= start && at < start + 1000).length).toBeLessThanOrEqual(16);
	}

	expect(sends.length).toBeGreaterThan(30);
});

test('a target whose connection broke is treated as cold before the platform lists its restart', () => {
	const bench = createBench({targets: [createListedTarget('e1', {pool: 'engines', slots: 64}), createListedTarget('e2', {pool: 'engines', slots: 64})]});
	const sent = filterByKind(bench.call({path: '/chat/x', prompt: createPrompt('p', 100)}), 'send')[0]!;
	bench.step({
		kind: 'sendEnded', call: sent.call, send: sent.send, end: SendEnd.Broken, load: undefined, detail: '',
	});
	expect(bench.gateway.targets.get(sent.target)!.coldUntil).toBe(bench.gateway.now + 3000);
});

test('an instance that has just started sends nothing to a cold target for one second', () => {
	const bench = createBench({targets: [engine]});
	expect(filterByKind(bench.call({path: '/chat/x', prompt: createPrompt('p', 100)}), 'send')).toEqual([]);
	bench.wait(1000);
	expect(filterByKind(bench.call({path: '/chat/x', prompt: createPrompt('p', 100)}), 'send')).toHaveLength(1);
});

test('sends to a target just before its restart is listed count against its rate', () => {
	const bench = createBench({targets: [createListedTarget('e1', {pool: 'engines', slots: 64})]});
	bench.wait(1000);
	bench.gateway.targets.get('e1')!.coldUntil = Number.POSITIVE_INFINITY;
	const call = () => filterByKind(bench.call({path: '/chat/x', prompt: createPrompt('p', 100)}), 'send').length;
	expect(Array.from({length: 20}, call).reduce((sum, count) => sum + count, 0)).toBe(16);
	bench.step({
		kind: 'targets', targets: [createListedTarget('e1', {
			pool: 'engines', slots: 64, startId: '2', revision: 2, coldForMs: 3000,
		})],
	});
	expect(call()).toBe(0);
});

/** Number of calls in one burst that are sent to a target. */
function countBurstSends(bench: ReturnType<typeof createBench>, calls: number): number {
	const sent = Array.from({length: calls}, () => filterByKind(bench.call({path: '/chat/x', prompt: createPrompt('p', 100)}), 'send').length);
	return sent.reduce((sum, count) => sum + count, 0);
}

const warm = createListedTarget('e1', {pool: 'engines', slots: 64});

function createDisconnectedBench(instances: string[]) {
	const bench = createBench({instances, targets: [warm]});
	bench.wait(1000);
	bench.step({kind: 'platformReach', isReached: false});
	return bench;
}

test('without the platform, a target that hasn\'t answered recently may have restarted: it gets the instance\'s share of its rate, at least 1', () => {
	expect(countBurstSends(createDisconnectedBench(['self', 'b', 'c', 'd']), 20)).toBe(4);
	expect(countBurstSends(createDisconnectedBench(Array.from({length: 100}, (_, index) => `m${index}`)), 20)).toBe(1);
});

test('without the platform, a target that answered recently is not rate-limited', () => {
	const bench = createBench({instances: ['self', 'b', 'c', 'd'], targets: [warm]});
	bench.wait(1000);
	const sent = filterByKind(bench.call({path: '/chat/x', prompt: createPrompt('p', 100)}), 'send')[0]!;
	bench.step({
		kind: 'answerStarted', call: sent.call, send: sent.send, load: undefined,
	}, {kind: 'platformReach', isReached: false});
	expect(countBurstSends(bench, 20)).toBe(20);
});

test('an instance applies the cold targets that others report in digests', () => {
	const bench = createBench({instances: ['self', 'b', 'c', 'd'], targets: [warm]});
	bench.wait(1000);
	bench.step(createDigestFrom('b', {targets: [{target: 'e1', running: 0, coldForMs: 900}]}));
	expect(countBurstSends(bench, 20)).toBe(4);
	bench.wait(950);
	expect(countBurstSends(bench, 20)).toBe(20);
});

test('digests report the targets that an instance knows to be cold itself, not those that others reported', () => {
	const getReportedTargets = (bench: ReturnType<typeof createBench>) => filterByKind(bench.wait(600), 'sendDigest')[0]!.digest.targets;
	const bench = createBench({instances: ['self', 'b'], targets: [warm, createListedTarget('e2', {pool: 'engines'})]});
	bench.gateway.targets.get('e1')!.reportedColdUntil = Number.POSITIVE_INFINITY;
	bench.gateway.targets.get('e2')!.coldUntil = bench.gateway.now + 2000;
	expect(getReportedTargets(bench)).toEqual([{target: 'e2', running: 0, coldForMs: 1400}]);
});
