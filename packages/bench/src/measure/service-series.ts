/*
Service that each workspace received over time, in buckets of fixed length, and whether it was backlogged in each bucket.
The unit of service is weighted tokens: input and output tokens divided by the workspace's weight.
*/

/** Length of a bucket in milliseconds. */
export const bucketMs = 50;

export type ServiceSeries = {
	readonly buckets: number;
	/** Counts service at a time in milliseconds from the start of the load; later times are dropped. */
	add: (workspace: string, atMs: number, service: number) => void;
	/** Service in each bucket; zeros for a workspace that received none. */
	of: (workspace: string) => Float64Array;
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
		of,
		add(workspace, atMs, service) {
			const bucket = Math.floor(atMs / bucketMs);
			if (bucket >= 0 && bucket < buckets) {
				const row = of(workspace);
				row[bucket] = (row[bucket] ?? 0) + service;
			}
		},
	};
}

/** Time during which one request waited, in milliseconds from the start of the load. */
export type Wait = {fromMs: number; toMs: number};

/** For each bucket, whether at least one request waited through the whole of it. */
export function backloggedBuckets(waits: Wait[], buckets: number): boolean[] {
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
