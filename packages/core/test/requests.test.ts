import {AttemptEnd} from '../src/messages.ts';
import type {CallerRequest} from '../src/ports.ts';
import {Outcome, RefusalKind} from '../src/refusal.ts';
import {RequestState} from '../src/rows.ts';
import {addresses} from '../src/systems/requests/addresses.ts';
import {startAnswer} from '../src/systems/requests/requests.ts';
import {
	ask, askOnce, createRunningFleet, endAttempt, grantedAt, guestOf, permitsOut, refusalOf, runRecords, seen, starts, untilStarted, untilTold,
} from './support/calls.ts';
import type {Fleet} from './support/fleet.ts';

test.each<[string, Partial<CallerRequest> & {withinMs?: number}, RefusalKind, boolean]>([
	['for an unknown pool', {pool: 'none'}, RefusalKind.UnknownPool, false],
	['whose deadline has passed', {withinMs: 0}, RefusalKind.DeadlinePassed, false],
	['that may run once but has no key', {once: true}, RefusalKind.KeyMissing, false],
	['larger than its workspace\'s queue', {inputTokens: 20_000}, RefusalKind.QueueFull, true],
])('a request %s is refused in the step in which it arrives', (_, options, kind, comesBack) => {
	const fleet = createRunningFleet();
	const request = ask(fleet, 'a', options);
	fleet.run(50);
	expect(refusalOf(fleet, request)).toEqual({kind, outcome: Outcome.NotRun, comesBack});
	expect(fleet.worlds.get('a')!.requests.size).toBe(0);
});

function fill(fleet: Fleet) {
	const requests = Array.from({length: 3}, () => ask(fleet, 'a'));
	for (const request of requests) {
		untilStarted(fleet, request);
	}

	return requests;
}

test('a request whose deadline passes in the queue is refused at once, as not run and with a time to come back', () => {
	const fleet = createRunningFleet();
	fill(fleet);
	const request = ask(fleet, 'a', {withinMs: 500});
	fleet.run(700);
	expect(refusalOf(fleet, request)).toEqual({kind: RefusalKind.DeadlinePassed, outcome: Outcome.NotRun, comesBack: true});
	expect(starts(fleet, request)).toHaveLength(0);
	expect([...fleet.worlds.values()].map(world => world.tickets.size)).toEqual([0, 0, 0]);
});

test('a request without a byte of answer at its deadline is given up as unknown and cancelled at its target', () => {
	const fleet = createRunningFleet();
	const request = ask(fleet, 'a', {withinMs: 1000});
	untilStarted(fleet, request);
	fleet.run(1200);
	expect(refusalOf(fleet, request)).toEqual({kind: RefusalKind.DeadlinePassed, outcome: Outcome.Unknown, comesBack: true});
	expect(seen(fleet, request, 'abortAnswer')).toHaveLength(1);
	endAttempt(fleet, request, AttemptEnd.Cancelled);
	fleet.run(200);
	expect(permitsOut(fleet)).toBe(0);
	expect(refusalOf(fleet, request)).toBeDefined();
});

test('a once request without an answer at its deadline is told so, and its end is recorded when it comes', () => {
	const fleet = createRunningFleet();
	const request = askOnce(fleet, 'a', 'k', 1000);
	untilStarted(fleet, request);
	fleet.run(1200);
	expect(refusalOf(fleet, request)).toEqual({kind: RefusalKind.RunInProgress, outcome: Outcome.Unknown, comesBack: true});
	expect(seen(fleet, request, 'abortAnswer')).toHaveLength(0);
	endAttempt(fleet, request, AttemptEnd.Whole, {answer: 'late'});
	fleet.run(200);
	expect(untilTold(fleet, askOnce(fleet, 'b', 'k'))).toBe('late');
	expect(permitsOut(fleet)).toBe(0);
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
		name: 'running once', once: true, until: untilStarted, runs: 1, records: 1,
	},
	{
		name: 'running', once: false, until: untilStarted, runs: 1, records: 0,
	},
];

