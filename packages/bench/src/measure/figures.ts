/*
Statistics of samples (percentile, mean, fitted line), and the comparison of a figure with its bound.
*/

export type Bound = {
	value: number;
	limit: number;
	met: boolean;
};

/** Bound that is met by values up to `limit`, and never by NaN. */
export function atMost(value: number, limit: number): Bound {
	return {value: roundToThousandths(value), limit: roundToThousandths(limit), met: value <= limit};
}

/** Bound that is met by values of `limit` or more, and never by NaN. */
export function atLeast(value: number, limit: number): Bound {
	return {value: roundToThousandths(value), limit: roundToThousandths(limit), met: value >= limit};
}

/** Rounds to three decimals for the JSON output. NaN and infinities stay as they are; JSON has null for them. */
export function roundToThousandths(value: number): number {
	return Math.round(value * 1000) / 1000;
}

/** Nearest-rank percentile; NaN without samples. */
export function computePercentile(samples: readonly number[], percent: number): number {
	const sorted = samples.toSorted((one, other) => one - other);
	const rank = Math.max(1, Math.ceil(percent / 100 * sorted.length));
	return sorted[rank - 1] ?? Number.NaN;
}

export function computeMean(samples: readonly number[]): number {
	return samples.reduce((sum, sample) => sum + sample, 0) / samples.length;
}

export type Point = {x: number; y: number};

export type Line = {slope: number; intercept: number};

/** Fits a least-squares line to the points; NaN with fewer than two different x. */
export function fitLine(points: readonly Point[]): Line {
	const meanX = computeMean(points.map(({x}) => x));
	const meanY = computeMean(points.map(({y}) => y));
	const squaredDeviations = points.reduce((sum, {x}) => sum + ((x - meanX) ** 2), 0);
	const slope = points.reduce((sum, {x, y}) => sum + ((x - meanX) * (y - meanY)), 0) / squaredDeviations;
	return {slope, intercept: meanY - (slope * meanX)};
}
