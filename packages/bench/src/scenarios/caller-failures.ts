/*
Counts the callers' requests that failed while routers stopped: aborted, failed otherwise, or sent to a killed router.
*/
import {Ending, isFailure, type RequestRecord} from '../load/record.ts';

export type CallerFailures = {
	/** Requests whose connection was closed before the answer was complete. */
	cutRequests: number;
	/** Requests that failed in any way, including the aborted ones; a refusal by a full queue is not a failure. */
	failedRequests: number;
	/** Failed requests that were sent to the killed routers; not included in the other counts. */
	failedAtKilled: number;
};

/** Counts the failures; `killed` contains the URLs of killed routers, whose failures are counted separately. */
export function countCallerFailures(records: RequestRecord[], killed: readonly string[] = []): CallerFailures {
	const failures = records.filter(record => isFailure(record));
	const others = failures.filter(({entry}) => !killed.includes(entry));
	return {
		cutRequests: others.filter(({ending}) => ending === Ending.Broken).length,
		failedRequests: others.length,
		failedAtKilled: failures.length - others.length,
	};
}