test.each(states)('a caller that goes while its request is $name leaves nothing behind', ({name, once, until, runs, records}) => {
	const fleet = createRunningFleet();
	const others = name === 'queued' ? fill(fleet) : [];
	const request = once ? askOnce(fleet, 'a', 'k') : ask(fleet, 'a');
	until(fleet, request);
	fleet.deliver('a', {kind: 'callerGone', request});
	fleet.run(500);
	expect(seen(fleet, request, 'abortAnswer')).toHaveLength(runs === 1 && !once ? 1 : 0);
	if (runs === 1) {
		endAttempt(fleet, request, once ? AttemptEnd.Whole : AttemptEnd.Cancelled);
	}

	for (const other of others) {
		endAttempt(fleet, other, AttemptEnd.Whole);
	}

	fleet.run(2000);
	expect(starts(fleet, request)).toHaveLength(runs);
	expect(refusalOf(fleet, request)).toBeUndefined();
	expect(seen(fleet, request, 'closed')).toHaveLength(1);
	expect(fleet.worlds.get('a')!.requests.size).toBe(0);
	expect(runRecords(fleet)).toHaveLength(records);
	expect(permitsOut(fleet)).toBe(0);
});

test('a caller that goes while its request follows a duplicate leaves the run alone', () => {
	const fleet = createRunningFleet();
	const first = askOnce(fleet, 'a', 'k');
	untilStarted(fleet, first);
	const follower = askOnce(fleet, 'b', 'k');
	fleet.run(500);
	fleet.deliver('b', {kind: 'callerGone', request: follower});
	fleet.run(500);
	expect(seen(fleet, follower, 'closed')).toHaveLength(1);
	expect(fleet.worlds.get('b')!.requests.size).toBe(0);
	expect(runRecords(fleet)).toHaveLength(1);
});

test('a permit that reached a router while it was paused is void, and the request gets another', () => {
	const fleet = createRunningFleet({targets: {t1: 'x'}});
	const guest = guestOf(fleet);
	const request = ask(fleet, guest);
	fleet.runUntil(() => grantedAt(fleet, request) !== undefined, 3000);
	expect(starts(fleet, request)).toHaveLength(0);
	fleet.paused.add(guest);
	fleet.run(2500);
	fleet.paused.delete(guest);
	untilStarted(fleet, request);
	const {startWithinMs} = fleet.worlds.get(guest)!.limits;
	expect(starts(fleet, request)[0]!.at - grantedAt(fleet, request)!).toBeLessThanOrEqual(startWithinMs);
});

test('a router that is cut off refuses what waits and what comes, as not run, and names itself to no caller', () => {
	const fleet = createRunningFleet();
	fill(fleet);
	const waiting = ask(fleet, 'a');
	fleet.delay = (from, to) => from === 'a' || to === 'a' ? undefined : 1;
	fleet.run(9000);
	expect(refusalOf(fleet, waiting)).toEqual({kind: RefusalKind.CutOff, outcome: Outcome.NotRun, comesBack: true});
	const later = ask(fleet, 'a');
	fleet.run(50);
	expect(refusalOf(fleet, later)).toEqual({kind: RefusalKind.CutOff, outcome: Outcome.NotRun, comesBack: true});
	expect(addresses(fleet.worlds.get('a')!)).toEqual([]);
});

test.each([
	['cost', 100, {}],
	['number', 40, {maxQueuedRequests: 40}],
])('requests beyond the limit of a queue by %s are refused at once, however many come', (_, most, limits) => {
	const fleet = createRunningFleet({limits});
	fill(fleet);
	const requests = Array.from({length: 500}, () => ask(fleet, 'a'));
	fleet.run(50);
	const refused = requests.filter(request => refusalOf(fleet, request)?.kind === RefusalKind.QueueFull);
	expect(fleet.worlds.get('a')!.requests.size).toBeLessThanOrEqual(most + 3);
	expect(refused.length).toBeGreaterThanOrEqual(500 - most);
});

test('a permit that is given back unused counts as no attempt', () => {
	const fleet = createRunningFleet();
	const request = ask(fleet, 'a');
	const world = fleet.worlds.get('a')!;
	untilStarted(fleet, request);
	const row = world.requests.get(request)!;
	expect(row.attempts).toBe(1);
	// As if its answer had not been let go yet when the permit became void.
	row.startBy = world.now - 1;
	startAnswer(world, row);
	expect(row.attempts).toBe(0);
});
