import {SendEnd} from '../../src/gateway/ports.ts';
import {TargetStanding} from '../../src/gateway/rows.ts';
import {Outcome, RefusalKind} from '../../src/refusal.ts';
import {
	createBench, createTestCatalogue, filterByKind, createPrompt, createListedTarget, type Bench,
} from '../support/gateways.ts';

function getFirstSend(outbox: ReturnType<Bench['step']>) {
	return filterByKind(outbox, 'send')[0]!;
}

function endSend(bench: Bench, sent: ReturnType<typeof getFirstSend>, sendEnd: SendEnd) {
	return bench.step({
		kind: 'sendEnded', call: sent.call, send: sent.send, end: sendEnd, load: undefined, detail: 'test',
	});
}

const twoTargets = [createListedTarget('t1'), createListedTarget('t2')];

describe('arrival', () => {
	test('a call goes to a target of its route with the workspace of its key', () => {
		const sent = getFirstSend(createBench().call({path: '/look/x/y'}));
		expect(sent).toMatchObject({
			target: 't1', pool: 'desk', workspace: 'a', hasKeys: true, remainingMs: 1000, isRepeatable: true,
		});
	});

	test.each([
		['no route', {path: '/none/'}, RefusalKind.UnknownRoute],
		['another host', {host: 'other.example'}, RefusalKind.UnknownRoute],
		['an unknown key', {key: 'key-z'}, RefusalKind.UnknownWorkspace],
		['no key', {key: ''}, RefusalKind.UnknownWorkspace],
		['a deadline that has passed', {remainingMs: 0}, RefusalKind.DeadlinePassed],
	])('%s is refused at once as not run', (_name, arrival, kind) => {
		const outbox = createBench().call(arrival);
		expect(filterByKind(outbox, 'refuse')).toMatchObject([{refusal: {kind, outcome: Outcome.NotRun}}]);
		expect(filterByKind(outbox, 'send')).toEqual([]);
	});

	test('before the first catalogue a call is refused with a retry-after delay', () => {
		const {gateway, step} = createBench();
		gateway.catalogue = undefined;
		const outbox = step({
			kind: 'callArrived', call: {
				id: 'x', requestId: 'x', resumption: undefined, host: 'desk.example', path: '/look/', key: 'key-a', remainingMs: 1000, prompt: undefined, fingerprint: 'f',
			},
		});
		expect(filterByKind(outbox, 'refuse')[0]!.refusal).toMatchObject({kind: RefusalKind.NotReady, retryAfterMs: 1000});
	});

	test('the remaining time sent to a target is never more than the route\'s timeout or what the caller has left', () => {
		expect(getFirstSend(createBench().call({remainingMs: 5000})).remainingMs).toBe(1000);
		expect(getFirstSend(createBench().call({remainingMs: 300})).remainingMs).toBe(300);
	});

	test('without a target a call is refused at once with a retry-after delay', () => {
		const outbox = createBench({targets: [createListedTarget('t1', {standing: TargetStanding.Leaving})]}).call({});
		expect(filterByKind(outbox, 'refuse')[0]!.refusal).toMatchObject({kind: RefusalKind.NoCapacity, outcome: Outcome.NotRun, retryAfterMs: 1000});
	});
});

