/*
The fairness gap: the largest difference in served tokens between any two workspaces, over all windows in which both were
backlogged throughout.
*/

/** Served weighted tokens of a workspace in each bucket, and whether it was backlogged in the bucket. */
export type WorkspaceService = {
	workspace: string;
	service: ArrayLike<number>;
	backlogged: readonly boolean[];
};

export type Gap = {
	/** Weighted tokens. */
	gap: number;
	/** The two workspaces with this gap; empty when no two were backlogged at the same time. */
	between: string[];
};

/** Computes the largest gap between any two workspaces, over all windows that begin at bucket `from` or later. */
export function computeLargestGap(workspaces: WorkspaceService[], from = 0): Gap {
	let largest: Gap = {gap: 0, between: []};
	for (const [index, one] of workspaces.entries()) {
		for (const other of workspaces.slice(index + 1)) {
			const gap = computePairGap(one, other, from);
			if (gap > largest.gap) {
				largest = {gap, between: [one.workspace, other.workspace]};
			}
		}
	}

	return largest;
}

/*
Within consecutive buckets in which both are backlogged, the gap of a window is the change of the cumulative difference between
its ends. The largest gap of all windows is therefore the range (maximum minus minimum) of the cumulative difference.
*/
function computePairGap(one: WorkspaceService, other: WorkspaceService, from: number): number {
	let difference = 0;
	let lowest = 0;
	let highest = 0;
	let gap = 0;
	for (let bucket = from; bucket < one.service.length; bucket++) {
		if (!(one.backlogged[bucket] && other.backlogged[bucket])) {
			difference = 0;
			lowest = 0;
			highest = 0;
			continue;
		}

		difference += (one.service[bucket] ?? 0) - (other.service[bucket] ?? 0);
		lowest = Math.min(lowest, difference);
		highest = Math.max(highest, difference);
		gap = Math.max(gap, highest - lowest);
	}

	return gap;
}

export type GapBoundOptions = {
	/** Largest input and output of one request, in tokens. */
	maxRequestCost: number;
	/** Smallest weight of a workspace. */
	minWeight: number;
	/** Input and output tokens that the whole fleet serves in a second. */
	tokensPerSecond: number;
	/** Maximum age of the other owners' counters at an owner, in milliseconds. */
	maxCounterAgeMs: number;
};

/**
Computes the upper bound of the gap in weighted tokens. At an owner with up-to-date counters, each of two workspaces deviates
by at most one request of the smallest weight. Until counters have been exchanged, all owners may serve the same workspace,
which then receives the whole throughput of the fleet for as long as the counters are out of date.
*/
export function computeGapBound({
	maxRequestCost, minWeight, tokensPerSecond, maxCounterAgeMs,
}: GapBoundOptions): number {
	return (2 * maxRequestCost / minWeight) + (tokensPerSecond * maxCounterAgeMs / 1000 / minWeight);
}
