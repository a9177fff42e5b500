/*
The fairness gap: the largest difference in service between any two workspaces over any window in which both were
backlogged throughout.
*/

/** One workspace: service received in each bucket, and whether it was backlogged in it. */
export type WorkspaceService = {
	workspace: string;
	service: ArrayLike<number>;
	backlogged: readonly boolean[];
};

export type Gap = {
	/** Weighted tokens. */
	gap: number;
	/** The two workspaces between which it was seen; empty when no two were backlogged together. */
	between: string[];
};

/** Largest gap between any two workspaces, over all windows from bucket `from` on. */
export function largestGap(workspaces: WorkspaceService[], from = 0): Gap {
	let largest: Gap = {gap: 0, between: []};
	for (const [index, one] of workspaces.entries()) {
		for (const other of workspaces.slice(index + 1)) {
			const gap = pairGap(one, other, from);
			if (gap > largest.gap) {
				largest = {gap, between: [one.workspace, other.workspace]};
			}
		}
	}

	return largest;
}

/*
Over a run of buckets in which both are backlogged, the difference over a window is the change of the running difference
between its ends, so the largest over all windows is the spread of the running difference.
*/
function pairGap(one: WorkspaceService, other: WorkspaceService, from: number): number {
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
	/** Least weight of a workspace. */
	minWeight: number;
	/** Tokens that the whole fleet serves in a second, input included. */
	serviceRate: number;
	/** How old an owner's knowledge of the others' counters may be, in milliseconds. */
	counterAgeMs: number;
};

/**
Bound of the gap in weighted tokens. Two workspaces each stand at most one request of the lightest weight apart at every
owner that knows all counters. While counters travel, every owner may serve the same workspace, which then receives the
whole service of the fleet for as long as the counters are old.
*/
export function gapBound({
	maxRequestCost, minWeight, serviceRate, counterAgeMs,
}: GapBoundOptions): number {
	return (2 * maxRequestCost / minWeight) + (serviceRate * counterAgeMs / 1000 / minWeight);
}
