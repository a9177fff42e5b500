import {computeOnceFigures, type OnceFigures, type ServiceStats} from '../src/measure/once.ts';
import type {OnceAttempt, OnceCall} from '../src/load/once-caller.ts';

const createAttempt = (more: Partial<OnceAttempt>): OnceAttempt => ({
	id: '', status: 0, answer: '', kind: '', outcome: '', retryAfterMs: 0, ...more,
});
const createRefusedAttempt = (id: string) => createAttempt({
	id, status: 503, kind: 'store-unavailable', outcome: 'not-run',
});
const createAnsweredAttempt = (answer: string) => createAttempt({id: 'a/x-1', status: 200, answer});
const createCall = (...attempts: OnceAttempt[]): OnceCall => ({key: 'k', attempts, isSettled: true});
const at = 50_000;

function createStats(ids: string[], end = 'complete'): ServiceStats {
	return {
		requests: ids.map(id => ({id, end})), runs: {k: ids.length}, admissions: ids.map(id => ({id, key: 'k', at})),
	};
}

const noViolations = {
	doubleRuns: 0, lostAnswers: 0, untrueRefusals: 0, differentAnswers: 0,
};

test.each<[string, OnceCall[], ServiceStats, Partial<OnceFigures>]>([
	['an answer after a refusal', [createCall(createRefusedAttempt('b/x-1'), createAnsweredAttempt('1'))], createStats(['a/x-1']), {answeredKeys: 1}],
	['two runs', [createCall(createAnsweredAttempt('1'))], createStats(['a/x-1', 'b/x-1']), {doubleRuns: 1}],
	['two answers', [createCall(createAnsweredAttempt('1')), createCall(createAnsweredAttempt('2'))], createStats(['a/x-1']), {differentAnswers: 1}],
	['an attempt that was refused and ran', [createCall(createRefusedAttempt('a/x-1'), createAttempt({}))], createStats(['a/x-1'], 'cut'), {untrueRefusals: 1}],
	['a key that ran and got only refusals', [createCall(createRefusedAttempt('b/x-1'))], createStats(['a/x-1'], 'cut'), {untrueRefusals: 1}],
	['a completed run whose answer no caller got', [createCall(createAttempt({}))], createStats(['a/x-1']), {lostAnswers: 1}],
	['a run whose router was killed', [createCall(createAttempt({}))], createStats(['c/x-1']), {unknownKeys: 1}],
	['a run that was aborted', [createCall(createAttempt({}))], createStats(['a/x-1'], 'cut'), {unknownKeys: 1}],
])('%s', (_, calls, stats, expected) => {
	expect(computeOnceFigures(calls, [{router: 'c', at: at + 1000}], [stats])).toMatchObject({...noViolations, ...expected});
});
