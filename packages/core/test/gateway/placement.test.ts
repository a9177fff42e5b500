import {TargetStanding} from '../../src/gateway/rows.ts';
import {
	createBench, filterByKind, createPrompt, createListedTarget,
} from '../support/gateways.ts';

const engines = Array.from({length: 8}, (_, index) => createListedTarget(`engine-${index}`, {pool: 'engines', slots: 4}));
const longSegmentTokens = 5000;

function sendTo(bench: ReturnType<typeof createBench>, segment: string, tokens = longSegmentTokens) {
	return filterByKind(bench.call({path: '/chat/x', prompt: createPrompt(segment, tokens)}), 'send')[0]?.target;
}

test('all instances send a long shared segment to the same engine without communication', () => {
	for (const segment of ['p1', 'p2', 'p3', 'p4']) {
		const targets = new Set([1, 2, 3].map(seed => sendTo(createBench({targets: engines, seed}), segment)));
		expect(targets.size).toBe(1);
	}
});

test('a long shared segment spreads to its second preferred target while the first is full, and no further', () => {
	const bench = createBench({targets: engines, limits: {queueTimeoutFraction: 1}});
	const used = Array.from({length: 20}, () => sendTo(bench, 'hot'));
	expect(new Set(used.filter(target => target !== undefined)).size).toBe(2);
	expect(used).toContain(undefined);
});

test('a single call waits for the preferred target of its segment rather than have it prefilled at another engine', () => {
	const bench = createBench({targets: engines, limits: {queueTimeoutFraction: 1}});
	const used = Array.from({length: 3}, () => sendTo(bench, 'p1'));
	expect(used).toEqual([used[0], used[0], undefined]);
	expect(bench.gateway.queues.get('engines')!.size).toBe(1);
});

test('a segment keeps its preferred target when other engines come or go', () => {
	const preferred = sendTo(createBench({targets: engines}), 'p1');
	const without = engines.filter(({id}) => id !== engines.find(({id: other}) => other !== preferred)!.id);
	expect(sendTo(createBench({targets: without}), 'p1')).toBe(preferred);
});

test('the preferred target of a segment in use follows the list of targets', () => {
	const bench = createBench({targets: engines});
	const preferred = sendTo(bench, 'p1')!;
	bench.step({kind: 'targets', targets: engines.filter(({id}) => id !== preferred)});
	const next = sendTo(bench, 'p1');
	expect(next).not.toBe(preferred);
	bench.step({kind: 'targets', targets: engines});
	expect(sendTo(bench, 'p1')).toBe(preferred);
	bench.step({kind: 'targets', targets: engines.map(target => target.id === preferred ? {...target, standing: TargetStanding.Leaving, revision: 2} : target)});
	expect(sendTo(bench, 'p1')).toBe(next);
});

test('a short shared segment goes to any engine with a free slot', () => {
	const bench = createBench({targets: engines});
	const used = Array.from({length: 16}, () => sendTo(bench, 'hot', 50));
	expect(used).not.toContain(undefined);
	expect(new Set(used).size).toBeGreaterThan(4);
});

test('services are chosen by the shortest queue', () => {
	const bench = createBench({targets: [createListedTarget('t1'), createListedTarget('t2'), createListedTarget('t3')]});
	for (let index = 0; index < 9; index += 1) {
		bench.call({});
	}

	expect([...bench.gateway.targets.rows()].map(({running}) => running)).toEqual([3, 3, 3]);
});

test('the reported load of an answer is used, with the requests sent since', () => {
	const bench = createBench({targets: [createListedTarget('t1'), createListedTarget('t2')]});
	const sent = filterByKind(bench.call({}), 'send')[0]!;
	const other = sent.target === 't1' ? 't2' : 't1';
	bench.step({
		kind: 'answerStarted', call: sent.call, send: sent.send, load: {running: 5, waiting: 0, slots: 6},
	});
	expect([1, 2, 3].map(() => filterByKind(bench.call({}), 'send')[0]!.target)).toEqual([other, other, other]);
});
