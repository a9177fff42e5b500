import {AttemptEnd} from '../src/messages.ts';
import {Outcome, RefusalKind} from '../src/refusal.ts';
import {
	askOnce, createRunningFleet, endAttempt, grantedAt, guestOf, permitsOut, refusalOf, runRecords, starts, untilStarted, untilTold, writesRun,
} from './support/calls.ts';
import type {Fleet} from './support/fleet.ts';
import {StoreFault} from './support/store-map.ts';

const answer = '{"body":"booked"}';
const storeRefusal = {kind: RefusalKind.StoreUnavailable, outcome: Outcome.NotRun, comesBack: true};
const unknown = {kind: RefusalKind.RunOutcomeUnknown, outcome: Outcome.Unknown};

function finish(fleet: Fleet, request: string) {
	endAttempt(fleet, request, AttemptEnd.Whole, {answer});
	fleet.run(500);
}

function setRunFault(fleet: Fleet, fault: StoreFault, matches = writesRun) {
	fleet.storeFault = (_router, action) => matches(action) ? fault : StoreFault.None;
}

test('the record is there before the request leaves, and a later duplicate gets the same answer at any router', () => {
	const fleet = createRunningFleet();
	const first = askOnce(fleet, 'a', 'k');
	fleet.check = () => {
		if (starts(fleet, first).length > 0) {
			expect(runRecords(fleet)).toHaveLength(1);
		}
	};

	untilStarted(fleet, first);
	finish(fleet, first);
	for (const router of ['a', 'b', 'c']) {
		expect(untilTold(fleet, askOnce(fleet, router, 'k'))).toBe(answer);
	}

	expect(runRecords(fleet)).toMatchObject([{router: 'a', outcome: 'ran', answer}]);
});

test('a claim whose answer is lost after its effect is recognised by its nonce', () => {
	const fleet = createRunningFleet();
	setRunFault(fleet, StoreFault.AnswerLost);
	const request = askOnce(fleet, 'a', 'k');
	untilStarted(fleet, request);
	fleet.run(2000);
	expect(starts(fleet, request)).toHaveLength(1);
});

test.each([['the same router', 'a'], ['another router', 'b']])('a duplicate at %s follows the run and gets its answer', (_, router) => {
	const fleet = createRunningFleet();
	const requests = [askOnce(fleet, 'a', 'k'), askOnce(fleet, router, 'k')] as const;
	fleet.runUntil(() => starts(fleet, ...requests).length > 0, 5000);
	fleet.run(2000);
	expect(starts(fleet, ...requests)).toHaveLength(1);
	const runner = requests.find(request => starts(fleet, request).length === 1)!;
	const follower = requests.find(request => request !== runner)!;
	finish(fleet, runner);
	expect(untilTold(fleet, follower)).toBe(answer);
	expect(permitsOut(fleet)).toBe(0);
});

test('a caller that goes while a lost claim is read again: nothing leaves, and the record is removed', () => {
	const fleet = createRunningFleet();
	setRunFault(fleet, StoreFault.AnswerLost);
	const request = askOnce(fleet, 'a', 'k');
	fleet.runUntil(() => runRecords(fleet).length > 0, 5000);
	fleet.run(50);
	fleet.deliver('a', {kind: 'callerGone', request});
	setRunFault(fleet, StoreFault.None);
	fleet.run(2000);
	expect(starts(fleet, request)).toHaveLength(0);
	expect(runRecords(fleet)).toHaveLength(0);
	expect(permitsOut(fleet)).toBe(0);
});

type Moment = 'record and dispatch' | 'dispatch and answer' | 'answer and the end of its record';

function killAt(fleet: Fleet, moment: Moment) {
	const request = askOnce(fleet, 'a', 'k');
	if (moment === 'record and dispatch') {
		fleet.runUntil(() => runRecords(fleet).length > 0, 5000);
	} else {
		untilStarted(fleet, request);
	}

	if (moment === 'answer and the end of its record') {
		setRunFault(fleet, StoreFault.Down);
		finish(fleet, request);
	}

	fleet.kill('a');
	fleet.run(100);
	setRunFault(fleet, StoreFault.None);
}

