import {AttemptEnd} from '../src/messages.ts';
import type {CallerRequest} from '../src/ports.ts';
import {Outcome, RefusalKind} from '../src/refusal.ts';
import {RequestState} from '../src/rows.ts';
import {getAddresses} from '../src/systems/requests/addresses.ts';
import {startAnswer} from '../src/systems/requests/requests.ts';
import {
	sendRequest, sendOnceRequest, createRunningFleet, endAttempt, findGrantTime, findRouterWithoutTargets, countPermits, getRefusal,
	getRunRecords, getOutbound, getStarts, runUntilStarted, runUntilAnswered,
} from './support/calls.ts';
import type {Fleet} from './support/fleet.ts';

test.each<[string, Partial<CallerRequest> & {withinMs?: number}, RefusalKind, boolean]>([
	['for an unknown pool', {pool: 'none'}, RefusalKind.UnknownPool, false],
	['whose deadline has passed', {withinMs: 0}, RefusalKind.DeadlinePassed, false],
	['that may run only once but has no idempotency key', {once: true}, RefusalKind.KeyMissing, false],
	['larger than its workspace\'s queue', {inputTokens: 20_000}, RefusalKind.QueueFull, true],
])('a request %s is refused in the step in which it arrives', (_, options, kind, hasRetryAfter) => {
	const fleet = createRunningFleet();
	const request = sendRequest(fleet, 'a', options);
	fleet.run(50);
	expect(getRefusal(fleet, request)).toEqual({kind, outcome: Outcome.NotRun, hasRetryAfter});
	expect(fleet.worlds.get('a')!.requests.size).toBe(0);
});

function fillAllSlots(fleet: Fleet) {
	const requests = Array.from({length: 3}, () => sendRequest(fleet, 'a'));
	for (const request of requests) {
		runUntilStarted(fleet, request);
	}

	return requests;
}

test('a request whose deadline passes in the queue is refused as not run, with a retry-after delay', () => {
	const fleet = createRunningFleet();
	fillAllSlots(fleet);
	const request = sendRequest(fleet, 'a', {withinMs: 500});
	fleet.run(700);
	expect(getRefusal(fleet, request)).toEqual({kind: RefusalKind.DeadlinePassed, outcome: Outcome.NotRun, hasRetryAfter: true});
	expect(getStarts(fleet, request)).toHaveLength(0);
	expect([...fleet.worlds.values()].map(world => world.tickets.size)).toEqual([0, 0, 0]);
});

test('a request without a byte of its answer at the deadline is refused as unknown and cancelled at its target', () => {
	const fleet = createRunningFleet();
	const request = sendRequest(fleet, 'a', {withinMs: 1000});
	runUntilStarted(fleet, request);
	fleet.run(1200);
	expect(getRefusal(fleet, request)).toEqual({kind: RefusalKind.DeadlinePassed, outcome: Outcome.Unknown, hasRetryAfter: true});
	expect(getOutbound(fleet, request, 'abortAnswer')).toHaveLength(1);
	endAttempt(fleet, request, AttemptEnd.Cancelled);
	fleet.run(200);
	expect(countPermits(fleet)).toBe(0);
	expect(getRefusal(fleet, request)).toBeDefined();
});

test('a once request without an answer at its deadline is refused as in progress, and its end is recorded when it comes', () => {
	const fleet = createRunningFleet();
	const request = sendOnceRequest(fleet, 'a', 'k', 1000);
	runUntilStarted(fleet, request);
	fleet.run(1200);
	expect(getRefusal(fleet, request)).toEqual({kind: RefusalKind.RunInProgress, outcome: Outcome.Unknown, hasRetryAfter: true});
	expect(getOutbound(fleet, request, 'abortAnswer')).toHaveLength(0);
	endAttempt(fleet, request, AttemptEnd.Whole, {answer: 'late'});
	fleet.run(200);
	expect(runUntilAnswered(fleet, sendOnceRequest(fleet, 'b', 'k'))).toBe('late');
	expect(countPermits(fleet)).toBe(0);
});

type State = {name: string; once: boolean; until: (fleet: Fleet, request: string) => void; runs: number; records: number};

const states: State[] = [
	{
		name: 'checking its record', once: true, until(fleet) {
			fleet.run(50);
		}, runs: 0, records: 0,
	},
	{
		name: 'queued',
		once: false,
		until(fleet) {
			fleet.run(300);
		},
		runs: 0,
		records: 0,
	},
	{
		name: 'claiming its record',
		once: true,
		until(fleet, request) {
			fleet.runUntil(() => fleet.worlds.get('a')!.requests.get(request)?.state === RequestState.Claiming, 3000);
		},
		runs: 0,
		records: 0,
	},
	{
		name: 'running once', once: true, until: runUntilStarted, runs: 1, records: 1,
	},
	{
		name: 'running', once: false, until: runUntilStarted, runs: 1, records: 0,
	},
];

