import {judgeOnce, type OnceFigures, type ServiceLog} from '../src/measure/once.ts';
import type {OnceAttempt, OnceCall} from '../src/load/once-caller.ts';

const attempt = (more: Partial<OnceAttempt>): OnceAttempt => ({
	id: '', status: 0, answer: '', kind: '', outcome: '', retryAfterMs: 0, ...more,
});
const notRun = (id: string) => attempt({
	id, status: 503, kind: 'store-unavailable', outcome: 'not-run',
});
const answered = (answer: string) => attempt({id: 'a/x-1', status: 200, answer});
const callOf = (...attempts: OnceAttempt[]): OnceCall => ({key: 'k', attempts, isSettled: true});
const at = 50_000;

function logOf(ids: string[], end = 'complete'): ServiceLog {
	return {
		requests: ids.map(id => ({id, end})), runs: {k: ids.length}, admissions: ids.map(id => ({id, key: 'k', at})),
	};
}

const clean = {
	doubleRuns: 0, lostAnswers: 0, untrueRefusals: 0, differentAnswers: 0,
};

test.each<[string, OnceCall[], ServiceLog, Partial<OnceFigures>]>([
	['an answer after a refusal', [callOf(notRun('b/x-1'), answered('1'))], logOf(['a/x-1']), {answeredKeys: 1}],
	['two runs', [callOf(answered('1'))], logOf(['a/x-1', 'b/x-1']), {doubleRuns: 1}],
	['two answers', [callOf(answered('1')), callOf(answered('2'))], logOf(['a/x-1']), {differentAnswers: 1}],
	['an attempt that was refused and ran', [callOf(notRun('a/x-1'), attempt({}))], logOf(['a/x-1'], 'cut'), {untrueRefusals: 1}],
	['a key that ran and heard only refusals', [callOf(notRun('b/x-1'))], logOf(['a/x-1'], 'cut'), {untrueRefusals: 1}],
	['a run that ended and whose answer nobody got', [callOf(attempt({}))], logOf(['a/x-1']), {lostAnswers: 1}],
	['a run whose router was killed', [callOf(attempt({}))], logOf(['c/x-1']), {unknownKeys: 1}],
	['a run that was cut', [callOf(attempt({}))], logOf(['a/x-1'], 'cut'), {unknownKeys: 1}],
])('%s', (_, calls, log, expected) => {
	expect(judgeOnce(calls, [{router: 'c', at: at + 1000}], [log])).toMatchObject({...clean, ...expected});
});