describe.each<Moment>(['record and dispatch', 'dispatch and answer', 'answer and the end of its record'])('a router killed between %s', moment => {
	test.each([['restarts', true], ['stays away', false]])('and %s: duplicates hear "unknown" promptly, and for good once the runner is surely gone', (_, restarts) => {
		const fleet = createRunningFleet();
		killAt(fleet, moment);
		if (restarts) {
			fleet.start('a');
		}

		const early = askOnce(fleet, 'b', 'k');
		fleet.runUntil(() => refusalOf(fleet, early) !== undefined, 2500);
		expect(refusalOf(fleet, early)).toEqual({...unknown, comesBack: true});
		fleet.run(6500);
		const late = askOnce(fleet, 'b', 'k');
		expect(untilTold(fleet, late, 1000)).toEqual({...unknown, comesBack: false});
		fleet.run(1000);
		const other = askOnce(fleet, 'c', 'k');
		expect(untilTold(fleet, other, 1000)).toEqual({...unknown, comesBack: false});
		expect(starts(fleet, early, late, other)).toHaveLength(0);
	});
});

test('a runner that is only silent for a while still gives its answer to whoever comes back', () => {
	const fleet = createRunningFleet();
	const first = askOnce(fleet, 'a', 'k');
	untilStarted(fleet, first);
	fleet.paused.add('a');
	fleet.run(2500);
	expect(untilTold(fleet, askOnce(fleet, 'b', 'k'), 1000)).toEqual({...unknown, comesBack: true});
	fleet.paused.delete('a');
	fleet.run(1500);
	const second = askOnce(fleet, 'b', 'k');
	fleet.run(500);
	finish(fleet, first);
	expect(untilTold(fleet, second)).toBe(answer);
});

test.each([
	['down', StoreFault.Down],
	['cut off', StoreFault.Cut],
])('store %s at the check: refused as not run, and nothing leaves', (_, fault) => {
	const fleet = createRunningFleet();
	setRunFault(fleet, fault, action => action.kind !== 'list' && action.key.startsWith('run/'));
	const request = askOnce(fleet, 'a', 'k');
	expect(untilTold(fleet, request)).toEqual(storeRefusal);
	fleet.run(2000);
	expect(starts(fleet, request)).toHaveLength(0);
});

test.each([
	['down', StoreFault.Down],
	['cut off', StoreFault.Cut],
])('store %s at the claim: refused as not run, the permit goes back, and the key stays usable', (_, fault) => {
	const fleet = createRunningFleet();
	setRunFault(fleet, fault);
	const request = askOnce(fleet, 'a', 'k');
	expect(untilTold(fleet, request)).toEqual(storeRefusal);
	setRunFault(fleet, StoreFault.None);
	fleet.run(2000);
	expect(permitsOut(fleet)).toBe(0);
	const again = askOnce(fleet, 'b', 'k');
	untilStarted(fleet, again);
	expect(starts(fleet, request)).toHaveLength(0);
});

test('a claim that takes effect after it was given up is removed, and the key runs once', () => {
	const fleet = createRunningFleet();
	fleet.delay = (_from, to, item) => to === 'store' && item.kind === 'store' && item.action.kind === 'put' && item.action.key.startsWith('run/') ? 4000 : 1;
	const request = askOnce(fleet, 'a', 'k');
	expect(untilTold(fleet, request)).toEqual(storeRefusal);
	fleet.delay = () => 1;
	fleet.runUntil(() => runRecords(fleet).length > 0, 6000);
	const again = askOnce(fleet, 'b', 'k');
	untilStarted(fleet, again);
	expect(starts(fleet, request, again)).toHaveLength(1);
});

test('a record of this start of the router that it doesn\'t know of is removed', () => {
	const fleet = createRunningFleet();
	const {id, incarnation} = fleet.worlds.get('a')!.self;
	fleet.storeMap.run({
		kind: 'put', key: 'run/w/k', value: JSON.stringify({nonce: 'late', router: id, incarnation}), ifVersion: 0,
	}, StoreFault.None);
	const request = askOnce(fleet, 'a', 'k');
	untilStarted(fleet, request);
});

