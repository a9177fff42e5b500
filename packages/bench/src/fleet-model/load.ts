/*
The load of the model fleet: kinds of requests with shared parts of prompts, workspaces of unequal size some of which ask for
many times their usual for a while, and callers who come back once when they are told to.
*/
import type {PromptSegment} from '@shallotloom/core/gateway/rows.ts';
import {createRandom, type Random} from '../load/random.ts';
import {eventTokens} from './engine.ts';

export type RequestKind = {
	name: string;
	/** Share of all requests. */
	share: number;
	/** Parts that several prompts share: the last one names the subject, to which the ones before follow. */
	shared: Array<{tokens: number; subjects: number}>;
	/** Mean of the prompt's own tokens, and most of them. */
	ownTokens: number;
	ownTokensMax: number;
	/** Spread of the own tokens: standard deviation of their logarithm. */
	spread: number;
	events: number;
	objectiveMs: number;
	gapMs: number;
	deadlineMs: number;
	/** Worth of an answer on time, and of a late one. */
	worth: number;
	lateWorth: number;
};

export type LoadOptions = {
	seed: number;
	/** Requests a second. */
	rate: number;
	workspaces: number;
	kinds: RequestKind[];
	/** Phases in which some workspaces ask for many times their usual. */
	hot: Array<{fromMs: number; forMs: number; workspaces: number; factor: number}>;
	/** Mean requests that arrive together. */
	clump: number;
};

export type ModelRequest = {
	kind: RequestKind;
	workspace: string;
	/** Instance that all callers of the workspace use, as a part of all; undefined when they use any. */
	place: number | undefined;
	parts: PromptSegment[];
	inputTokens: number;
	outputTokens: number;
	/** Weighted tokens: each read once, each generated twice. */
	cost: number;
	worth: number;
	lateWorth: number;
};

export type Load = {
	/** Requests that arrive together, and the time until the next in milliseconds. */
	next(now: number): {requests: ModelRequest[]; waitMs: number};
};

/** Exponent of the sizes of workspaces and of the use of subjects, as powers of their rank. */
const workspaceSkew = 1;
const subjectSkew = 0.3;

/** Worth of the smallest request of a kind against that of the mean, and the most against it. */
const leastWorth = 0.3;
const mostWorth = 4;

const outputWeight = 2;

/** Ranks between the largest workspaces of two phases. */
const phaseStep = 5;

/** Of five workspaces so many have all their callers at one instance. */
const placedOfFive = 2;

/** Sums of weights up to each index. */
function sumsOf(weights: number[]): number[] {
	let sum = 0;
	return weights.map(weight => {
		sum += weight;
		return sum;
	});
}

/** An index by its weight. */
function pick(random: Random, sums: number[]): number {
	const place = random.uniform() * sums.at(-1)!;
	return sums.findIndex(sum => place < sum);
}

/** Log-normal with this mean. */
function logNormal(random: Random, mean: number, spread: number): number {
	const normal = Math.sqrt(-2 * Math.log(1 - random.uniform())) * Math.cos(2 * Math.PI * random.uniform());
	return mean * Math.exp((spread * normal) - (spread * spread / 2));
}

/** Creates a load. */
export function createLoad({seed, rate, workspaces, kinds, hot, clump}: LoadOptions): Load {
	const random = createRandom(seed);
	const kindSums = sumsOf(kinds.map(({share}) => share));
	/** Each workspace has its own subjects, so that many a kind and workspace. */
	const turnSums = new Map(kinds.map(({shared}) => shared.at(-1)!.subjects).map(subjects => [
		subjects, sumsOf(Array.from({length: Math.max(1, Math.floor(subjects / workspaces))}, (_, rank) => 1 / ((rank + 1) ** subjectSkew))),
	]));
	const sizes = Array.from({length: workspaces}, (_, rank) => 1 / ((rank + 1) ** workspaceSkew));
	let made = 0;

	function weightsAt(now: number): number[] {
		const weights = [...sizes];
		for (const [index, {fromMs, forMs, workspaces: count, factor}] of hot.entries()) {
			if (now >= fromMs && now < fromMs + forMs) {
				for (let turn = 0; turn < Math.min(count, workspaces / 2); turn += 1) {
					weights[((index * phaseStep) + turn) % workspaces]! *= factor;
				}
			}
		}

		return weights;
	}

	function createRequest(workspaceSums: number[]): ModelRequest {
		const kind = kinds[pick(random, kindSums)]!;
		const owner = pick(random, workspaceSums);
		made += 1;
		const {subjects: all} = kind.shared.at(-1)!;
		const turn = pick(random, turnSums.get(all)!);
		const deepest = ((turn * workspaces) + owner) % all;
		const shared = kind.shared.map(({tokens, subjects}, depth) => ({id: `${kind.name}-${depth}-${deepest % subjects}`, tokens}));
		const ownTokens = Math.round(Math.min(kind.ownTokensMax, Math.max(1, logNormal(random, kind.ownTokens, kind.spread))));
		const outputTokens = Math.max(1, Math.round(logNormal(random, kind.events * eventTokens, 0.5)));
		const parts = [...shared, {id: `own-${made}`, tokens: ownTokens}];
		const inputTokens = parts.reduce((sum, {tokens}) => sum + tokens, 0);
		const cost = inputTokens + (outputWeight * outputTokens);
		const sharedTokens = kind.shared.reduce((sum, {tokens}) => sum + tokens, 0);
		const meanCost = kind.ownTokens + sharedTokens + (outputWeight * kind.events * eventTokens);
		const factor = Math.min(mostWorth, leastWorth + ((1 - leastWorth) * cost / meanCost));
		return {
			kind,
			workspace: `w${owner}`,
			place: owner % 5 < placedOfFive ? owner / workspaces : undefined,
			parts,
			inputTokens,
			outputTokens,
			cost,
			worth: kind.worth * factor,
			lateWorth: kind.lateWorth * factor,
		};
	}

	return {
		next(now) {
			const sums = sumsOf(weightsAt(now));
			const usual = sizes.reduce((sum, size) => sum + size, 0);
			const factor = sums.at(-1)! / usual;
			const count = 1 + Math.floor(random.exponential(clump - 0.5));
			return {
				requests: Array.from({length: count}, () => createRequest(sums)),
				waitMs: random.exponential(clump * 1000 / (rate * factor)),
			};
		},
	};
}
