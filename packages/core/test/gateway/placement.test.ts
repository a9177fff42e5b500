import {TargetStanding} from '../../src/gateway/rows.ts';
import {
	benchOf, itemsOf, promptOf, targetOf,
} from '../support/gateways.ts';

const engines = Array.from({length: 8}, (_, index) => targetOf(`engine-${index}`, {pool: 'engines', slots: 4}));
const longPart = 5000;

function sendTo(bench: ReturnType<typeof benchOf>, part: string, tokens = longPart) {
	return itemsOf(bench.call({path: '/chat/x', prompt: promptOf(part, tokens)}), 'send')[0]?.target;
}

test('all instances send a long shared part to the same engine, by their own reckoning', () => {
	for (const part of ['p1', 'p2', 'p3', 'p4']) {
		const targets = new Set([1, 2, 3].map(seed => sendTo(benchOf({targets: engines, seed}), part)));
		expect(targets.size).toBe(1);
	}
});

test('a long shared part spreads to its second home while the first is full, and no further', () => {
	const bench = benchOf({targets: engines, limits: {patience: 1}});
	const used = Array.from({length: 20}, () => sendTo(bench, 'hot'));
	expect(new Set(used.filter(target => target !== undefined)).size).toBe(2);
	expect(used).toContain(undefined);
});

test('a single call waits for the home of its part rather than have the part read at another engine', () => {
	const bench = benchOf({targets: engines, limits: {patience: 1}});
	const used = Array.from({length: 3}, () => sendTo(bench, 'p1'));
	expect(used).toEqual([used[0], used[0], undefined]);
	expect(bench.gateway.waiting.get('engines')!.size).toBe(1);
});

test('a part keeps its home when other engines come or go', () => {
	const home = sendTo(benchOf({targets: engines}), 'p1');
	const without = engines.filter(({id}) => id !== engines.find(({id: other}) => other !== home)!.id);
	expect(sendTo(benchOf({targets: without}), 'p1')).toBe(home);
});

test('the home of a part that is in use follows the list of targets', () => {
	const bench = benchOf({targets: engines});
	const home = sendTo(bench, 'p1')!;
	bench.step({kind: 'targets', targets: engines.filter(({id}) => id !== home)});
	const next = sendTo(bench, 'p1');
	expect(next).not.toBe(home);
	bench.step({kind: 'targets', targets: engines});
	expect(sendTo(bench, 'p1')).toBe(home);
	bench.step({kind: 'targets', targets: engines.map(target => target.id === home ? {...target, standing: TargetStanding.Leaving, revision: 2} : target)});
	expect(sendTo(bench, 'p1')).toBe(next);
});

test('a short shared part goes to any engine with a place', () => {
	const bench = benchOf({targets: engines});
	const used = Array.from({length: 16}, () => sendTo(bench, 'hot', 50));
	expect(used).not.toContain(undefined);
	expect(new Set(used).size).toBeGreaterThan(4);
});

test('services are taken by the shortest queue', () => {
	const bench = benchOf({targets: [targetOf('t1'), targetOf('t2'), targetOf('t3')]});
	for (let index = 0; index < 9; index += 1) {
		bench.call({});
	}

	expect([...bench.gateway.targets.rows()].map(({running}) => running)).toEqual([3, 3, 3]);
});

test('the load that an answer reports counts, with what was sent since', () => {
	const bench = benchOf({targets: [targetOf('t1'), targetOf('t2')]});
	const sent = itemsOf(bench.call({}), 'send')[0]!;
	const other = sent.target === 't1' ? 't2' : 't1';
	bench.step({
		kind: 'answerStarted', call: sent.call, send: sent.send, load: {running: 5, waiting: 0, slots: 6},
	});
	expect([1, 2, 3].map(() => itemsOf(bench.call({}), 'send')[0]!.target)).toEqual([other, other, other]);
});
