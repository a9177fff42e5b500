/*
The open-loop schedule: arrival time, size and entry of each request. All randomness comes from the seed, so that two
deployments can be given the same load.
*/
import {createRandom, computeHeavyTailedMean, type Random} from './random.ts';

/** Bounds of a request's tokens, both included; sizes have a heavy-tailed distribution. */
export type Sizes = {
	input: {min: number; max: number};
	output: {min: number; max: number};
};

export const defaultSizes: Sizes = {
	input: {min: 20, max: 200},
	output: {min: 10, max: 100},
};

/** Load of one workspace. */
export type WorkspaceLoad = {
	workspace: string;
	ratePerSecond: number;
	/** Requests that arrive at once at `fromMs`. */
	burst: number;
	/** Base URLs that requests are sent to; chosen at random with equal probability. */
	entries: string[];
	/** Start of the arrivals; 0 by default. */
	fromMs?: number;
	/** End of the arrivals, excluded; the duration of the schedule by default. */
	untilMs?: number;
};

export type Arrival = {
	/** Arrival time, in milliseconds since the start of the load. */
	atMs: number;
	workspace: string;
	/** Base URL that the request is sent to. */
	entry: string;
	inputTokens: number;
	outputTokens: number;
	/** Caller's estimate of the output tokens: between a tenth and ten times the true number, at least 1. */
	costHint: number;
};

export type ScheduleOptions = {
	seed: number;
	durationMs: number;
	loads: WorkspaceLoad[];
	sizes?: Sizes;
};

/** Creates the arrivals of all workspaces, sorted by time. */
export function createSchedule({seed, durationMs, loads, sizes = defaultSizes}: ScheduleOptions): Arrival[] {
	return loads
		.flatMap((load, index) => createArrivals(load, createRandom(seed, index), durationMs, sizes))
		.toSorted((one, other) => one.atMs - other.atMs);
}

/** Computes the mean input and output tokens of a request. */
export function computeMeanSizes({input, output}: Sizes): {input: number; output: number} {
	return {
		input: computeHeavyTailedMean(input.min, input.max),
		output: computeHeavyTailedMean(output.min, output.max),
	};
}

function createArrivals(load: WorkspaceLoad, random: Random, durationMs: number, sizes: Sizes): Arrival[] {
	const {ratePerSecond, burst, fromMs = 0, untilMs = durationMs} = load;
	const arrivals = Array.from({length: burst}, () => createArrival(load, fromMs, random, sizes));
	if (ratePerSecond <= 0) {
		return arrivals;
	}

	const meanMs = 1000 / ratePerSecond;
	for (let atMs = fromMs + random.exponential(meanMs); atMs < untilMs; atMs += random.exponential(meanMs)) {
		arrivals.push(createArrival(load, atMs, random, sizes));
	}

	return arrivals;
}

function createArrival({workspace, entries}: WorkspaceLoad, atMs: number, random: Random, {input, output}: Sizes): Arrival {
	const outputTokens = Math.round(random.heavyTailed(output.min, output.max));
	const errorFactor = 10 ** ((random.uniform() * 2) - 1);
	return {
		atMs,
		workspace,
		entry: entries[Math.floor(random.uniform() * entries.length)] ?? '',
		inputTokens: Math.round(random.heavyTailed(input.min, input.max)),
		outputTokens,
		costHint: Math.max(1, Math.round(outputTokens * errorFactor)),
	};
}
