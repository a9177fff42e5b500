/*
Small figures over samples: percentile, mean, slope; and the comparison of a figure with its bound.
*/

export type Bound = {
	value: number;
	limit: number;
	met: boolean;
};

/** Met when the value is a number of at most `limit`. */
export function atMost(value: number, limit: number): Bound {
	return {value: rounded(value), limit: rounded(limit), met: value <= limit};
}

/** Met when the value is a number of at least `limit`. */
export function atLeast(value: number, limit: number): Bound {
	return {value: rounded(value), limit: rounded(limit), met: value >= limit};
}

/** Three decimals, for the printed line. Values that are not finite stay as they are and print as null. */
export function rounded(value: number): number {
	return Math.round(value * 1000) / 1000;
}

/** Nearest-rank percentile; NaN without samples. */
export function percentile(samples: readonly number[], percent: number): number {
	const sorted = samples.toSorted((one, other) => one - other);
	const rank = Math.max(1, Math.ceil(percent / 100 * sorted.length));
	return sorted[rank - 1] ?? Number.NaN;
}

export function mean(samples: readonly number[]): number {
	return samples.reduce((sum, sample) => sum + sample, 0) / samples.length;
}

export type Point = {x: number; y: number};

export type Line = {slope: number; intercept: number};

/** Least-squares line through the points; NaN with fewer than two different x. */
export function fittedLine(points: readonly Point[]): Line {
	const meanX = mean(points.map(({x}) => x));
	const meanY = mean(points.map(({y}) => y));
	const spread = points.reduce((sum, {x}) => sum + ((x - meanX) ** 2), 0);
	const slope = points.reduce((sum, {x, y}) => sum + ((x - meanX) * (y - meanY)), 0) / spread;
	return {slope, intercept: meanY - (slope * meanX)};
}
