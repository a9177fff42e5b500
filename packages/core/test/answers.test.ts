import {AttemptEnd} from '../src/messages.ts';
import type {InboundOf} from '../src/ports.ts';
import {Outcome, RefusalKind} from '../src/refusal.ts';
import {
	sendRequest, createRunningFleet, endAttempt, countPermits, getRefusal, getOutbound, getStarts, runUntilStarted, runUntilAnswered,
} from './support/calls.ts';

const {NotSent, Refused, Broken, Mismatched} = AttemptEnd;

test.each<[string, AttemptEnd[], Outcome]>([
	['was sent to no target', [NotSent, NotSent, NotSent], Outcome.NotRun],
	['broke at the first target and was sent to no other', [Broken, NotSent, NotSent], Outcome.Unknown],
	['got the answer to another request and was sent to no other target', [Mismatched, NotSent, NotSent], Outcome.Unknown],
	['was refused by the only target that it was sent to', [NotSent, Refused, NotSent], Outcome.Unknown],
	['broke at every target', [Broken, Broken, Broken], Outcome.Unknown],
])('a request that %s is refused with the outcome of all its attempts', (_, ends, outcome) => {
	const fleet = createRunningFleet();
	const request = sendRequest(fleet, 'a');
	for (const [index, end] of ends.entries()) {
		runUntilStarted(fleet, request, index + 1);
		endAttempt(fleet, request, end);
	}

	expect(runUntilAnswered(fleet, request)).toEqual({kind: RefusalKind.TargetFailed, outcome, hasRetryAfter: true});
	fleet.run(500);
	expect(new Set(getStarts(fleet, request).map(({item}) => item.target)).size).toBe(3);
	expect(countPermits(fleet)).toBe(0);
});

test('a request that broke once and whose deadline passes in the queue keeps the outcome unknown', () => {
	const fleet = createRunningFleet({targets: {t1: 'x'}});
	const request = sendRequest(fleet, 'a', {withinMs: 2000});
	runUntilStarted(fleet, request);
	const blocker = sendRequest(fleet, 'a');
	fleet.run(200);
	endAttempt(fleet, request, Broken);
	runUntilStarted(fleet, blocker);
	fleet.run(2500);
	expect(getRefusal(fleet, request)).toMatchObject({outcome: Outcome.Unknown});
});

test.each([NotSent, Refused, Mismatched])('a stream that can\'t be resumed (end %i) is broken off, never started again', end => {
	const fleet = createRunningFleet();
	const request = sendRequest(fleet, 'a');
	runUntilStarted(fleet, request);
	const delivered: Partial<InboundOf<'answerEnded'>> = {delivered: true, outputTokens: 7};
	endAttempt(fleet, request, Broken, delivered);
	fleet.run(100);
	expect(getOutbound(fleet, request, 'resumeAnswer')).toHaveLength(1);
	endAttempt(fleet, request, end, delivered);
	fleet.run(3000);
	expect(getStarts(fleet, request)).toHaveLength(1);
	expect(getRefusal(fleet, request)).toEqual({kind: RefusalKind.AnswerBroken, outcome: Outcome.Unknown, hasRetryAfter: true});
	expect(countPermits(fleet)).toBe(0);
});

test('a stream is resumed at most `maxResumes` times', () => {
	const fleet = createRunningFleet({limits: {maxResumes: 2}});
	const request = sendRequest(fleet, 'a');
	runUntilStarted(fleet, request);
	for (const outputTokens of [3, 6, 9]) {
		endAttempt(fleet, request, Broken, {delivered: true, outputTokens});
		fleet.run(100);
	}

	expect(getOutbound(fleet, request, 'resumeAnswer')).toHaveLength(2);
	expect(getRefusal(fleet, request)).toMatchObject({kind: RefusalKind.AnswerBroken});
});

test('a request is not retried after its deadline', () => {
	const fleet = createRunningFleet();
	const request = sendRequest(fleet, 'a', {withinMs: 1000});
	runUntilStarted(fleet, request);
	fleet.run(950);
	endAttempt(fleet, request, Broken);
	fleet.run(3000);
	expect(getStarts(fleet, request)).toHaveLength(1);
	expect(getRefusal(fleet, request)).toMatchObject({outcome: Outcome.Unknown});
});

test('a workspace spends no more retries than its budget, and successes add to the budget', () => {
	const fleet = createRunningFleet({limits: {retryReserve: 2, retryRatio: 0.5, minSetAsideMs: 1}});
	const sendAndEnd = (end: AttemptEnd) => {
		const request = sendRequest(fleet, 'a');
		runUntilStarted(fleet, request);
		endAttempt(fleet, request, end);
		fleet.run(2000);
		const count = getStarts(fleet, request).length;
		if (count > 1) {
			endAttempt(fleet, request, AttemptEnd.Cancelled);
			fleet.run(200);
		}

		return count;
	};

	expect([NotSent, NotSent, NotSent].map(end => sendAndEnd(end))).toEqual([2, 2, 1]);
	expect([AttemptEnd.Whole, AttemptEnd.Whole, NotSent, NotSent].map(end => sendAndEnd(end))).toEqual([1, 1, 2, 1]);
});
