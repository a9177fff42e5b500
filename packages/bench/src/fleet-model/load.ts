/*
Generates the load of the simulated fleet: several kinds of requests whose prompts share segments, sent by workspaces of unequal
size, some of which send many times their usual rate during surges.
*/
import type {PromptSegment} from '@shallotloom/core/gateway/rows.ts';
import {createRandom, type Random} from '../load/random.ts';
import {tokensPerEvent} from './engine.ts';

export type RequestKind = {
	name: string;
	/** Fraction of all requests that are of this kind. */
	fraction: number;
	/**
	Leading prompt segments that several prompts share, with the number of variants of each. The variant of the last segment is
	drawn at random and determines the variants of those before it.
	*/
	sharedSegments: Array<{tokens: number; variants: number}>;
	/** Mean and maximum number of tokens outside the shared segments. */
	meanUniqueTokens: number;
	maxUniqueTokens: number;
	/** Standard deviation of the logarithm of the number of unique tokens. */
	uniqueTokensSigma: number;
	/** Mean number of events of an answer's stream. */
	meanEvents: number;
	/** Longest time to the first byte, and longest time between two events, of an answer on time, in milliseconds. */
	objectiveMs: number;
	maxGapMs: number;
	deadlineMs: number;
	/** Worth of an answer on time, and of a late one. */
	worth: number;
	lateWorth: number;
};

export type LoadOptions = {
	seed: number;
	requestsPerSecond: number;
	workspaces: number;
	kinds: RequestKind[];
	/** Periods in which some workspaces send `factor` times their usual rate. */
	surges: Array<{fromMs: number; durationMs: number; workspaces: number; factor: number}>;
	/** Mean number of requests that arrive together. */
	meanBatchSize: number;
};

export type ModelRequest = {
	kind: RequestKind;
	workspace: string;
	/** Instance that all callers of the workspace use, as a fraction of the list of instances; undefined when they use any. */
	instancePosition: number | undefined;
	segments: PromptSegment[];
	inputTokens: number;
	outputTokens: number;
	/** Weighted tokens: input tokens count once, output tokens twice. */
	cost: number;
	worth: number;
	lateWorth: number;
};

export type Load = {
	/** Returns requests that arrive together, and the time until the next batch in milliseconds. */
	nextBatch(now: number): {requests: ModelRequest[]; waitMs: number};
};

/** Zipf exponents of the sizes of workspaces, and of how often a workspace uses each of its segment variants. */
const workspaceSizeExponent = 1;
const variantUseExponent = 0.3;

/** Worth of the smallest and of the largest request of a kind, relative to a request of mean cost. */
const minWorthFactor = 0.3;
const maxWorthFactor = 4;

const outputWeight = 2;

/** Distance in rank between the largest workspaces of two consecutive surges. */
const surgeRankOffset = 5;

/** Number of workspaces, out of every five, whose callers all use one instance. */
const pinnedWorkspacesOfFive = 2;

function computeCumulativeSums(weights: number[]): number[] {
	let sum = 0;
	return weights.map(weight => {
		sum += weight;
		return sum;
	});
}

/** Picks an index at random by weight, given the cumulative sums of the weights. */
function pickIndex(random: Random, sums: number[]): number {
	const threshold = random.uniform() * sums.at(-1)!;
	return sums.findIndex(sum => threshold < sum);
}

/** Draws from a log-normal distribution with this mean; `sigma` is the standard deviation of the logarithm. */
function sampleLogNormal(random: Random, mean: number, sigma: number): number {
	const normal = Math.sqrt(-2 * Math.log(1 - random.uniform())) * Math.cos(2 * Math.PI * random.uniform());
	return mean * Math.exp((sigma * normal) - (sigma * sigma / 2));
}

export function createLoad({seed, requestsPerSecond, workspaces, kinds, surges, meanBatchSize}: LoadOptions): Load {
	const random = createRandom(seed);
	const kindSums = computeCumulativeSums(kinds.map(({fraction}) => fraction));
	/** Cumulative weights of one workspace's variants, by variant count: each workspace uses its own subset of a kind's variants. */
	const variantSums = new Map(kinds.map(({sharedSegments}) => sharedSegments.at(-1)!.variants).map(variants => [
		variants, computeCumulativeSums(Array.from({length: Math.max(1, Math.floor(variants / workspaces))}, (_, rank) => 1 / ((rank + 1) ** variantUseExponent))),
	]));
	const workspaceWeights = Array.from({length: workspaces}, (_, rank) => 1 / ((rank + 1) ** workspaceSizeExponent));
	let createdRequests = 0;

	function computeWorkspaceWeights(now: number): number[] {
		const weights = [...workspaceWeights];
		for (const [index, {fromMs, durationMs, workspaces: count, factor}] of surges.entries()) {
			if (now >= fromMs && now < fromMs + durationMs) {
				for (let offset = 0; offset < Math.min(count, workspaces / 2); offset += 1) {
					weights[((index * surgeRankOffset) + offset) % workspaces]! *= factor;
				}
			}
		}

		return weights;
	}

	function createRequest(workspaceSums: number[]): ModelRequest {
		const kind = kinds[pickIndex(random, kindSums)]!;
		const workspaceIndex = pickIndex(random, workspaceSums);
		createdRequests += 1;
		const {variants: variantCount} = kind.sharedSegments.at(-1)!;
		const variantRank = pickIndex(random, variantSums.get(variantCount)!);
		const variant = ((variantRank * workspaces) + workspaceIndex) % variantCount;
		const sharedSegments = kind.sharedSegments.map(({tokens, variants}, depth) => ({id: `${kind.name}-${depth}-${variant % variants}`, tokens}));
		const uniqueTokens = Math.round(Math.min(kind.maxUniqueTokens, Math.max(1, sampleLogNormal(random, kind.meanUniqueTokens, kind.uniqueTokensSigma))));
		const outputTokens = Math.max(1, Math.round(sampleLogNormal(random, kind.meanEvents * tokensPerEvent, 0.5)));
		const segments = [...sharedSegments, {id: `own-${createdRequests}`, tokens: uniqueTokens}];
		const inputTokens = segments.reduce((sum, {tokens}) => sum + tokens, 0);
		const cost = inputTokens + (outputWeight * outputTokens);
		const sharedTokens = kind.sharedSegments.reduce((sum, {tokens}) => sum + tokens, 0);
		const meanCost = kind.meanUniqueTokens + sharedTokens + (outputWeight * kind.meanEvents * tokensPerEvent);
		const factor = Math.min(maxWorthFactor, minWorthFactor + ((1 - minWorthFactor) * cost / meanCost));
		return {
			kind,
			workspace: `w${workspaceIndex}`,
			instancePosition: workspaceIndex % 5 < pinnedWorkspacesOfFive ? workspaceIndex / workspaces : undefined,
			segments,
			inputTokens,
			outputTokens,
			cost,
			worth: kind.worth * factor,
			lateWorth: kind.lateWorth * factor,
		};
	}

	return {
		nextBatch(now) {
			const workspaceSums = computeCumulativeSums(computeWorkspaceWeights(now));
			const usualWeight = workspaceWeights.reduce((sum, weight) => sum + weight, 0);
			const factor = workspaceSums.at(-1)! / usualWeight;
			const count = 1 + Math.floor(random.exponential(meanBatchSize - 0.5));
			return {
				requests: Array.from({length: count}, () => createRequest(workspaceSums)),
				waitMs: random.exponential(meanBatchSize * 1000 / (requestsPerSecond * factor)),
			};
		},
	};
}
