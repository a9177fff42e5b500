/*
Limits, weights and periods of routed calls with their defaults. Times are in milliseconds unless the name says otherwise.
*/
import {second} from '../units.ts';

export type GatewayLimits = {
	/** Retries and re-sends to a pool that its targets accept, as a fraction of the calls in a window. */
	retryRatio: number;
	/** Retries that the whole fleet may make in a window beyond the ratio. */
	retryExtra: number;
	retryWindowMs: number;
	/** Part of the retry budget that is spent, since the windows of two instances don't begin together. */
	retryUse: number;
	/** Period of digests to the other instances. */
	digestMs: number;
	/** An instance that hasn't been heard for this long is named to no caller. */
	heardMs: number;
	/** Time that a new instance has to be heard for the first time. */
	joinMs: number;
	/** Time for which callers may keep an address. */
	addressTtlMs: number;
	/** Most addresses in one answer. */
	addresses: number;
	/** Window over which a workspace's share of a pool is reckoned. */
	shareWindowMs: number;
	/** Weight of a generated token against one of the prompt. */
	outputWeight: number;
	/** First pause of a failing target; doubles with each failure in a row. */
	setAsideMs: number;
	setAsideMaxMs: number;
	/** Failures in a row after which a target is set aside. */
	failuresInRow: number;
	/** Time for which a target that refused a request counts as full. */
	fullMs: number;
	/** A load report that is older no longer counts. */
	loadReportMs: number;
	/** Without the platform, a target that hasn't answered for this long may have started again: less than it takes to start. */
	contactMs: number;
	/** Time for which a part of a prompt counts as kept by the target that read it. */
	keptPartMs: number;
	/** Parts of prompts that are remembered for a target. */
	keptParts: number;
	/** Delay that one more running request adds at an engine. */
	engineLoadMs: number;
	/** Homes of a shared part of prompts: targets that all instances send it to. */
	homes: number;
	/** Most targets over which a shared part spreads while its homes are full. */
	homesMax: number;
	/** Waiting calls with a part from which on it is read at one more target, since they share what that costs. */
	spreadCalls: number;
	/** Shared tokens from which a call goes to the homes of its part only. */
	boundTokens: number;
	/** Weight of reading a shared token once more against reading one of the call's own. */
	rereadWeight: number;
	/** Delay of a request to another failure domain and back. */
	crossDomainMs: number;
	/** Prompt tokens that an engine reads in a millisecond, before it was measured. */
	readTokensPerMs: number;
	/** Part of a route's objective that a call may wait for a place. */
	patience: number;
	/** Longest wait for a place, whatever the objective. */
	patienceMaxMs: number;
	/** Least time after which a refused caller is told to come back. */
	retryAfterMs: number;
	/** When a caller is to come back for whose call no target is known. */
	noTargetRetryMs: number;
	/** Time after an outage of the platform within which targets that lapsed meanwhile are listed again. */
	relistMs: number;
	/** An instance that hasn't been heard for this long is removed from the platform's list. */
	goneMs: number;
	/** Least time between two registrations. */
	registerMs: number;
	/** Time of a planned stop in which callers that keep an address longer still find it open. */
	lingerMs: number;
	/** Longest time of a planned stop. */
	stopMs: number;
};

export const gatewayLimitDefaults: GatewayLimits = {
	retryRatio: 0.2,
	retryExtra: 50,
	retryWindowMs: 10 * second,
	retryUse: 0.7,
	digestMs: 500,
	heardMs: 2 * second,
	joinMs: 3 * second,
	addressTtlMs: 2 * second,
	addresses: 64,
	shareWindowMs: 4 * second,
	outputWeight: 2,
	setAsideMs: 500,
	setAsideMaxMs: 4 * second,
	failuresInRow: 3,
	fullMs: 100,
	loadReportMs: second,
	contactMs: second,
	keptPartMs: 30 * second,
	keptParts: 4096,
	engineLoadMs: 2,
	homes: 1,
	homesMax: 2,
	spreadCalls: 2,
	boundTokens: 1000,
	rereadWeight: 5,
	crossDomainMs: 3,
	readTokensPerMs: 50,
	patience: 0.5,
	patienceMaxMs: second,
	retryAfterMs: 200,
	noTargetRetryMs: second,
	relistMs: 2.2 * second,
	goneMs: 10 * second,
	registerMs: 2 * second,
	lingerMs: 2.5 * second,
	stopMs: 7 * second,
};
