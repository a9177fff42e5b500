import {SendEnd} from '../../src/gateway/ports.ts';
import {TargetStanding} from '../../src/gateway/rows.ts';
import {Outcome, RefusalKind} from '../../src/refusal.ts';
import {
	benchOf, catalogueOf, itemsOf, promptOf, targetOf, type Bench,
} from '../support/gateways.ts';

function sendOf(outbox: ReturnType<Bench['step']>) {
	return itemsOf(outbox, 'send')[0]!;
}

function end(bench: Bench, sent: ReturnType<typeof sendOf>, how: SendEnd) {
	return bench.step({
		kind: 'sendEnded', call: sent.call, send: sent.send, end: how, load: undefined, detail: 'test',
	});
}

const twoTargets = [targetOf('t1'), targetOf('t2')];

describe('arrival', () => {
	test('a call goes to a target of its route with the workspace of its key', () => {
		const sent = sendOf(benchOf().call({path: '/look/x/y'}));
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
		const outbox = benchOf().call(arrival);
		expect(itemsOf(outbox, 'refuse')).toMatchObject([{refusal: {kind, outcome: Outcome.NotRun}}]);
		expect(itemsOf(outbox, 'send')).toEqual([]);
	});

	test('before the first catalogue a call is told to come back', () => {
		const {gateway, step} = benchOf();
		gateway.catalogue = undefined;
		const outbox = step({
			kind: 'callArrived', call: {
				id: 'x', host: 'desk.example', path: '/look/', key: 'key-a', remainingMs: 1000, prompt: undefined,
			},
		});
		expect(itemsOf(outbox, 'refuse')[0]!.refusal).toMatchObject({kind: RefusalKind.NotReady, retryAfterMs: 1000});
	});

	test('the time handed on is never more than the route\'s timeout or what the caller has left', () => {
		expect(sendOf(benchOf().call({remainingMs: 5000})).remainingMs).toBe(1000);
		expect(sendOf(benchOf().call({remainingMs: 300})).remainingMs).toBe(300);
	});

	test('without a target a call is refused at once and told when to come back', () => {
		const outbox = benchOf({targets: [targetOf('t1', {standing: TargetStanding.Leaving})]}).call({});
		expect(itemsOf(outbox, 'refuse')[0]!.refusal).toMatchObject({kind: RefusalKind.NoCapacity, outcome: Outcome.NotRun, retryAfterMs: 1000});
	});
});

describe('ends of sends', () => {
	test('a repeatable call that broke goes to another target, within its attempts', () => {
		const bench = benchOf({targets: twoTargets});
		const first = sendOf(bench.call({}));
		const second = sendOf(end(bench, first, SendEnd.Broken));
		expect(second.target).not.toBe(first.target);
		const last = end(bench, second, SendEnd.Broken);
		expect(itemsOf(last, 'send')).toEqual([]);
		expect(itemsOf(last, 'refuse')[0]!.refusal).toMatchObject({kind: RefusalKind.TargetFailed, outcome: Outcome.Unknown});
	});

	test('a call that may run once is never sent again after it may have run, and not said not to have run', () => {
		const bench = benchOf({targets: twoTargets});
		const outbox = end(bench, sendOf(bench.call({path: '/book/x'})), SendEnd.Broken);
		expect(itemsOf(outbox, 'send')).toEqual([]);
		expect(itemsOf(outbox, 'refuse')[0]!.refusal.outcome).toBe(Outcome.Unknown);
	});

	test('a call that may run once goes elsewhere when no connection was made', () => {
		const bench = benchOf({targets: twoTargets});
		const first = sendOf(bench.call({path: '/book/x'}));
		const second = sendOf(end(bench, first, SendEnd.NotSent));
		expect(second.target).not.toBe(first.target);
	});

	test('a call whose only attempt was refused by its target is told to come back', () => {
		const bench = benchOf({targets: twoTargets});
		const outbox = end(bench, sendOf(bench.call({path: '/book/x'})), SendEnd.Refused);
		expect(itemsOf(outbox, 'refuse')[0]!.refusal).toMatchObject({kind: RefusalKind.NoCapacity, outcome: Outcome.NotRun});
		expect(itemsOf(outbox, 'refuse')[0]!.refusal.retryAfterMs).toBeGreaterThan(0);
	});

	test('a target\'s failure reaches the caller when nothing is left to try', () => {
		const bench = benchOf({targets: twoTargets});
		const second = sendOf(end(bench, sendOf(bench.call({})), SendEnd.Failed));
		expect(itemsOf(end(bench, second, SendEnd.Failed), 'deliverFailure')).toHaveLength(1);
	});

	test('a stream that may be resumed goes on from what the caller has; another ends', () => {
		const targets = [targetOf('e1', {pool: 'engines', slots: 64}), targetOf('e2', {pool: 'engines', slots: 64})];
		const bench = benchOf({targets});
		const first = sendOf(bench.call({path: '/chat/x', prompt: promptOf('p', 100)}));
		bench.step({kind: 'answerDelivered', call: first.call});
		expect(sendOf(end(bench, first, SendEnd.Broken))).toMatchObject({isResumed: true});
		const other = sendOf(bench.call({path: '/plan/x', prompt: promptOf('p', 100)}));
		bench.step({kind: 'answerDelivered', call: other.call});
		expect(itemsOf(end(bench, other, SendEnd.Broken), 'refuse')[0]!.refusal.kind).toBe(RefusalKind.AnswerBroken);
	});

	test('the end of an earlier send says nothing of a later one', () => {
		const bench = benchOf({targets: twoTargets});
		const first = sendOf(bench.call({}));
		const second = sendOf(end(bench, first, SendEnd.Broken));
		expect(end(bench, first, SendEnd.Whole)).toEqual([]);
		expect(itemsOf(end(bench, second, SendEnd.Whole), 'closed')).toHaveLength(1);
	});

	test('retries stop when the budget of the fleet\'s member is spent', () => {
		const bench = benchOf({targets: twoTargets, instances: ['self', 'other'], limits: {retryExtra: 4, retryRatio: 0, retryUse: 1}});
		let retries = 0;
		for (let index = 0; index < 5; index += 1) {
			const sent = sendOf(bench.call({}));
			const again = itemsOf(end(bench, sent, SendEnd.Broken), 'send');
			retries += again.length;
			if (again[0]) {
				end(bench, again[0], SendEnd.Whole);
			}

			for (const target of bench.gateway.targets.rows()) {
				Object.assign(target, {failuresInRow: 0, setAsideUntil: 0});
			}
		}

		expect(retries).toBe(2);
	});
});

