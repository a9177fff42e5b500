/*
Chooses the target of a call: the one with the shortest expected time to the first byte, in milliseconds. For engines
that is the prefill of the prompt's uncached tokens after those of this instance's other calls, and a delay for each
request in flight there; for services it is the time in the target's queue and the round trip to its failure domain.
*/
import {randomFraction} from '../world.ts';
import {isWithinColdRate, mayHaveRestartedUnnoticed} from './cold-limits.ts';
import {mayHaveCrashed, mayHaveRestarted} from './crash-evidence.ts';
import {DataKind} from './data-sources.ts';
import {isEnginePool, getOrCreatePoolEstimates, type Gateway} from './gateway.ts';
import {hasFreeSlot, estimateLoad} from './loads.ts';
import {
	getPreferredTargets, countUniqueTokens, getSharedSegmentId, countSharedTokens, estimateUncachedTokens,
} from './prompt-segments.ts';
import {isHeldByOthers, isWithinRateShare} from './rate-shares.ts';
import {
	TargetStanding, type Call, type PoolTarget, type StreamOrigin,
} from './rows.ts';
import {isPaused} from './target-notices.ts';

/** Targets within this difference from the best count as equal, in milliseconds. */
const tieMs = 0.5;

/** Time that a service is assumed to work on a call, until it has been measured; in milliseconds. */
const defaultWorkMs = 20;

/** Whether a target may get new work of this instance, by its standing, its failure domain, and its own request for a pause or a limit. */
export function isEligible(gateway: Gateway, target: PoolTarget): boolean {
	return target.standing === TargetStanding.Ready && !gateway.domainsOut.has(target.failureDomain) && !isPaused(gateway, target) && !isHeldByOthers(target);
}

function isSetAside({now}: Gateway, target: PoolTarget): boolean {
	return now < target.setAsideUntil;
}

/** Prompt tokens that the pool's engines prefill per millisecond: measured, or the default before the first sample. */
export function getPrefillTokensPerMs(gateway: Gateway, pool: string): number {
	const {prefillTokensPerMs} = getOrCreatePoolEstimates(gateway, pool);
	return prefillTokensPerMs > 0 ? prefillTokensPerMs : gateway.limits.defaultPrefillTokensPerMs;
}

type Candidate = {target: PoolTarget; costMs: number; uncachedTokens: number};

function createEngineCandidate(gateway: Gateway, call: Call, target: PoolTarget, isPreferred: boolean): Candidate {
	const prompt = call.prompt!;
	const uniqueTokens = countUniqueTokens(prompt);
	const estimatedTokens = estimateUncachedTokens(gateway, target, prompt);
	const uncachedTokens = isPreferred ? Math.min(estimatedTokens, uniqueTokens) : estimatedTokens;
	// Prefilling a shared segment at one more target takes time there and evicts other segments from its cache.
	const duplicatePenalty = Math.max(0, uncachedTokens - uniqueTokens) * (gateway.limits.duplicatePrefillWeight - 1);
	const prefillMs = (target.prefillBacklogTokens + uncachedTokens + duplicatePenalty) / getPrefillTokensPerMs(gateway, target.pool);
	return {target, uncachedTokens, costMs: prefillMs + (estimateLoad(gateway, target) * gateway.limits.delayPerRequestMs)};
}

/**
Finds the engines that a call may be sent to now. A stream is resumed at any engine of its software version, since the preferred ones
may all be of another. Otherwise a long shared prompt segment stays at its preferred targets. While they are full and several calls
wait for it, it spreads to further targets in rendezvous order.
*/
function findEngineCandidates(gateway: Gateway, call: Call, round: PlacementRound): Candidate[] {
	const {
		preferredTargets: preferredCount, maxPreferredTargets, preferredOnlyTokens, minCallsToSpread,
	} = gateway.limits;
	const prompt = call.prompt!;
	const segment = getSharedSegmentId(prompt);
	const isCandidate = (target: PoolTarget) => canSendTo(gateway, call, target);
	if (call.origin) {
		return getHealthyTargets(gateway, call.pool, call.origin)
			.filter(target => isCandidate(target))
			.map(target => createEngineCandidate(gateway, call, target, false));
	}

	if (segment === undefined || countSharedTokens(prompt) < preferredOnlyTokens) {
		const preferred = segment === undefined ? [] : getPreferredTargets(gateway, call.pool, segment, round.healthy, preferredCount);
		return round.targets
			.filter(target => isCandidate(target))
			.map(target => createEngineCandidate(gateway, call, target, preferred.includes(target)));
	}

	const ranking = getPreferredTargets(gateway, call.pool, segment, round.healthy, maxPreferredTargets);
	const preferred = ranking.slice(0, preferredCount).filter(target => isCandidate(target));
	if (preferred.length > 0) {
		return preferred.map(target => createEngineCandidate(gateway, call, target, true));
	}

	if ((round.waitingBySegment.get(segment) ?? 0) < minCallsToSpread) {
		return [];
	}

	const next = ranking.slice(preferredCount).find(target => isCandidate(target));
	return next ? [createEngineCandidate(gateway, call, next, false)] : [];
}

/** Whether a call may be sent to a target now. */
function canSendTo(gateway: Gateway, call: Call, target: PoolTarget): boolean {
	return !call.triedTargets.includes(target.id) && isAvailable(gateway, target) && (call.origin === undefined || isVersionCertain(gateway, target));
}

