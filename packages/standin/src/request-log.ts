/*
Record of the requests that a target stand-in received: each request by id with how it ended, runs by idempotency key,
admissions with their time, and the peak of concurrent requests. Its lists are bounded, so that memory doesn't grow during
long runs.
*/

/** How a request ended at the target. */
export enum RequestEnd {
	Running = 'running',
	Complete = 'complete',
	Cancelled = 'cancelled',
	/** The caller disconnected and did not resume in time. */
	Orphaned = 'orphaned',
	/** Ended by a restart of the target or the end of its process. */
	Cut = 'cut',
}

export type RequestEntry = {id: string; admissions: number; end: RequestEnd};

/** `key` is the idempotency key, where the target receives one; `at` is in milliseconds since the Unix epoch. */
export type Admission = {id: string; key?: string; at: number; running: number; cold: boolean};

export type RequestLog = {
	recordAdmission(admission: Admission): void;
	recordEnd(id: string, end: RequestEnd): void;
	/** Records a run of the key and returns the number of its runs so far. */
	recordRun(key: string): number;
	/** `includeLists` adds requests, runs and admissions, whose size grows with the number of requests. */
	getStats(includeLists: boolean): {
		requests?: RequestEntry[];
		/** Runs by idempotency key. */
		runs?: Record<string, number>;
		admissions?: Admission[];
		admitted: number;
		ends: Record<string, number>;
		peakRunning: number;
	};
};

/** Bound of each list. */
const maxEntries = 50_000;

/** Creates an empty log. */
export function createRequestLog(): RequestLog {
	const requests = new Map<string, RequestEntry>();
	const runs = new Map<string, number>();
	const ends: Record<string, number> = {};
	let admissions: Admission[] = [];
	let admitted = 0;
	let peakRunning = 0;

	return {
		recordAdmission(admission) {
			const entry = requests.get(admission.id) ?? {id: admission.id, admissions: 0, end: RequestEnd.Running};
			entry.admissions++;
			entry.end = RequestEnd.Running;
			requests.set(admission.id, entry);
			evictOldest(requests);
			admissions.push(admission);
			if (admissions.length > 2 * maxEntries) {
				admissions = admissions.slice(-maxEntries);
			}

			admitted++;
			peakRunning = Math.max(peakRunning, admission.running);
		},
		recordEnd(id, end) {
			ends[end] = (ends[end] ?? 0) + 1;
			const entry = requests.get(id);
			if (entry) {
				entry.end = end;
			}
		},
		recordRun(key) {
			const count = (runs.get(key) ?? 0) + 1;
			runs.set(key, count);
			evictOldest(runs);
			return count;
		},
		getStats: includeLists => ({
			...(includeLists && {
				requests: [...requests.values()],
				runs: Object.fromEntries(runs),
				admissions: admissions.slice(-maxEntries),
			}),
			admitted,
			ends: {...ends},
			peakRunning,
		}),
	};
}

/** Removes the entry that was inserted first when the map exceeds its bound. */
function evictOldest(map: Map<string, unknown>) {
	if (map.size > maxEntries) {
		map.delete(map.keys().next().value!);
	}
}
