import {AttemptEnd} from '../src/messages.ts';
import {Outcome, RefusalKind} from '../src/refusal.ts';
import {
	sendOnceRequest, createRunningFleet, endAttempt, findGrantTime, findRouterWithoutTargets, countPermits, getRefusal, getRunRecords, getStarts, runUntilStarted, runUntilAnswered, isRunWrite,
} from './support/calls.ts';
import type {Fleet} from './support/fleet.ts';
import {StoreFault} from './support/store-map.ts';

const answer = '{"body":"booked"}';
const storeRefusal = {kind: RefusalKind.StoreUnavailable, outcome: Outcome.NotRun, hasRetryAfter: true};
const unknown = {kind: RefusalKind.RunOutcomeUnknown, outcome: Outcome.Unknown};

function finish(fleet: Fleet, request: string) {
	endAttempt(fleet, request, AttemptEnd.Whole, {answer});
	fleet.run(500);
}

function setRunFault(fleet: Fleet, fault: StoreFault, matches = isRunWrite) {
	fleet.storeFault = (_router, action) => matches(action) ? fault : StoreFault.None;
}

test('the run record exists before the request is sent, and a later duplicate gets the same answer at any router', () => {
	const fleet = createRunningFleet();
	const first = sendOnceRequest(fleet, 'a', 'k');
	fleet.check = () => {
		if (getStarts(fleet, first).length > 0) {
			expect(getRunRecords(fleet)).toHaveLength(1);
		}
	};

	runUntilStarted(fleet, first);
	finish(fleet, first);
	for (const router of ['a', 'b', 'c']) {
		expect(runUntilAnswered(fleet, sendOnceRequest(fleet, router, 'k'))).toBe(answer);
	}

	expect(getRunRecords(fleet)).toMatchObject([{router: 'a', outcome: 'ran', answer}]);
});

test('a claim that took effect but whose answer was lost is recognised by its nonce', () => {
	const fleet = createRunningFleet();
	setRunFault(fleet, StoreFault.AnswerLost);
	const request = sendOnceRequest(fleet, 'a', 'k');
	runUntilStarted(fleet, request);
	fleet.run(2000);
	expect(getStarts(fleet, request)).toHaveLength(1);
});

test.each([['the same router', 'a'], ['another router', 'b']])('a duplicate at %s waits for the run and gets its answer', (_, router) => {
	const fleet = createRunningFleet();
	const requests = [sendOnceRequest(fleet, 'a', 'k'), sendOnceRequest(fleet, router, 'k')] as const;
	fleet.runUntil(() => getStarts(fleet, ...requests).length > 0, 5000);
	fleet.run(2000);
	expect(getStarts(fleet, ...requests)).toHaveLength(1);
	const runner = requests.find(request => getStarts(fleet, request).length === 1)!;
	const duplicate = requests.find(request => request !== runner)!;
	finish(fleet, runner);
	expect(runUntilAnswered(fleet, duplicate)).toBe(answer);
	expect(countPermits(fleet)).toBe(0);
});

test('a caller that disconnects while a claim without an answer is verified: nothing is sent, and the record is deleted', () => {
	const fleet = createRunningFleet();
	setRunFault(fleet, StoreFault.AnswerLost);
	const request = sendOnceRequest(fleet, 'a', 'k');
	fleet.runUntil(() => getRunRecords(fleet).length > 0, 5000);
	fleet.run(50);
	fleet.deliver('a', {kind: 'callerGone', request});
	setRunFault(fleet, StoreFault.None);
	fleet.run(2000);
	expect(getStarts(fleet, request)).toHaveLength(0);
	expect(getRunRecords(fleet)).toHaveLength(0);
	expect(countPermits(fleet)).toBe(0);
});

type Moment = 'record and dispatch' | 'dispatch and answer' | 'answer and the end of its record';

function killAt(fleet: Fleet, moment: Moment) {
	const request = sendOnceRequest(fleet, 'a', 'k');
	if (moment === 'record and dispatch') {
		fleet.runUntil(() => getRunRecords(fleet).length > 0, 5000);
	} else {
		runUntilStarted(fleet, request);
	}

	if (moment === 'answer and the end of its record') {
		setRunFault(fleet, StoreFault.Down);
		finish(fleet, request);
	}

	fleet.kill('a');
	fleet.run(100);
	setRunFault(fleet, StoreFault.None);
}