describe('time', () => {
	test('a call that was sent gets its final answer at its timeout, and its target stops', () => {
		const bench = benchOf();
		bench.call({});
		expect(itemsOf(bench.wait(999), 'refuse')).toEqual([]);
		const outbox = bench.wait(1);
		expect(itemsOf(outbox, 'cancel')).toHaveLength(1);
		expect(itemsOf(outbox, 'refuse')[0]!.refusal).toMatchObject({kind: RefusalKind.DeadlinePassed, outcome: Outcome.Unknown});
	});

	test('a call that found no place is refused when its patience ends, long before its deadline', () => {
		const bench = benchOf({targets: [targetOf('t1', {slots: 1})]});
		bench.call({});
		expect(itemsOf(bench.call({}), 'refuse')).toEqual([]);
		const outbox = bench.wait(200);
		expect(itemsOf(outbox, 'refuse')[0]!.refusal).toMatchObject({kind: RefusalKind.NoCapacity, outcome: Outcome.NotRun});
	});

	test('a caller that leaves cancels its call at the target and frees the place', () => {
		const bench = benchOf({targets: [targetOf('t1', {slots: 1})]});
		bench.call({});
		bench.call({});
		const outbox = bench.step({kind: 'callerGone', call: 'c1'});
		expect(itemsOf(outbox, 'cancel')).toMatchObject([{call: 'c1'}]);
		expect(itemsOf(outbox, 'send')).toMatchObject([{call: 'c2'}]);
	});
});

describe('queue', () => {
	test('a place that comes free goes to the workspace that has used least, whatever its rank', () => {
		const bench = benchOf({targets: [targetOf('t1', {slots: 1})]});
		const first = sendOf(bench.call({key: 'key-a'}));
		bench.call({key: 'key-a'});
		bench.call({key: 'key-c'});
		expect(sendOf(end(bench, first, SendEnd.Whole)).workspace).toBe('c');
	});

	test('a flood of one workspace fills its own part of the queue: others still wait their turn', () => {
		const bench = benchOf({targets: [targetOf('t1', {slots: 1})]});
		bench.call({key: 'key-a'});
		const refused: string[] = [];
		for (let index = 0; index < 20; index += 1) {
			refused.push(...itemsOf(bench.call({key: 'key-a'}), 'refuse').map(({call}) => call));
		}

		const outbox = bench.call({key: 'key-b'});
		expect(refused.length).toBeGreaterThan(10);
		expect(itemsOf(outbox, 'refuse').map(({call}) => call)).not.toContain('c22');
		expect(bench.gateway.calls.has('c22')).toBe(true);
	});

	test('a call whose targets are full doesn\'t hold up one that may go elsewhere', () => {
		const targets = [targetOf('t1', {slots: 1}), targetOf('e1', {pool: 'engines', slots: 64})];
		const bench = benchOf({targets});
		bench.call({});
		bench.call({});
		expect(sendOf(bench.call({path: '/chat/x', prompt: promptOf('p', 100)})).target).toBe('e1');
	});
});

test('the pool of a route follows its weights, and a new catalogue is in force for the next call', () => {
	const bench = benchOf({targets: [targetOf('t1'), targetOf('n1', {pool: 'next'})]});
	expect(sendOf(bench.call({})).pool).toBe('desk');
	const {pools, routes} = catalogueOf();
	const look = {...routes.get('desk.example')!.get('/look/')!, shares: [{pool: 'next', weight: 1}]};
	bench.step({kind: 'catalogue', catalogue: catalogueOf({version: 3, routes: [look], pools: [...pools.values(), {...pools.get('desk')!, name: 'next'}]})});
	expect(sendOf(bench.call({})).pool).toBe('next');
	bench.step({kind: 'catalogue', catalogue: catalogueOf({version: 2})});
	expect(bench.gateway.catalogue?.version).toBe(3);
	expect(sendOf(bench.call({})).pool).toBe('next');
});