test.each(states)('a caller that disconnects while its request is $name leaves no request, permit or unneeded run record', ({name, once, until, runs, records}) => {
	const fleet = createRunningFleet();
	const others = name === 'queued' ? fillAllSlots(fleet) : [];
	const request = once ? sendOnceRequest(fleet, 'a', 'k') : sendRequest(fleet, 'a');
	until(fleet, request);
	fleet.deliver('a', {kind: 'callerGone', request});
	fleet.run(500);
	expect(getOutbound(fleet, request, 'abortAnswer')).toHaveLength(runs === 1 && !once ? 1 : 0);
	if (runs === 1) {
		endAttempt(fleet, request, once ? AttemptEnd.Whole : AttemptEnd.Cancelled);
	}

	for (const other of others) {
		endAttempt(fleet, other, AttemptEnd.Whole);
	}

	fleet.run(2000);
	expect(getStarts(fleet, request)).toHaveLength(runs);
	expect(getRefusal(fleet, request)).toBeUndefined();
	expect(getOutbound(fleet, request, 'closed')).toHaveLength(1);
	expect(fleet.worlds.get('a')!.requests.size).toBe(0);
	expect(getRunRecords(fleet)).toHaveLength(records);
	expect(countPermits(fleet)).toBe(0);
});

test('a caller that disconnects while its request waits for a duplicate does not affect the run', () => {
	const fleet = createRunningFleet();
	const first = sendOnceRequest(fleet, 'a', 'k');
	runUntilStarted(fleet, first);
	const duplicate = sendOnceRequest(fleet, 'b', 'k');
	fleet.run(500);
	fleet.deliver('b', {kind: 'callerGone', request: duplicate});
	fleet.run(500);
	expect(getOutbound(fleet, duplicate, 'closed')).toHaveLength(1);
	expect(fleet.worlds.get('b')!.requests.size).toBe(0);
	expect(getRunRecords(fleet)).toHaveLength(1);
});

test('a permit that expired while its router was paused is not used, and the request gets another', () => {
	const fleet = createRunningFleet({targets: {t1: 'x'}});
	const origin = findRouterWithoutTargets(fleet);
	const request = sendRequest(fleet, origin);
	fleet.runUntil(() => findGrantTime(fleet, request) !== undefined, 3000);
	expect(getStarts(fleet, request)).toHaveLength(0);
	fleet.paused.add(origin);
	fleet.run(2500);
	fleet.paused.delete(origin);
	runUntilStarted(fleet, request);
	const {startWithinMs} = fleet.worlds.get(origin)!.limits;
	expect(getStarts(fleet, request)[0]!.at - findGrantTime(fleet, request)!).toBeLessThanOrEqual(startWithinMs);
});

test('a router that is cut off refuses queued and new requests as not run, and gives callers no addresses', () => {
	const fleet = createRunningFleet();
	fillAllSlots(fleet);
	const waiting = sendRequest(fleet, 'a');
	fleet.delay = (from, to) => from === 'a' || to === 'a' ? undefined : 1;
	fleet.run(9000);
	expect(getRefusal(fleet, waiting)).toEqual({kind: RefusalKind.CutOff, outcome: Outcome.NotRun, hasRetryAfter: true});
	const later = sendRequest(fleet, 'a');
	fleet.run(50);
	expect(getRefusal(fleet, later)).toEqual({kind: RefusalKind.CutOff, outcome: Outcome.NotRun, hasRetryAfter: true});
	expect(getAddresses(fleet.worlds.get('a')!)).toEqual([]);
});

test.each([
	['cost', 100, {}],
	['number', 40, {maxQueuedRequests: 40}],
])('requests beyond the limit of a queue by %s are refused at once, however many arrive', (_, limit, limits) => {
	const fleet = createRunningFleet({limits});
	fillAllSlots(fleet);
	const requests = Array.from({length: 500}, () => sendRequest(fleet, 'a'));
	fleet.run(50);
	const refused = requests.filter(request => getRefusal(fleet, request)?.kind === RefusalKind.QueueFull);
	expect(fleet.worlds.get('a')!.requests.size).toBeLessThanOrEqual(limit + 3);
	expect(refused.length).toBeGreaterThanOrEqual(500 - limit);
});

test('a permit that is returned unused does not count as an attempt', () => {
	const fleet = createRunningFleet();
	const request = sendRequest(fleet, 'a');
	const world = fleet.worlds.get('a')!;
	runUntilStarted(fleet, request);
	const row = world.requests.get(request)!;
	expect(row.attempts).toBe(1);
	// The permit expires before the request is sent.
	row.startBy = world.now - 1;
	startAnswer(world, row);
	expect(row.attempts).toBe(0);
});