/** Whether the process of a target, and so the version of its software, is certainly the listed one. */
function isVersionCertain(gateway: Gateway, target: PoolTarget): boolean {
	const isListCurrent = gateway.now >= gateway.streamsHeldUntil && !gateway.missingData.has(DataKind.Targets);
	return isListCurrent && !mayHaveCrashed(gateway, target) && !mayHaveRestarted(gateway, target) && !mayHaveRestartedUnnoticed(gateway, target);
}

/** Whether a target takes one more call of this instance now. */
function isAvailable(gateway: Gateway, target: PoolTarget): boolean {
	return hasFreeSlot(gateway, target) && isWithinColdRate(gateway, target) && isWithinRateShare(gateway, target);
}

function createServiceCandidate(gateway: Gateway, target: PoolTarget): Candidate {
	const estimates = getOrCreatePoolEstimates(gateway, target.pool);
	const workMs = estimates.meanWorkMs > 0 ? estimates.meanWorkMs : defaultWorkMs;
	const slots = Math.max(1, target.slots);
	const load = estimateLoad(gateway, target);
	const queued = Math.max(0, load + 1 - slots);
	const roundTripMs = target.failureDomain === gateway.self.failureDomain ? 0 : gateway.limits.crossDomainRoundTripMs;
	return {target, uncachedTokens: 0, costMs: ((queued + (load / slots)) * workMs / slots) + roundTripMs};
}

/** Picks one of the candidates with the lowest cost at random. */
function pickCheapest(gateway: Gateway, candidates: Candidate[]): Candidate | undefined {
	const lowest = Math.min(...candidates.map(({costMs}) => costMs));
	const equal = candidates.filter(({costMs}) => costMs <= lowest + tieMs);
	return equal[Math.floor(randomFraction(gateway) * equal.length)];
}

export type Choice = {
	target: PoolTarget;
	uncachedTokens: number;
	/** Expected time to the first byte in addition to that of an idle target, in milliseconds. */
	costMs: number;
	/** Number of targets that could have been chosen. */
	candidates: number;
};

/** Whether a target has the software version at which a stream began. */
function hasVersion({softwareVersion}: PoolTarget, origin: StreamOrigin | undefined): boolean {
	return origin === undefined || softwareVersion === origin.softwareVersion;
}

/** Whether any target that may get new work, now or later, has the software version at which a stream began. */
export function isVersionListed(gateway: Gateway, origin: StreamOrigin): boolean {
	return [...gateway.targets.group(origin.pool)].some(target => target.standing === TargetStanding.Ready && hasVersion(target, origin));
}

/**
Targets of a pool that may get new work. Those that are set aside are left out, unless all are.

@param origin Where the stream began that is to be resumed; undefined for a new answer.
*/
export function getHealthyTargets(gateway: Gateway, pool: string, origin?: StreamOrigin): PoolTarget[] {
	const eligible = [...gateway.targets.group(pool)].filter(target => hasVersion(target, origin) && isEligible(gateway, target));
	const healthy = eligible.filter(target => !isSetAside(gateway, target));
	return healthy.length > 0 ? healthy : eligible;
}

/** Whether a call may be sent to any of the targets now. */
export function hasAvailableTarget(gateway: Gateway, targets: PoolTarget[]): boolean {
	return targets.some(target => isAvailable(gateway, target));
}

/** Data shared by all choices for the waiting calls of one pool in one step. */
export type PlacementRound = {
	/** Healthy targets of the pool. */
	targets: PoolTarget[];
	/** Of these, the ones whose rate limits leave something to this instance now: shared segments prefer these. */
	healthy: Set<PoolTarget>;
	/** Number of waiting calls by the shared segment of their prompts. */
	waitingBySegment: Map<string, number>;
};

export function createPlacementRound(gateway: Gateway, pool: string, waiting: Call[]): PlacementRound {
	const targets = getHealthyTargets(gateway, pool);
	const round: PlacementRound = {targets, healthy: new Set(targets.filter(target => isWithinRateShare(gateway, target))), waitingBySegment: new Map()};
	for (const call of waiting) {
		adjustWaitingCount(round, call, 1);
	}

	return round;
}

function adjustWaitingCount({waitingBySegment}: PlacementRound, {prompt}: Call, change: number) {
	const segment = prompt && getSharedSegmentId(prompt);
	if (segment !== undefined) {
		waitingBySegment.set(segment, (waitingBySegment.get(segment) ?? 0) + change);
	}
}

/** Removes a call that no longer waits from the counts of a round. */
export function removeFromRound(round: PlacementRound, call: Call) {
	adjustWaitingCount(round, call, -1);
}

/** Chooses one of the healthy targets for a call; undefined while it may be sent to none. */
export function chooseTarget(gateway: Gateway, call: Call, round: PlacementRound): Choice | undefined {
	const isEngine = call.prompt !== undefined && isEnginePool(gateway, call.pool);
	const candidates = isEngine
		? findEngineCandidates(gateway, call, round)
		: (call.origin ? getHealthyTargets(gateway, call.pool, call.origin) : round.targets).filter(target => canSendTo(gateway, call, target)).map(target => createServiceCandidate(gateway, target));
	const best = pickCheapest(gateway, candidates);
	return best && {...best, candidates: candidates.length};
}