describe.each<Moment>(['record and dispatch', 'dispatch and answer', 'answer and the end of its record'])('a router is killed between %s', moment => {
	test.each([['restarts', true], ['stays down', false]])('and %s: duplicates are refused as unknown within 2.5 s, and without a retry-after delay once the run cannot continue', (_, restarts) => {
		const fleet = createRunningFleet();
		killAt(fleet, moment);
		if (restarts) {
			fleet.start('a');
		}

		const early = sendOnceRequest(fleet, 'b', 'k');
		fleet.runUntil(() => getRefusal(fleet, early) !== undefined, 2500);
		expect(getRefusal(fleet, early)).toEqual({...unknown, hasRetryAfter: true});
		fleet.run(6500);
		const late = sendOnceRequest(fleet, 'b', 'k');
		expect(runUntilAnswered(fleet, late, 1000)).toEqual({...unknown, hasRetryAfter: false});
		fleet.run(1000);
		const other = sendOnceRequest(fleet, 'c', 'k');
		expect(runUntilAnswered(fleet, other, 1000)).toEqual({...unknown, hasRetryAfter: false});
		expect(getStarts(fleet, early, late, other)).toHaveLength(0);
	});
});

test('a router that was silent for a while still answers later duplicates of a request that it runs', () => {
	const fleet = createRunningFleet();
	const first = sendOnceRequest(fleet, 'a', 'k');
	runUntilStarted(fleet, first);
	fleet.paused.add('a');
	fleet.run(2500);
	expect(runUntilAnswered(fleet, sendOnceRequest(fleet, 'b', 'k'), 1000)).toEqual({...unknown, hasRetryAfter: true});
	fleet.paused.delete('a');
	fleet.run(1500);
	const second = sendOnceRequest(fleet, 'b', 'k');
	fleet.run(500);
	finish(fleet, first);
	expect(runUntilAnswered(fleet, second)).toBe(answer);
});

test.each([
	['down', StoreFault.Down],
	['cut off', StoreFault.Cut],
])('store %s at the check: refused as not run, and nothing is sent', (_, fault) => {
	const fleet = createRunningFleet();
	setRunFault(fleet, fault, action => action.kind !== 'list' && action.key.startsWith('run/'));
	const request = sendOnceRequest(fleet, 'a', 'k');
	expect(runUntilAnswered(fleet, request)).toEqual(storeRefusal);
	fleet.run(2000);
	expect(getStarts(fleet, request)).toHaveLength(0);
});

test.each([
	['down', StoreFault.Down],
	['cut off', StoreFault.Cut],
])('store %s at the claim: refused as not run, the permit is returned, and the key stays usable', (_, fault) => {
	const fleet = createRunningFleet();
	setRunFault(fleet, fault);
	const request = sendOnceRequest(fleet, 'a', 'k');
	expect(runUntilAnswered(fleet, request)).toEqual(storeRefusal);
	setRunFault(fleet, StoreFault.None);
	fleet.run(2000);
	expect(countPermits(fleet)).toBe(0);
	const again = sendOnceRequest(fleet, 'b', 'k');
	runUntilStarted(fleet, again);
	expect(getStarts(fleet, request)).toHaveLength(0);
});

test('a claim that takes effect after its request was refused is deleted, and the key runs once', () => {
	const fleet = createRunningFleet();
	fleet.delay = (_from, to, item) => to === 'store' && item.kind === 'store' && item.action.kind === 'put' && item.action.key.startsWith('run/') ? 4000 : 1;
	const request = sendOnceRequest(fleet, 'a', 'k');
	expect(runUntilAnswered(fleet, request)).toEqual(storeRefusal);
	fleet.delay = () => 1;
	fleet.runUntil(() => getRunRecords(fleet).length > 0, 6000);
	const again = sendOnceRequest(fleet, 'b', 'k');
	runUntilStarted(fleet, again);
	expect(getStarts(fleet, request, again)).toHaveLength(1);
});

test('a record of this incarnation of the router that belongs to no request is deleted', () => {
	const fleet = createRunningFleet();
	const {id, incarnation} = fleet.worlds.get('a')!.self;
	fleet.storeMap.run({
		kind: 'put', key: 'run/w/k', value: JSON.stringify({nonce: 'late', router: id, incarnation}), ifVersion: 0,
	}, StoreFault.None);
	const request = sendOnceRequest(fleet, 'a', 'k');
	runUntilStarted(fleet, request);
});