describe('end of a send', () => {
	test('a repeatable call whose connection broke is sent to another target, within its maximum of attempts', () => {
		const bench = createBench({targets: twoTargets});
		const first = getFirstSend(bench.call({}));
		const second = getFirstSend(endSend(bench, first, SendEnd.Broken));
		expect(second.target).not.toBe(first.target);
		const last = endSend(bench, second, SendEnd.Broken);
		expect(filterByKind(last, 'send')).toEqual([]);
		expect(filterByKind(last, 'refuse')[0]!.refusal).toMatchObject({kind: RefusalKind.TargetFailed, outcome: Outcome.Unknown});
	});

	test('a call that may run at most once is not sent again when it may have run, and its outcome is unknown', () => {
		const bench = createBench({targets: twoTargets});
		const outbox = endSend(bench, getFirstSend(bench.call({path: '/book/x'})), SendEnd.Broken);
		expect(filterByKind(outbox, 'send')).toEqual([]);
		expect(filterByKind(outbox, 'refuse')[0]!.refusal.outcome).toBe(Outcome.Unknown);
	});

	test('a call that may run at most once is sent to another target when no connection was established', () => {
		const bench = createBench({targets: twoTargets});
		const first = getFirstSend(bench.call({path: '/book/x'}));
		const second = getFirstSend(endSend(bench, first, SendEnd.NotSent));
		expect(second.target).not.toBe(first.target);
	});

	test('a call whose only attempt was refused by its target is refused with a retry-after delay', () => {
		const bench = createBench({targets: twoTargets});
		const outbox = endSend(bench, getFirstSend(bench.call({path: '/book/x'})), SendEnd.Refused);
		expect(filterByKind(outbox, 'refuse')[0]!.refusal).toMatchObject({kind: RefusalKind.NoCapacity, outcome: Outcome.NotRun});
		expect(filterByKind(outbox, 'refuse')[0]!.refusal.retryAfterMs).toBeGreaterThan(0);
	});

	test('a target\'s failure answer is forwarded to the caller when no attempt is left', () => {
		const bench = createBench({targets: twoTargets});
		const second = getFirstSend(endSend(bench, getFirstSend(bench.call({})), SendEnd.Failed));
		expect(filterByKind(endSend(bench, second, SendEnd.Failed), 'deliverFailure')).toHaveLength(1);
	});

	test('a resumable stream that broke is resumed at another target; any other stream ends', () => {
		const targets = [createListedTarget('e1', {pool: 'engines', slots: 64}), createListedTarget('e2', {pool: 'engines', slots: 64})];
		const bench = createBench({targets});
		const first = getFirstSend(bench.call({path: '/chat/x', prompt: createPrompt('p', 100)}));
		bench.step({kind: 'answerDelivered', call: first.call});
		expect(getFirstSend(endSend(bench, first, SendEnd.Broken))).toMatchObject({isResumed: true});
		const other = getFirstSend(bench.call({path: '/plan/x', prompt: createPrompt('p', 100)}));
		bench.step({kind: 'answerDelivered', call: other.call});
		expect(filterByKind(endSend(bench, other, SendEnd.Broken), 'refuse')[0]!.refusal.kind).toBe(RefusalKind.AnswerBroken);
	});

	test('the end of an earlier send is ignored after a later send', () => {
		const bench = createBench({targets: twoTargets});
		const first = getFirstSend(bench.call({}));
		const second = getFirstSend(endSend(bench, first, SendEnd.Broken));
		expect(endSend(bench, first, SendEnd.Complete)).toEqual([]);
		expect(filterByKind(endSend(bench, second, SendEnd.Complete), 'closed')).toHaveLength(1);
	});

	test('retries stop when the instance has spent its share of the retry budget', () => {
		const bench = createBench({targets: twoTargets, instances: ['self', 'other'], limits: {extraRetries: 4, retryRatio: 0, retryBudgetFraction: 1}});
		let retries = 0;
		for (let index = 0; index < 5; index += 1) {
			const sent = getFirstSend(bench.call({}));
			const again = filterByKind(endSend(bench, sent, SendEnd.Broken), 'send');
			retries += again.length;
			if (again[0]) {
				endSend(bench, again[0], SendEnd.Complete);
			}

			for (const target of bench.gateway.targets.rows()) {
				Object.assign(target, {consecutiveFailures: 0, setAsideUntil: 0});
			}
		}

		expect(retries).toBe(2);
	});
});

