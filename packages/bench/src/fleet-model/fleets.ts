/*
The simulated fleets: engines and kinds of requests from the data sheets of the first users, each at a calm, a pressed and a
flooded request rate. The held-back fleets have other engines, sizes and counts, so that changes aren't overfitted to these two
installations.
*/
import {defaultEngineOptions, type EngineOptions} from './engine.ts';
import type {FleetOptions} from './fleet.ts';
import type {LoadOptions, RequestKind} from './load.ts';

export type FleetCase = Omit<FleetOptions, 'seed' | 'seconds' | 'limits'> & {
	/** Price of a thousand tokens of shared segments that are prefilled repeatedly, in the unit of a request's worth. */
	duplicatePrefillPrice: number;
};

/** Requests of each kind per second, relative to each other, and what the kinds have in common. */
type KindOptions = {plan: number; chat: number; check: number; objectiveMs: number; maxGapMs: number; lateWorth: number; variants: number};

function createRequestKinds({plan, chat, check, objectiveMs, maxGapMs, lateWorth, variants}: KindOptions): RequestKind[] {
	const total = plan + chat + check;
	return [
		{
			name: 'plan', fraction: plan / total,
			sharedSegments: [{tokens: 512, variants: 3}, {tokens: 4870, variants}],
			meanUniqueTokens: 6610, maxUniqueTokens: 54_600,
			uniqueTokensSigma: 1, meanEvents: 55,
			objectiveMs: objectiveMs * 1.75, maxGapMs, deadlineMs: 12_000, worth: 4.4, lateWorth: 4.4 * lateWorth,
		},
		{
			name: 'chat', fraction: chat / total,
			sharedSegments: [{tokens: 119, variants: 20}, {tokens: 79, variants: 2 * variants}],
			meanUniqueTokens: 628, maxUniqueTokens: 3300,
			uniqueTokensSigma: 0.8, meanEvents: 42,
			objectiveMs, maxGapMs, deadlineMs: 12_000, worth: 2, lateWorth: 2 * lateWorth,
		},
		{
			name: 'check', fraction: check / total,
			sharedSegments: [{tokens: 341, variants: 40}, {tokens: 227, variants}],
			meanUniqueTokens: 1800, maxUniqueTokens: 6900,
			uniqueTokensSigma: 1, meanEvents: 3,
			objectiveMs, maxGapMs, deadlineMs: 3000, worth: 0.4, lateWorth: 0.4 * lateWorth,
		},
	];
}

const surges: LoadOptions['surges'] = [
	{
		fromMs: 4500, durationMs: 8000, workspaces: 5, factor: 6,
	},
	{
		fromMs: 10_500, durationMs: 7000, workspaces: 3, factor: 2.5,
	},
	{
		fromMs: 14_500, durationMs: 8000, workspaces: 6, factor: 7,
	},
];

const smallEngine: EngineOptions = defaultEngineOptions;

const largeEngine: EngineOptions = {
	...defaultEngineOptions, stepMs: 3.3, stepMsPerRequest: 0.08, prefillTokensPerMs: 125, attentionMsPerMillionPairs: 0.26, admissionDelayMs: 62, kvCacheTokens: 644_000,
};

const straw: Omit<FleetCase, 'load'> = {
	instances: 9, engines: 12, crashes: [], failureDomains: 3, engine: smallEngine, tokensPerSecond: 250_000, duplicatePrefillPrice: 0.56,
};

const college: Omit<FleetCase, 'load'> = {
	instances: 8, engines: 18, crashes: [], failureDomains: 3, engine: largeEngine, tokensPerSecond: 570_000, duplicatePrefillPrice: 0.75,
};

const strawKinds = createRequestKinds({
	plan: 27.6, chat: 44.5, check: 40.8, objectiveMs: 500, maxGapMs: 500, lateWorth: 0.5, variants: 61,
});

const collegeKinds = createRequestKinds({
	plan: 59.5, chat: 84, check: 117, objectiveMs: 400, maxGapMs: 300, lateWorth: 0.3, variants: 200,
});

const otherKinds = createRequestKinds({
	plan: 20, chat: 100, check: 30, objectiveMs: 700, maxGapMs: 400, lateWorth: 0.4, variants: 30,
});

function createLoadOptions(requestsPerSecond: number, kinds: RequestKind[]): FleetCase['load'] {
	return {
		requestsPerSecond, workspaces: 16, kinds, surges, meanBatchSize: 3,
	};
}

/** Fleets by name. */
export const fleets: Record<string, FleetCase> = {
	'straw-calm': {...straw, load: createLoadOptions(32, strawKinds)},
	'straw-pressed': {...straw, load: createLoadOptions(65, strawKinds)},
	'straw-flooded': {...straw, load: createLoadOptions(100, strawKinds)},
	'college-calm': {...college, load: createLoadOptions(85, collegeKinds)},
	'college-pressed': {...college, load: createLoadOptions(130, collegeKinds)},
	'college-flooded': {...college, load: createLoadOptions(190, collegeKinds)},
	'straw-crash': {...straw, load: createLoadOptions(65, strawKinds), crashes: [{atMs: 13_500, durationMs: 2000, engines: 3}]},
	'college-crash': {...college, load: createLoadOptions(130, collegeKinds), crashes: [{atMs: 13_500, durationMs: 2000, engines: 5}, {atMs: 15_400, durationMs: 3600, engines: 3}]},
	'held-back-few': {
		instances: 4, engines: 5, crashes: [], failureDomains: 2, engine: {...smallEngine, prefillTokensPerMs: 80}, tokensPerSecond: 150_000, duplicatePrefillPrice: 0.5,
		load: {...createLoadOptions(20, otherKinds), workspaces: 6},
	},
	'held-back-many': {
		instances: 16, engines: 30, crashes: [], failureDomains: 4, engine: {...largeEngine, slots: 32}, tokensPerSecond: 900_000, duplicatePrefillPrice: 0.7,
		load: {...createLoadOptions(330, otherKinds), workspaces: 60},
	},
};
