/*
Compares what callers of once calls were told with what the services saw.
*/
import type {OnceCall} from '../load/once-caller.ts';

/** What a service stand-in saw. */
export type ServiceLog = {
	requests: Array<{id: string; end: string}>;
	/** Runs by idempotency key. */
	runs: Record<string, number>;
	/** Time in milliseconds since the epoch. */
	admissions: Array<{id: string; key: string; at: number}>;
};

/** A router that was killed, with the time in milliseconds since the epoch. */
export type Kill = {router: string; at: number};

/** A router that lives for this long after a run began has told the platform of its end. */
const recordedWithinMs = 12_000;

export type OnceFigures = {
	keys: number;
	/** Keys that ran more than once. */
	doubleRuns: number;
	/** Keys without an answer to any caller, although their run ended and its router lived on. */
	lostAnswers: number;
	/** Attempts told "not-run" that reached a service, and keys told nothing else that ran. */
	untrueRefusals: number;
	/** Keys to which callers got different answers. */
	differentAnswers: number;
	answeredKeys: number;
	/** Keys that were told for good that their outcome is unknown. */
	unknownKeys: number;
	/** Keys whose callers were still coming back at the end. */
	unsettledKeys: number;
	attempts: number;
	/** Number of attempts by how they ended. */
	endings: Record<string, number>;
};

type KeyRecord = {
	calls: OnceCall[];
	runs: number;
	/** Ids of the attempts that ran. */
	ids: string[];
};

/** Judges all calls of a run. */
export function judgeOnce(calls: OnceCall[], kills: Kill[], logs: ServiceLog[]): OnceFigures {
	const admissions = logs.flatMap(log => log.admissions);
	const admittedAt = new Map(admissions.map(({id, at}) => [id, at]));
	const complete = new Set(logs.flatMap(log => log.requests.filter(({end}) => end === 'complete').map(({id}) => id)));
	const hasLived = (id: string) => {
		const at = admittedAt.get(id) ?? 0;
		const router = id.slice(0, id.indexOf('/'));
		return !kills.some(kill => kill.router === router && kill.at >= at && kill.at < at + recordedWithinMs);
	};

	const isLost = (record: KeyRecord) => record.runs === 1 && !isAnswered(record) && record.ids.some(id => complete.has(id) && hasLived(id));
	const attempts = calls.flatMap(call => call.attempts);
	const records = recordsByKey(calls, logs, admissions);
	const count = (matches: (record: KeyRecord) => boolean) => records.filter(record => matches(record)).length;
	return {
		keys: records.length,
		doubleRuns: count(({runs}) => runs > 1),
		lostAnswers: count(isLost),
		untrueRefusals: attempts.filter(({outcome, id}) => outcome === 'not-run' && admittedAt.has(id)).length + count(isDeniedRun),
		differentAnswers: count(record => new Set(answersOf(record)).size > 1),
		answeredKeys: count(isAnswered),
		unknownKeys: count(record => !isAnswered(record) && record.calls.some(({isSettled}) => isSettled)),
		unsettledKeys: count(record => record.calls.some(({isSettled}) => !isSettled)),
		attempts: attempts.length,
		endings: countBy(attempts.map(({status, kind, outcome}) => `${status} ${kind} ${outcome}`.trim())),
	};
}

function recordsByKey(calls: OnceCall[], logs: ServiceLog[], admissions: ServiceLog['admissions']): KeyRecord[] {
	const records = new Map<string, KeyRecord>();
	for (const call of calls) {
		const runs = logs.reduce((sum, log) => sum + (log.runs[call.key] ?? 0), 0);
		const record = records.get(call.key) ?? {calls: [], runs, ids: []};
		record.calls.push(call);
		records.set(call.key, record);
	}

	for (const {id, key} of admissions) {
		records.get(key)?.ids.push(id);
	}

	return [...records.values()];
}

function answersOf({calls}: KeyRecord): string[] {
	return calls.flatMap(({attempts}) => attempts.filter(({status}) => status === 200).map(({answer}) => answer));
}

function isAnswered(record: KeyRecord): boolean {
	return answersOf(record).length > 0;
}

/** Whether a key that ran was told nothing but "not-run". */
function isDeniedRun({calls, runs}: KeyRecord): boolean {
	return runs > 0 && calls.every(({attempts}) => attempts.every(({outcome}) => outcome === 'not-run'));
}

function countBy(values: string[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const value of values) {
		counts[value] = (counts[value] ?? 0) + 1;
	}

	return counts;
}
