/*
Goodput as a fraction of the capacity: the engine time used for delivered tokens, divided by the available engine time. Unlike
a count of requests, it doesn't depend on the sizes of the requests in a window.
*/
import {bucketMs, type ServiceSeries} from './service-series.ts';

/** Keys of the series of totals that the load driver records. */
export enum Total {
	FirstBytes = 'firstBytes',
	Tokens = 'tokens',
}

export type GoodputOptions = {
	totals: ServiceSeries;
	firstTokenMs: number;
	betweenTokensMs: number;
	/** Number of requests that the capacity can run concurrently. */
	slots: number;
};

/** Computes the fraction of the capacity that was used between two times, in milliseconds from the start of the load. */
export function computeGoodputFraction(options: GoodputOptions, fromMs: number, toMs: number): number {
	const {totals, firstTokenMs, betweenTokensMs, slots} = options;
	const firstBytes = sumBuckets(totals.get(Total.FirstBytes), fromMs, toMs);
	const tokens = sumBuckets(totals.get(Total.Tokens), fromMs, toMs);
	const usedMs = (firstBytes * firstTokenMs) + ((tokens - firstBytes) * betweenTokensMs);
	const windowMs = (getBucketIndex(toMs) - getBucketIndex(fromMs)) * bucketMs;
	return usedMs / (slots * windowMs);
}

/** Time in milliseconds from `fromMs` to the start of the first second with at least this goodput; NaN when there is none. */
export function computeTimeToGoodput(options: GoodputOptions, fraction: number, fromMs: number, toMs: number): number {
	const windowMs = 1000;
	for (let startMs = fromMs; startMs + windowMs <= toMs; startMs += bucketMs) {
		if (computeGoodputFraction(options, startMs, startMs + windowMs) >= fraction) {
			return startMs - fromMs;
		}
	}

	return Number.NaN;
}

function sumBuckets(row: Float64Array, fromMs: number, toMs: number): number {
	return row.subarray(getBucketIndex(fromMs), getBucketIndex(toMs)).reduce((sum, value) => sum + value, 0);
}

function getBucketIndex(atMs: number): number {
	return Math.round(atMs / bucketMs);
}
