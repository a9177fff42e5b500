/*
Compares the answers that callers of once calls received with the runs that the service stand-ins counted.
*/
import type {OnceCall} from '../load/once-caller.ts';

/** Statistics of a service stand-in. */
export type ServiceStats = {
	requests: Array<{id: string; end: string}>;
	/** Runs by idempotency key. */
	runs: Record<string, number>;
	/** Time in milliseconds since the epoch. */
	admissions: Array<{id: string; key: string; at: number}>;
};

/** A router that was killed, with the time in milliseconds since the epoch. */
export type Kill = {router: string; at: number};

/** Time after the start of a run within which a live router has stored the run's end. */
const maxRecordingMs = 12_000;

export type OnceFigures = {
	keys: number;
	/** Keys that ran more than once. */
	doubleRuns: number;
	/** Keys whose run completed and whose router was not killed meanwhile, but for which no caller got the answer. */
	lostAnswers: number;
	/** Attempts refused as "not-run" that reached a service, and keys that ran although all attempts got "not-run". */
	untrueRefusals: number;
	/** Keys for which callers got different answers. */
	differentAnswers: number;
	answeredKeys: number;
	/** Keys without an answer for which a caller was finally told that the outcome is unknown. */
	unknownKeys: number;
	/** Keys with callers that were still retrying at the end. */
	unsettledKeys: number;
	attempts: number;
	/** Numbers of attempts by status, error kind and outcome. */
	endings: Record<string, number>;
};

type KeyRecord = {
	calls: OnceCall[];
	runs: number;
	/** Ids of the attempts that ran. */
	ids: string[];
};

/** Computes the figures of all calls of a run. */
export function computeOnceFigures(calls: OnceCall[], kills: Kill[], services: ServiceStats[]): OnceFigures {
	const admissions = services.flatMap(service => service.admissions);
	const admittedAt = new Map(admissions.map(({id, at}) => [id, at]));
	const completedIds = new Set(services.flatMap(service => service.requests.filter(({end}) => end === 'complete').map(({id}) => id)));
	const hasRouterSurvived = (id: string) => {
		const at = admittedAt.get(id) ?? 0;
		const router = id.slice(0, id.indexOf('/'));
		return !kills.some(kill => kill.router === router && kill.at >= at && kill.at < at + maxRecordingMs);
	};

	const isAnswerLost = (record: KeyRecord) => record.runs === 1 && !isAnswered(record) && record.ids.some(id => completedIds.has(id) && hasRouterSurvived(id));
	const attempts = calls.flatMap(call => call.attempts);
	const records = groupByKey(calls, services, admissions);
	const count = (matches: (record: KeyRecord) => boolean) => records.filter(record => matches(record)).length;
	return {
		keys: records.length,
		doubleRuns: count(({runs}) => runs > 1),
		lostAnswers: count(isAnswerLost),
		untrueRefusals: attempts.filter(({outcome, id}) => outcome === 'not-run' && admittedAt.has(id)).length + count(hasRunDespiteRefusals),
		differentAnswers: count(record => new Set(getAnswers(record)).size > 1),
		answeredKeys: count(isAnswered),
		unknownKeys: count(record => !isAnswered(record) && record.calls.some(({isSettled}) => isSettled)),
		unsettledKeys: count(record => record.calls.some(({isSettled}) => !isSettled)),
		attempts: attempts.length,
		endings: countBy(attempts.map(({status, kind, outcome}) => `${status} ${kind} ${outcome}`.trim())),
	};
}

function groupByKey(calls: OnceCall[], services: ServiceStats[], admissions: ServiceStats['admissions']): KeyRecord[] {
	const records = new Map<string, KeyRecord>();
	for (const call of calls) {
		const runs = services.reduce((sum, service) => sum + (service.runs[call.key] ?? 0), 0);
		const record = records.get(call.key) ?? {calls: [], runs, ids: []};
		record.calls.push(call);
		records.set(call.key, record);
	}

	for (const {id, key} of admissions) {
		records.get(key)?.ids.push(id);
	}

	return [...records.values()];
}

function getAnswers({calls}: KeyRecord): string[] {
	return calls.flatMap(({attempts}) => attempts.filter(({status}) => status === 200).map(({answer}) => answer));
}

function isAnswered(record: KeyRecord): boolean {
	return getAnswers(record).length > 0;
}

/** Whether a key ran although all its attempts were refused as "not-run". */
function hasRunDespiteRefusals({calls, runs}: KeyRecord): boolean {
	return runs > 0 && calls.every(({attempts}) => attempts.every(({outcome}) => outcome === 'not-run'));
}

function countBy(values: string[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const value of values) {
		counts[value] = (counts[value] ?? 0) + 1;
	}

	return counts;
}
