import {AttemptEnd} from '../src/messages.ts';
import type {InboundOf} from '../src/ports.ts';
import {Outcome, RefusalKind} from '../src/refusal.ts';
import {
	ask, createRunningFleet, endAttempt, permitsOut, refusalOf, seen, starts, untilStarted, untilTold,
} from './support/calls.ts';

const {NotSent, Refused, Broken, Mismatched} = AttemptEnd;

test.each<[string, AttemptEnd[], Outcome]>([
	['never reached a target', [NotSent, NotSent, NotSent], Outcome.NotRun],
	['broke at the first target and reached no other', [Broken, NotSent, NotSent], Outcome.Unknown],
	['was answered for another request and reached no other target', [Mismatched, NotSent, NotSent], Outcome.Unknown],
	['was refused by the targets that it reached', [NotSent, Refused, NotSent], Outcome.Unknown],
	['broke at every target', [Broken, Broken, Broken], Outcome.Unknown],
])('a request that %s is refused with the outcome of all its attempts', (_, ends, outcome) => {
	const fleet = createRunningFleet();
	const request = ask(fleet, 'a');
	for (const [index, end] of ends.entries()) {
		untilStarted(fleet, request, index + 1);
		endAttempt(fleet, request, end);
	}

	expect(untilTold(fleet, request)).toEqual({kind: RefusalKind.TargetFailed, outcome, comesBack: true});
	fleet.run(500);
	expect(new Set(starts(fleet, request).map(({item}) => item.target)).size).toBe(3);
	expect(permitsOut(fleet)).toBe(0);
});

test('a request that broke once and whose deadline passes in the queue stays unknown', () => {
	const fleet = createRunningFleet({targets: {t1: 'x'}});
	const request = ask(fleet, 'a', {withinMs: 2000});
	untilStarted(fleet, request);
	const blocker = ask(fleet, 'a');
	fleet.run(200);
	endAttempt(fleet, request, Broken);
	untilStarted(fleet, blocker);
	fleet.run(2500);
	expect(refusalOf(fleet, request)).toMatchObject({outcome: Outcome.Unknown});
});

test.each([NotSent, Refused, Mismatched])('a stream that can\'t be resumed (end %i) is broken off, never started anew', end => {
	const fleet = createRunningFleet();
	const request = ask(fleet, 'a');
	untilStarted(fleet, request);
	const delivered: Partial<InboundOf<'answerEnded'>> = {delivered: true, outputTokens: 7};
	endAttempt(fleet, request, Broken, delivered);
	fleet.run(100);
	expect(seen(fleet, request, 'resumeAnswer')).toHaveLength(1);
	endAttempt(fleet, request, end, delivered);
	fleet.run(3000);
	expect(starts(fleet, request)).toHaveLength(1);
	expect(refusalOf(fleet, request)).toEqual({kind: RefusalKind.AnswerBroken, outcome: Outcome.Unknown, comesBack: true});
	expect(permitsOut(fleet)).toBe(0);
});

test('a stream is resumed at most so many times', () => {
	const fleet = createRunningFleet({limits: {maxResumes: 2}});
	const request = ask(fleet, 'a');
	untilStarted(fleet, request);
	for (const outputTokens of [3, 6, 9]) {
		endAttempt(fleet, request, Broken, {delivered: true, outputTokens});
		fleet.run(100);
	}

	expect(seen(fleet, request, 'resumeAnswer')).toHaveLength(2);
	expect(refusalOf(fleet, request)).toMatchObject({kind: RefusalKind.AnswerBroken});
});

test('no retry past the deadline', () => {
	const fleet = createRunningFleet();
	const request = ask(fleet, 'a', {withinMs: 1000});
	untilStarted(fleet, request);
	fleet.run(950);
	endAttempt(fleet, request, Broken);
	fleet.run(3000);
	expect(starts(fleet, request)).toHaveLength(1);
	expect(refusalOf(fleet, request)).toMatchObject({outcome: Outcome.Unknown});
});

test('a workspace spends no more retries than its budget, and earns them by successes', () => {
	const fleet = createRunningFleet({limits: {retryReserve: 2, retryRatio: 0.5, setAsideMs: 1}});
	const endOnce = (end: AttemptEnd) => {
		const request = ask(fleet, 'a');
		untilStarted(fleet, request);
		endAttempt(fleet, request, end);
		fleet.run(2000);
		const count = starts(fleet, request).length;
		if (count > 1) {
			endAttempt(fleet, request, AttemptEnd.Cancelled);
			fleet.run(200);
		}

		return count;
	};

	expect([NotSent, NotSent, NotSent].map(end => endOnce(end))).toEqual([2, 2, 1]);
	expect([AttemptEnd.Whole, AttemptEnd.Whole, NotSent, NotSent].map(end => endOnce(end))).toEqual([1, 1, 2, 1]);
});
