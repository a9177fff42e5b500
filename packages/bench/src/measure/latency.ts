/*
Latency histograms over a wide range, in milliseconds with a resolution of a microsecond.
*/
import {build} from 'hdr-histogram-js';
import {rounded} from './figures.ts';

const microsecondsPerMs = 1000;

export type Latency = {
	record: (ms: number) => void;
	count: () => number;
	/** Milliseconds; 0 without samples. */
	percentile: (percent: number) => number;
};

export type LatencySummary = {count: number; p50: number; p95: number; p99: number};

export function createLatency(): Latency {
	const histogram = build({
		lowestDiscernibleValue: 1, highestTrackableValue: 120_000 * microsecondsPerMs, numberOfSignificantValueDigits: 3,
	});
	return {
		record(ms) {
			histogram.recordValue(Math.max(1, Math.round(ms * microsecondsPerMs)));
		},
		count: () => histogram.totalCount,
		percentile: percent => histogram.getValueAtPercentile(percent) / microsecondsPerMs,
	};
}

/** The percentiles that scenarios print. */
export function summaryOf(latency: Latency): LatencySummary {
	return {
		count: latency.count(),
		p50: rounded(latency.percentile(50)),
		p95: rounded(latency.percentile(95)),
		p99: rounded(latency.percentile(99)),
	};
}