describe('timeouts', () => {
	test('a call in flight is refused at its timeout and cancelled at its target', () => {
		const bench = createBench();
		bench.call({});
		expect(filterByKind(bench.wait(999), 'refuse')).toEqual([]);
		const outbox = bench.wait(1);
		expect(filterByKind(outbox, 'cancel')).toHaveLength(1);
		expect(filterByKind(outbox, 'refuse')[0]!.refusal).toMatchObject({kind: RefusalKind.DeadlinePassed, outcome: Outcome.Unknown});
	});

	test('a queued call is refused at its queue timeout, long before its deadline', () => {
		const bench = createBench({targets: [createListedTarget('t1', {slots: 1})]});
		bench.call({});
		expect(filterByKind(bench.call({}), 'refuse')).toEqual([]);
		const outbox = bench.wait(200);
		expect(filterByKind(outbox, 'refuse')[0]!.refusal).toMatchObject({kind: RefusalKind.NoCapacity, outcome: Outcome.NotRun});
	});

	test('when a caller disconnects, its call is cancelled at the target and the slot is free', () => {
		const bench = createBench({targets: [createListedTarget('t1', {slots: 1})]});
		bench.call({});
		bench.call({});
		const outbox = bench.step({kind: 'callerGone', call: 'c1'});
		expect(filterByKind(outbox, 'cancel')).toMatchObject([{call: 'c1'}]);
		expect(filterByKind(outbox, 'send')).toMatchObject([{call: 'c2'}]);
	});
});

describe('queue', () => {
	test('a free slot goes to the workspace with the fewest served tokens, whatever its priority', () => {
		const bench = createBench({targets: [createListedTarget('t1', {slots: 1})]});
		const first = getFirstSend(bench.call({key: 'key-a'}));
		bench.call({key: 'key-a'});
		bench.call({key: 'key-c'});
		expect(getFirstSend(endSend(bench, first, SendEnd.Complete)).workspace).toBe('c');
	});

	test('when a flood of one workspace overflows the queue, its own calls are evicted and those of others stay', () => {
		const bench = createBench({targets: [createListedTarget('t1', {slots: 1})]});
		bench.call({key: 'key-a'});
		const refused: string[] = [];
		for (let index = 0; index < 20; index += 1) {
			refused.push(...filterByKind(bench.call({key: 'key-a'}), 'refuse').map(({call}) => call));
		}

		const outbox = bench.call({key: 'key-b'});
		expect(refused.length).toBeGreaterThan(10);
		expect(filterByKind(outbox, 'refuse').map(({call}) => call)).not.toContain('c22');
		expect(bench.gateway.calls.has('c22')).toBe(true);
	});

	test('a call whose targets are full doesn\'t block one that other targets can take', () => {
		const targets = [createListedTarget('t1', {slots: 1}), createListedTarget('e1', {pool: 'engines', slots: 64})];
		const bench = createBench({targets});
		bench.call({});
		bench.call({});
		expect(getFirstSend(bench.call({path: '/chat/x', prompt: createPrompt('p', 100)})).target).toBe('e1');
	});
});

test('the pool of a route follows its weights, and a new catalogue applies to the next call', () => {
	const bench = createBench({targets: [createListedTarget('t1'), createListedTarget('n1', {pool: 'next'})]});
	expect(getFirstSend(bench.call({})).pool).toBe('desk');
	const {pools, routes} = createTestCatalogue();
	const look = {...routes.get('desk.example')!.get('/look/')!, weightedPools: [{pool: 'next', weight: 1}]};
	bench.step({kind: 'catalogue', catalogue: createTestCatalogue({version: 3, routes: [look], pools: [...pools.values(), {...pools.get('desk')!, name: 'next'}]})});
	expect(getFirstSend(bench.call({})).pool).toBe('next');
	bench.step({kind: 'catalogue', catalogue: createTestCatalogue({version: 2})});
	expect(bench.gateway.catalogue?.version).toBe(3);
	expect(getFirstSend(bench.call({})).pool).toBe('next');
});
