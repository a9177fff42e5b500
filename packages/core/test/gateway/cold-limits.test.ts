import fc from 'fast-check';
import {coldShare} from '../../src/gateway/cold-limits.ts';
import {SendEnd} from '../../src/gateway/ports.ts';
import {
	benchOf, heardFrom, itemsOf, promptOf, targetOf,
} from '../support/gateways.ts';

const engine = targetOf('e1', {pool: 'engines', slots: 64, coldForMs: 60_000});

test('the members\' parts of a cold target\'s rate never exceed it, and leave none of it unused', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 60}), fc.integer({min: 1, max: 40}), fc.string({minLength: 1}), (members, rate, id) => {
		const ids = Array.from({length: members}, (_, index) => `m${index}`);
		const parts = ids.map(self => {
			const bench = benchOf({instances: [self, ...ids.filter(other => other !== self)], targets: [targetOf(id, {pool: 'engines'})]});
			return coldShare(bench.gateway, bench.gateway.targets.get(id)!, rate);
		});
		expect(parts.reduce((sum, part) => sum + part, 0)).toBe(rate);
	}), {seed: 7, numRuns: 30});
});

test('a fleet sends a cold target no more in any second than its rate, also when no member hears another', () => {
	const ids = ['m1', 'm2', 'm3', 'm4', 'm5'];
	const benches = ids.map(self => benchOf({instances: [self, ...ids.filter(other => other !== self)], targets: [engine]}));
	const sends: number[] = [];
	for (let tick = 0; tick < 300; tick += 1) {
		for (const bench of benches) {
			const outbox = [...bench.wait(10), ...bench.call({path: '/chat/x', prompt: promptOf('p', 100)})];
			for (const sent of itemsOf(outbox, 'send')) {
				sends.push(bench.gateway.now);
				bench.step({
					kind: 'sendEnded', call: sent.call, send: sent.send, end: SendEnd.Whole, load: undefined, detail: '',
				});
			}
		}
	}

	for (const start of sends) {
		expect(sends.filter(at => at >= start && at < start + 1000).length).toBeLessThanOrEqual(16);
	}

	expect(sends.length).toBeGreaterThan(30);
});

test('a target whose connections break counts as cold before the platform lists it anew', () => {
	const bench = benchOf({targets: [targetOf('e1', {pool: 'engines', slots: 64}), targetOf('e2', {pool: 'engines', slots: 64})]});
	const sent = itemsOf(bench.call({path: '/chat/x', prompt: promptOf('p', 100)}), 'send')[0]!;
	bench.step({
		kind: 'sendEnded', call: sent.call, send: sent.send, end: SendEnd.Broken, load: undefined, detail: '',
	});
	expect(bench.gateway.targets.get(sent.target)!.coldUntil).toBe(bench.gateway.now + 3000);
});

test('an instance that has just started sends a cold target nothing for a second', () => {
	const bench = benchOf({targets: [engine]});
	expect(itemsOf(bench.call({path: '/chat/x', prompt: promptOf('p', 100)}), 'send')).toEqual([]);
	bench.wait(1000);
	expect(itemsOf(bench.call({path: '/chat/x', prompt: promptOf('p', 100)}), 'send')).toHaveLength(1);
});

test('what was sent to a target just before it is listed after a start counts', () => {
	const bench = benchOf({targets: [targetOf('e1', {pool: 'engines', slots: 64})]});
	bench.wait(1000);
	bench.gateway.targets.get('e1')!.coldUntil = Number.POSITIVE_INFINITY;
	const call = () => itemsOf(bench.call({path: '/chat/x', prompt: promptOf('p', 100)}), 'send').length;
	expect(Array.from({length: 20}, call).reduce((sum, count) => sum + count, 0)).toBe(16);
	bench.step({
		kind: 'targets', targets: [targetOf('e1', {
			pool: 'engines', slots: 64, start: '2', revision: 2, coldForMs: 3000,
		})],
	});
	expect(call()).toBe(0);
});

/** Sends of one burst to the target of a bench. */
function burst(bench: ReturnType<typeof benchOf>, calls: number): number {
	const sent = Array.from({length: calls}, () => itemsOf(bench.call({path: '/chat/x', prompt: promptOf('p', 100)}), 'send').length);
	return sent.reduce((sum, count) => sum + count, 0);
}

const warm = targetOf('e1', {pool: 'engines', slots: 64});

function cutOff(instances: string[]) {
	const bench = benchOf({instances, targets: [warm]});
	bench.wait(1000);
	bench.step({kind: 'platformReach', isReached: false});
	return bench;
}

test('without the platform, a target that an instance has had no contact with may have started again: it gets a part of its rate', () => {
	expect(burst(cutOff(['self', 'b', 'c', 'd']), 20)).toBe(4);
	expect(burst(cutOff(Array.from({length: 100}, (_, index) => `m${index}`)), 20)).toBe(1);
});

test('without the platform, a target in use is sent what comes', () => {
	const bench = benchOf({instances: ['self', 'b', 'c', 'd'], targets: [warm]});
	bench.wait(1000);
	const sent = itemsOf(bench.call({path: '/chat/x', prompt: promptOf('p', 100)}), 'send')[0]!;
	bench.step({
		kind: 'answerStarted', call: sent.call, send: sent.send, load: undefined,
	}, {kind: 'platformReach', isReached: false});
	expect(burst(bench, 20)).toBe(20);
});

test('an instance that doesn\'t reach the platform hears of cold targets in digests', () => {
	const bench = benchOf({instances: ['self', 'b', 'c', 'd'], targets: [warm]});
	bench.wait(1000);
	bench.step(heardFrom('b', {targets: [{target: 'e1', running: 0, coldForMs: 900}]}));
	expect(burst(bench, 20)).toBe(4);
	bench.wait(950);
	expect(burst(bench, 20)).toBe(20);
});

test('digests tell first-hand of cold targets, not what others told', () => {
	const told = (bench: ReturnType<typeof benchOf>) => itemsOf(bench.wait(600), 'sendDigest')[0]!.digest.targets;
	const bench = benchOf({instances: ['self', 'b'], targets: [warm, targetOf('e2', {pool: 'engines'})]});
	bench.gateway.targets.get('e1')!.coldUntilElsewhere = Number.POSITIVE_INFINITY;
	bench.gateway.targets.get('e2')!.coldUntil = bench.gateway.now + 2000;
	expect(told(bench)).toEqual([{target: 'e2', running: 0, coldForMs: 1400}]);
});