test.each([
	['refused', StoreFault.Down],
	['lost', StoreFault.Cut],
	['lost after their effect', StoreFault.AnswerLost],
])('writes that are %s for a minute: the end is written when writes succeed again, and a planned stop waits for it', (_, fault) => {
	const fleet = createRunningFleet();
	const request = sendOnceRequest(fleet, 'a', 'k');
	runUntilStarted(fleet, request);
	setRunFault(fleet, fault);
	finish(fleet, request);
	expect(runUntilAnswered(fleet, sendOnceRequest(fleet, 'a', 'k'))).toBe(answer);
	fleet.deliver('a', {kind: 'stopRequested'});
	fleet.run(60_000);
	const stopped = () => fleet.outbox.some(({from, item}) => from === 'a' && item.kind === 'stopped');
	if (fault !== StoreFault.AnswerLost) {
		expect(stopped()).toBe(false);
	}

	setRunFault(fleet, StoreFault.None);
	fleet.runUntil(stopped, 20_000);
	expect(getRunRecords(fleet)).toMatchObject([{outcome: 'ran', answer}]);
});

test.each([
	['refused and then accepted', AttemptEnd.NotSent, 2],
	['broken', AttemptEnd.Broken, 1],
	['answered for another request', AttemptEnd.Mismatched, 1],
	['refused by the target', AttemptEnd.Refused, 1],
])('a once request whose attempt is %s is sent again only when the attempt was not sent', (_, end, count) => {
	const fleet = createRunningFleet();
	const request = sendOnceRequest(fleet, 'a', 'k');
	runUntilStarted(fleet, request);
	endAttempt(fleet, request, end);
	fleet.run(3000);
	expect(getStarts(fleet, request)).toHaveLength(count);
	if (count === 1) {
		expect(getRefusal(fleet, request)).toEqual({...unknown, hasRetryAfter: false});
		expect(runUntilAnswered(fleet, sendOnceRequest(fleet, 'b', 'k'))).toEqual({...unknown, hasRetryAfter: false});
	}
});

test('a once request that was sent to no target in all its attempts is not run, and its key stays usable', () => {
	const fleet = createRunningFleet();
	const request = sendOnceRequest(fleet, 'a', 'k');
	for (const count of [1, 2, 3]) {
		runUntilStarted(fleet, request, count);
		endAttempt(fleet, request, AttemptEnd.NotSent);
	}

	expect(runUntilAnswered(fleet, request)).toMatchObject({kind: RefusalKind.TargetFailed, outcome: Outcome.NotRun});
	fleet.run(1000);
	expect(getRunRecords(fleet)).toHaveLength(0);
	runUntilStarted(fleet, sendOnceRequest(fleet, 'b', 'k'));
});

const delayRunReplies = (ms: number) => (from: string, _to: string, item: {kind: string}) => {
	const isRun = item.kind === 'store' && 'action' in item && JSON.stringify(item.action).includes('run/');
	return from === 'store' && isRun ? ms : 1;
};

test.each([
	['the check', 900, 300],
	['the claim', 700, 1000],
])('a deadline that passes during %s: refused at once as not run, and the key stays usable', (_, replyMs, withinMs) => {
	const fleet = createRunningFleet();
	fleet.delay = delayRunReplies(replyMs);
	const request = sendOnceRequest(fleet, 'a', 'k', withinMs);
	fleet.run(withinMs + 250);
	expect(getRefusal(fleet, request)).toMatchObject({kind: RefusalKind.DeadlinePassed, outcome: Outcome.NotRun});
	fleet.run(3000);
	expect(getStarts(fleet, request)).toHaveLength(0);
	expect(countPermits(fleet)).toBe(0);
	expect(getRunRecords(fleet)).toHaveLength(0);
});

test('a deadline that passes while a duplicate runs: refused as in progress, with a retry-after delay', () => {
	const fleet = createRunningFleet();
	const first = sendOnceRequest(fleet, 'a', 'k');
	runUntilStarted(fleet, first);
	const duplicate = sendOnceRequest(fleet, 'b', 'k', 1000);
	fleet.run(1250);
	expect(getRefusal(fleet, duplicate)).toEqual({kind: RefusalKind.RunInProgress, outcome: Outcome.Unknown, hasRetryAfter: true});
});

test('a permit that has expired when the claim is confirmed is not used; the request is sent under another', () => {
	const fleet = createRunningFleet({targets: {t1: 'x'}});
	fleet.delay = delayRunReplies(1400);
	const origin = findRouterWithoutTargets(fleet);
	const request = sendOnceRequest(fleet, origin, 'k');
	runUntilStarted(fleet, request);
	const {startWithinMs} = fleet.worlds.get(origin)!.limits;
	expect(getStarts(fleet, request)[0]!.at - findGrantTime(fleet, request)!).toBeLessThanOrEqual(startWithinMs);
	expect(fleet.outbox.filter(({from, item}) => from === origin && item.kind === 'store' && isRunWrite(item.action))).toHaveLength(1);
	finish(fleet, request);
	fleet.run(3000);
	expect(countPermits(fleet)).toBe(0);
	expect(getRunRecords(fleet)).toMatchObject([{router: origin, outcome: 'ran'}]);
});
