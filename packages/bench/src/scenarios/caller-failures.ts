/*
What became of callers' requests while routers stop: cut, failed otherwise, or lost with a killed router.
*/
import {Ending, isFailure, type RequestRecord} from '../load/record.ts';

export type CallerFailures = {
	/** Requests whose answer broke off, or whose connection did before one came. */
	cutRequests: number;
	/** Requests that failed in any way, the cut ones included; a full queue isn't a failure. */
	failedRequests: number;
	/** Failed requests that the killed routers' own callers sent; not counted above. */
	failedAtKilled: number;
};

/** Counts the failures, apart for the callers of killed routers, by the routers' URLs. */
export function countCallerFailures(records: RequestRecord[], killed: readonly string[] = []): CallerFailures {
	const failures = records.filter(record => isFailure(record));
	const others = failures.filter(({entry}) => !killed.includes(entry));
	return {
		cutRequests: others.filter(({ending}) => ending === Ending.Broken).length,
		failedRequests: others.length,
		failedAtKilled: failures.length - others.length,
	};
}
