/*
The fleets that the model plays: engines and kinds of requests of the first users' sheets, at a calm, a pressed and a flooded
rate. The held-back ones have other engines, sizes and counts, for what must not be fitted to two installations.
*/
import {engineDefaults, type EngineOptions} from './engine.ts';
import type {FleetOptions} from './fleet.ts';
import type {LoadOptions, RequestKind} from './load.ts';

export type FleetCase = Omit<FleetOptions, 'seed' | 'seconds' | 'limits'> & {
	/** Price of a thousand tokens of shared parts read again, in the worth of requests. */
	rereadPrice: number;
};

type Sizes = {plan: number; chat: number; check: number; objectiveMs: number; gapMs: number; lateWorth: number; subjects: number};

function kindsOf({plan, chat, check, objectiveMs, gapMs, lateWorth, subjects}: Sizes): RequestKind[] {
	const total = plan + chat + check;
	return [
		{
			name: 'plan', share: plan / total,
			shared: [{tokens: 512, subjects: 3}, {tokens: 4870, subjects}],
			ownTokens: 6610, ownTokensMax: 54_600,
			spread: 1, events: 55,
			objectiveMs: objectiveMs * 1.75, gapMs, deadlineMs: 12_000, worth: 4.4, lateWorth: 4.4 * lateWorth,
		},
		{
			name: 'chat', share: chat / total,
			shared: [{tokens: 119, subjects: 20}, {tokens: 79, subjects: 2 * subjects}],
			ownTokens: 628, ownTokensMax: 3300,
			spread: 0.8, events: 42,
			objectiveMs, gapMs, deadlineMs: 12_000, worth: 2, lateWorth: 2 * lateWorth,
		},
		{
			name: 'check', share: check / total,
			shared: [{tokens: 341, subjects: 40}, {tokens: 227, subjects}],
			ownTokens: 1800, ownTokensMax: 6900,
			spread: 1, events: 3,
			objectiveMs, gapMs, deadlineMs: 3000, worth: 0.4, lateWorth: 0.4 * lateWorth,
		},
	];
}

const hot: LoadOptions['hot'] = [
	{
		fromMs: 4500, forMs: 8000, workspaces: 5, factor: 6,
	},
	{
		fromMs: 10_500, forMs: 7000, workspaces: 3, factor: 2.5,
	},
	{
		fromMs: 14_500, forMs: 8000, workspaces: 6, factor: 7,
	},
];

const smallEngine: EngineOptions = engineDefaults;

const largeEngine: EngineOptions = {
	...engineDefaults, stepMs: 3.3, stepMsPerRequest: 0.08, readTokensPerMs: 125, pairMs: 0.26, setupMs: 62, memoryTokens: 644_000,
};

const straw: Omit<FleetCase, 'load'> = {
	instances: 9, engines: 12, crashes: [], failureDomains: 3, engine: smallEngine, tokensPerSecond: 250_000, rereadPrice: 0.56,
};

const college: Omit<FleetCase, 'load'> = {
	instances: 8, engines: 18, crashes: [], failureDomains: 3, engine: largeEngine, tokensPerSecond: 570_000, rereadPrice: 0.75,
};

const strawKinds = kindsOf({
	plan: 27.6, chat: 44.5, check: 40.8, objectiveMs: 500, gapMs: 500, lateWorth: 0.5, subjects: 61,
});

const collegeKinds = kindsOf({
	plan: 59.5, chat: 84, check: 117, objectiveMs: 400, gapMs: 300, lateWorth: 0.3, subjects: 200,
});

const otherKinds = kindsOf({
	plan: 20, chat: 100, check: 30, objectiveMs: 700, gapMs: 400, lateWorth: 0.4, subjects: 30,
});

function loadOf(rate: number, kinds: RequestKind[]): FleetCase['load'] {
	return {
		rate, workspaces: 16, kinds, hot, clump: 3,
	};
}

/** Fleets by name. */
export const fleets: Record<string, FleetCase> = {
	'straw-calm': {...straw, load: loadOf(32, strawKinds)},
	'straw-pressed': {...straw, load: loadOf(65, strawKinds)},
	'straw-flooded': {...straw, load: loadOf(100, strawKinds)},
	'college-calm': {...college, load: loadOf(85, collegeKinds)},
	'college-pressed': {...college, load: loadOf(130, collegeKinds)},
	'college-flooded': {...college, load: loadOf(190, collegeKinds)},
	'straw-crash': {...straw, load: loadOf(65, strawKinds), crashes: [{atMs: 13_500, forMs: 2000, engines: 3}]},
	'college-crash': {...college, load: loadOf(130, collegeKinds), crashes: [{atMs: 13_500, forMs: 2000, engines: 5}, {atMs: 15_400, forMs: 3600, engines: 3}]},
	'held-back-few': {
		instances: 4, engines: 5, crashes: [], failureDomains: 2, engine: {...smallEngine, readTokensPerMs: 80}, tokensPerSecond: 150_000, rereadPrice: 0.5,
		load: {...loadOf(20, otherKinds), workspaces: 6},
	},
	'held-back-many': {
		instances: 16, engines: 30, crashes: [], failureDomains: 4, engine: {...largeEngine, slots: 32}, tokensPerSecond: 900_000, rereadPrice: 0.7,
		load: {...loadOf(330, otherKinds), workspaces: 60},
	},
};
