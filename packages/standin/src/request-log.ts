/*
What a target stand-in has seen: each request by id with how it ended, runs by idempotency key, admissions with their
time, and the peak of running requests. Bounded, so that long runs don't grow it.
*/

/** How a request ended at the target. */
export enum RequestEnd {
	Running = 'running',
	Complete = 'complete',
	Cancelled = 'cancelled',
	/** The caller went and didn't come back. */
	Orphaned = 'orphaned',
	/** A restart or the end of the process cut it. */
	Cut = 'cut',
}

export type RequestEntry = {id: string; admissions: number; end: RequestEnd};

/** `key` is the idempotency key, where the target is told one. */
export type Admission = {id: string; key?: string; at: number; running: number; cold: boolean};

export type RequestLog = {
	admitted(admission: Admission): void;
	ended(id: string, end: RequestEnd): void;
	/** Counts one run of the key and returns its runs so far. */
	ran(key: string): number;
	/** `lists` adds what grows with the run: requests, runs and admissions. */
	stats(lists: boolean): {
		requests?: RequestEntry[];
		/** Runs by idempotency key. */
		runs?: Record<string, number>;
		admissions?: Admission[];
		admitted: number;
		ends: Record<string, number>;
		peakRunning: number;
	};
};

const keptEntries = 50_000;

/** Creates an empty log. */
export function createRequestLog(): RequestLog {
	const requests = new Map<string, RequestEntry>();
	const runs = new Map<string, number>();
	const ends: Record<string, number> = {};
	let admissions: Admission[] = [];
	let admitted = 0;
	let peakRunning = 0;

	return {
		admitted(admission) {
			const entry = requests.get(admission.id) ?? {id: admission.id, admissions: 0, end: RequestEnd.Running};
			entry.admissions++;
			entry.end = RequestEnd.Running;
			requests.set(admission.id, entry);
			dropOldest(requests);
			admissions.push(admission);
			if (admissions.length > 2 * keptEntries) {
				admissions = admissions.slice(-keptEntries);
			}

			admitted++;
			peakRunning = Math.max(peakRunning, admission.running);
		},
		ended(id, end) {
			ends[end] = (ends[end] ?? 0) + 1;
			const entry = requests.get(id);
			if (entry) {
				entry.end = end;
			}
		},
		ran(key) {
			const count = (runs.get(key) ?? 0) + 1;
			runs.set(key, count);
			dropOldest(runs);
			return count;
		},
		stats: lists => ({
			...(lists && {
				requests: [...requests.values()],
				runs: Object.fromEntries(runs),
				admissions: admissions.slice(-keptEntries),
			}),
			admitted,
			ends: {...ends},
			peakRunning,
		}),
	};
}

function dropOldest(map: Map<string, unknown>) {
	if (map.size > keptEntries) {
		map.delete(map.keys().next().value!);
	}
}
