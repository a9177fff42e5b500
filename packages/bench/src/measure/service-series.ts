/*
Time series, in buckets of fixed length, of the served tokens of each workspace and of whether it was backlogged. Tokens are
weighted: input and output tokens divided by the workspace's weight.
*/

/** Length of a bucket in milliseconds. */
export const bucketMs = 50;

export type ServiceSeries = {
	readonly buckets: number;
	/** Adds served tokens at a time in milliseconds from the start of the load; times outside the load are ignored. */
	add: (workspace: string, atMs: number, tokens: number) => void;
	/** Served tokens in each bucket; all zero for a workspace that was not served. */
	get: (workspace: string) => Float64Array;
};

/** Creates an empty series for a load of this length. */
export function createServiceSeries(durationMs: number): ServiceSeries {
	const buckets = Math.ceil(durationMs / bucketMs);
	const rows = new Map<string, Float64Array>();
	const of = (workspace: string) => {
		const row = rows.get(workspace) ?? new Float64Array(buckets);
		rows.set(workspace, row);
		return row;
	};

	return {
		buckets,
		get: of,
		add(workspace, atMs, tokens) {
			const bucket = Math.floor(atMs / bucketMs);
			if (bucket >= 0 && bucket < buckets) {
				const row = of(workspace);
				row[bucket] = (row[bucket] ?? 0) + tokens;
			}
		},
	};
}

/** Interval in which a request waited, in milliseconds from the start of the load. */
export type WaitInterval = {fromMs: number; toMs: number};

/** For each bucket, whether at least one request waited through the whole of it. */
export function findBackloggedBuckets(waits: WaitInterval[], buckets: number): boolean[] {
	const backlogged = Array.from({length: buckets}, () => false);
	for (const {fromMs, toMs} of waits) {
		const first = Math.max(0, Math.ceil(fromMs / bucketMs));
		const last = Math.min(buckets, Math.floor(toMs / bucketMs));
		for (let bucket = first; bucket < last; bucket++) {
			backlogged[bucket] = true;
		}
	}

	return backlogged;
}