test.each([
	['refused', StoreFault.Down],
	['lost', StoreFault.Cut],
	['lost after their effect', StoreFault.AnswerLost],
])('writes that are %s for a minute: the end is written when they pass, and a planned stop waits for it', (_, fault) => {
	const fleet = createRunningFleet();
	const request = askOnce(fleet, 'a', 'k');
	untilStarted(fleet, request);
	setRunFault(fleet, fault);
	finish(fleet, request);
	expect(untilTold(fleet, askOnce(fleet, 'a', 'k'))).toBe(answer);
	fleet.deliver('a', {kind: 'stopRequested'});
	fleet.run(60_000);
	const stopped = () => fleet.outbox.some(({from, item}) => from === 'a' && item.kind === 'stopped');
	if (fault !== StoreFault.AnswerLost) {
		expect(stopped()).toBe(false);
	}

	setRunFault(fleet, StoreFault.None);
	fleet.runUntil(stopped, 20_000);
	expect(runRecords(fleet)).toMatchObject([{outcome: 'ran', answer}]);
});

test.each([
	['refused and then accepted', AttemptEnd.NotSent, 2],
	['broken', AttemptEnd.Broken, 1],
	['answered for another request', AttemptEnd.Mismatched, 1],
	['refused by the target', AttemptEnd.Refused, 1],
])('a once request whose attempt is %s leaves no second time unless nothing left', (_, end, count) => {
	const fleet = createRunningFleet();
	const request = askOnce(fleet, 'a', 'k');
	untilStarted(fleet, request);
	endAttempt(fleet, request, end);
	fleet.run(3000);
	expect(starts(fleet, request)).toHaveLength(count);
	if (count === 1) {
		expect(refusalOf(fleet, request)).toEqual({...unknown, comesBack: false});
		expect(untilTold(fleet, askOnce(fleet, 'b', 'k'))).toEqual({...unknown, comesBack: false});
	}
});

test('a once request that reached no target in all its attempts is not run, and its key stays usable', () => {
	const fleet = createRunningFleet();
	const request = askOnce(fleet, 'a', 'k');
	for (const count of [1, 2, 3]) {
		untilStarted(fleet, request, count);
		endAttempt(fleet, request, AttemptEnd.NotSent);
	}

	expect(untilTold(fleet, request)).toMatchObject({kind: RefusalKind.TargetFailed, outcome: Outcome.NotRun});
	fleet.run(1000);
	expect(runRecords(fleet)).toHaveLength(0);
	untilStarted(fleet, askOnce(fleet, 'b', 'k'));
});

const slowRuns = (ms: number) => (from: string, _to: string, item: {kind: string}) => {
	const isRun = item.kind === 'store' && 'action' in item && JSON.stringify(item.action).includes('run/');
	return from === 'store' && isRun ? ms : 1;
};

test.each([
	['the check', 900, 300],
	['the claim', 700, 1000],
])('a deadline that passes during %s: refused at once as not run, and the key stays usable', (_, replyMs, withinMs) => {
	const fleet = createRunningFleet();
	fleet.delay = slowRuns(replyMs);
	const request = askOnce(fleet, 'a', 'k', withinMs);
	fleet.run(withinMs + 250);
	expect(refusalOf(fleet, request)).toMatchObject({kind: RefusalKind.DeadlinePassed, outcome: Outcome.NotRun});
	fleet.run(3000);
	expect(starts(fleet, request)).toHaveLength(0);
	expect(permitsOut(fleet)).toBe(0);
	expect(runRecords(fleet)).toHaveLength(0);
});

test('a deadline that passes while a duplicate runs: told when to come back', () => {
	const fleet = createRunningFleet();
	const first = askOnce(fleet, 'a', 'k');
	untilStarted(fleet, first);
	const follower = askOnce(fleet, 'b', 'k', 1000);
	fleet.run(1250);
	expect(refusalOf(fleet, follower)).toEqual({kind: RefusalKind.RunInProgress, outcome: Outcome.Unknown, comesBack: true});
});

test('a permit that is void when the claim comes back is not used; the request leaves under another', () => {
	const fleet = createRunningFleet({targets: {t1: 'x'}});
	fleet.delay = slowRuns(1400);
	const guest = guestOf(fleet);
	const request = askOnce(fleet, guest, 'k');
	untilStarted(fleet, request);
	const {startWithinMs} = fleet.worlds.get(guest)!.limits;
	expect(starts(fleet, request)[0]!.at - grantedAt(fleet, request)!).toBeLessThanOrEqual(startWithinMs);
	expect(fleet.outbox.filter(({from, item}) => from === guest && item.kind === 'store' && writesRun(item.action))).toHaveLength(1);
	finish(fleet, request);
	fleet.run(3000);
	expect(permitsOut(fleet)).toBe(0);
	expect(runRecords(fleet)).toMatchObject([{router: guest, outcome: 'ran'}]);
});
