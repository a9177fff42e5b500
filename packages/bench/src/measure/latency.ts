/*
Latency histograms of up to two minutes, in milliseconds, with three significant digits and a resolution of a microsecond.
*/
import {build} from 'hdr-histogram-js';
import {roundToThousandths} from './figures.ts';

const microsecondsPerMs = 1000;

export type LatencyHistogram = {
	record: (ms: number) => void;
	getCount: () => number;
	/** Latency in milliseconds; 0 without samples. */
	getPercentile: (percent: number) => number;
};

export type LatencySummary = {count: number; p50: number; p95: number; p99: number};

export function createLatencyHistogram(): LatencyHistogram {
	const histogram = build({
		lowestDiscernibleValue: 1, highestTrackableValue: 120_000 * microsecondsPerMs, numberOfSignificantValueDigits: 3,
	});
	return {
		record(ms) {
			histogram.recordValue(Math.max(1, Math.round(ms * microsecondsPerMs)));
		},
		getCount: () => histogram.totalCount,
		getPercentile: percent => histogram.getValueAtPercentile(percent) / microsecondsPerMs,
	};
}

/** Number of samples and the percentiles in milliseconds that scenarios report. */
export function summarizeLatency(latency: LatencyHistogram): LatencySummary {
	return {
		count: latency.getCount(),
		p50: roundToThousandths(latency.getPercentile(50)),
		p95: roundToThousandths(latency.getPercentile(95)),
		p99: roundToThousandths(latency.getPercentile(99)),
	};
}
