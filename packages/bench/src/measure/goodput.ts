/*
Goodput as a part of capacity: the engine time that the delivered tokens took, over the engine time that there was. It
doesn't depend on how large the requests of a window happened to be.
*/
import {bucketMs, type ServiceSeries} from './service-series.ts';

/** Rows of the series of totals that the load driver keeps. */
export enum Total {
	FirstBytes = 'firstBytes',
	Tokens = 'tokens',
}

export type GoodputOptions = {
	totals: ServiceSeries;
	firstTokenMs: number;
	betweenTokensMs: number;
	/** Requests at once that the capacity holds. */
	slots: number;
};

/** Part of the capacity that was delivered between two times, in milliseconds from the start of the load. */
export function goodputFraction(options: GoodputOptions, fromMs: number, toMs: number): number {
	const {totals, firstTokenMs, betweenTokensMs, slots} = options;
	const starts = sumBetween(totals.of(Total.FirstBytes), fromMs, toMs);
	const tokens = sumBetween(totals.of(Total.Tokens), fromMs, toMs);
	const usedMs = (starts * firstTokenMs) + ((tokens - starts) * betweenTokensMs);
	const bucketsMs = (bucketAt(toMs) - bucketAt(fromMs)) * bucketMs;
	return usedMs / (slots * bucketsMs);
}

/** Time from `fromMs` until a whole second delivered at least this part of the capacity; NaN when none did. */
export function timeToGoodput(options: GoodputOptions, fraction: number, fromMs: number, toMs: number): number {
	const windowMs = 1000;
	for (let startMs = fromMs; startMs + windowMs <= toMs; startMs += bucketMs) {
		if (goodputFraction(options, startMs, startMs + windowMs) >= fraction) {
			return startMs - fromMs;
		}
	}

	return Number.NaN;
}

function sumBetween(row: Float64Array, fromMs: number, toMs: number): number {
	return row.subarray(bucketAt(fromMs), bucketAt(toMs)).reduce((sum, value) => sum + value, 0);
}

function bucketAt(atMs: number): number {
	return Math.round(atMs / bucketMs);
}
