import {CallKind} from '../../src/gateway/catalogue.ts';
import {StopPhase} from '../../src/gateway/gateway.ts';
import {SendEnd} from '../../src/gateway/ports.ts';
import {LogPart} from '../../src/ports.ts';
import {Outcome, RefusalKind} from '../../src/refusal.ts';
import {
	createBench, createListedTarget, createRoute, createTestCatalogue, endSend, filterByKind, type Bench,
} from '../support/gateways.ts';

const maxStopMs = 7000;
const streamMs = 12_000;
const slots = 2;

/** Starts a stop with one call in work. */
function linger(route = createRoute({pathPrefix: '/look/', timeoutMs: streamMs})): Bench {
	const bench = createBench({catalogue: createTestCatalogue({routes: [route]}), targets: [createListedTarget('t1', {slots})], limits: {maxStopMs}});
	bench.call({remainingMs: streamMs});
	bench.step({kind: 'stopRequested'});
	return bench;
}

/** Starts a stop, and waits until the instance drains. */
function drain(): Bench {
	const bench = linger();
	bench.wait(2500);
	expect(bench.gateway.stopPhase).toBe(StopPhase.Draining);
	return bench;
}

// Guards against requests on kept connections that a stopping instance took late and cut at its end.
test('a call that may outlast the stop is refused on arrival as not run', () => {
	const outbox = drain().call({remainingMs: streamMs});
	expect(filterByKind(outbox, 'send')).toEqual([]);
	expect(filterByKind(outbox, 'refuse')).toMatchObject([{refusal: {kind: RefusalKind.Stopping, outcome: Outcome.NotRun, retryAfterMs: 0}}]);
});

test('a call whose deadline lies before the end of the stop is served', () => {
	const bench = drain();
	const [send] = filterByKind(bench.call({remainingMs: 1000}), 'send');
	expect(filterByKind(endSend(bench, send!, SendEnd.Complete), 'closed')).toHaveLength(1);
	bench.wait(4000);
	expect(filterByKind(bench.call({remainingMs: 1000}), 'send')).toEqual([]);
});

test('no call is served after the end of the stop, however short it is', () => {
	const bench = drain();
	bench.step({kind: 'callerGone', call: 'c1'});
	expect(bench.gateway.stopPhase).toBe('done');
	const outbox = bench.call({remainingMs: 10});
	expect(filterByKind(outbox, 'send')).toEqual([]);
	expect(filterByKind(outbox, 'refuse')).toMatchObject([{refusal: {kind: RefusalKind.Stopping}}]);
});

test('calls that are left at the end of the stop get a final answer, "not run" only where it is true', () => {
	const bench = drain();
	bench.gateway.targets.get('t1')!.slots = 1;
	bench.call({remainingMs: 4000});
	bench.gateway.calls.get('c2')!.queueTimeoutAt = Number.POSITIVE_INFINITY;
	bench.gateway.calls.get('c2')!.deadline = Number.POSITIVE_INFINITY;
	const outbox = bench.wait(maxStopMs);
	expect(filterByKind(outbox, 'refuse')).toMatchObject([
		{call: 'c1', refusal: {kind: RefusalKind.TargetFailed, outcome: Outcome.Unknown}},
		{call: 'c2', refusal: {kind: RefusalKind.Stopping, outcome: Outcome.NotRun}},
	]);
	expect(filterByKind(outbox, 'cancel')).toMatchObject([{call: 'c1'}]);
	expect(outbox.findIndex(({kind}) => kind === 'stopped')).toBeGreaterThan(outbox.findLastIndex(({kind}) => kind === 'refuse'));
});

test('each phase says when it was due and when it ran, and the end says what became of the calls that were cut', () => {
	const bench = drain();
	bench.gateway.targets.get('t1')!.slots = 1;
	bench.call({remainingMs: streamMs});
	const ended = filterByKind(bench.wait(maxStopMs), 'log').find(({part}) => part === LogPart.Stop);
	expect(ended).toMatchObject({
		text: 'stopped',
		fields: {
			dueMs: maxStopMs, afterMs: maxStopMs + 2500, calls: 1, refused: 1, begun: 0, mayHaveRun: 1, notRun: 0,
		},
	});
});

// Guards against calls that are taken since the phase of the stop is behind the time.
test('a call that arrives with the first step after a stall is refused if it may outlast the stop', () => {
	const bench = linger();
	bench.gateway.now += 4000;
	const outbox = bench.call({remainingMs: streamMs});
	expect(filterByKind(outbox, 'send')).toEqual([]);
	expect(filterByKind(outbox, 'refuse')).toMatchObject([{refusal: {kind: RefusalKind.Stopping, outcome: Outcome.NotRun}}]);
});

test('a stop ends with the first step after a stall that began before its second phase', () => {
	const bench = linger();
	expect(filterByKind(bench.wait(maxStopMs), 'stopped')).toHaveLength(1);
});

// Guards against a running stop that new settings prolong beyond its kill.
test('neither new settings nor another request to stop change the times of a running stop', () => {
	const bench = linger();
	Object.assign(bench.gateway.limits, {lingerMs: 6000, maxStopMs: 60_000});
	bench.wait(2500);
	bench.step({kind: 'stopRequested'});
	expect(bench.gateway.stopPhase).toBe(StopPhase.Draining);
	expect(filterByKind(bench.wait(maxStopMs - 2500), 'stopped')).toHaveLength(1);
});

const lingeringCases: Array<[CallKind, number, boolean]> = [
	[CallKind.Once, 6000, false], [CallKind.Once, 4000, true], [CallKind.Repeatable, 6000, true], [CallKind.Streamed, 6000, true],
];

// Guards against calls that a stopping instance takes and whose outcome it can't tell their callers.
test.each(lingeringCases)('a call that is %s with an objective of %d ms, two seconds into a stop of seven: taken %s', (kind, objectiveMs, isTaken) => {
	const bench = linger(createRoute({
		pathPrefix: '/look/', timeoutMs: streamMs, kind, objectiveMs,
	}));
	bench.wait(2000);
	const outbox = bench.call({remainingMs: streamMs});
	expect(filterByKind(outbox, 'send')).toHaveLength(isTaken ? 1 : 0);
	expect(filterByKind(outbox, 'refuse').map(({refusal: {kind: refusalKind, outcome}}) => [refusalKind, outcome])).toEqual(isTaken ? [] : [[RefusalKind.Stopping, Outcome.NotRun]]);
});

// Guards against a process that stands still when it is told to stop, and is killed before its stop ends.
test('a stop whose request may be older than its handling ends by the age of the request', () => {
	const bench = createBench({
		catalogue: createTestCatalogue({routes: [createRoute({pathPrefix: '/look/', timeoutMs: streamMs})]}), targets: [createListedTarget('t1', {slots})], limits: {maxStopMs},
	});
	bench.wait(5000);
	bench.call({remainingMs: streamMs});
	bench.step({kind: 'stopRequested', at: bench.gateway.now - 4000});
	expect(bench.gateway.stopPhase).toBe(StopPhase.Draining);
	expect(filterByKind(bench.wait(maxStopMs - 4000), 'stopped')).toHaveLength(1);
});
