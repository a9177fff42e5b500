/*
Expected contents of the engines' prompt caches. A segment can only be used when all segments before it are cached too,
so what matters is how many segments from the start of a prompt are cached. Engines publish their cache contents late
and with gaps, so they are derived here from the calls that this instance has sent, and from rendezvous hashing, by
which all instances prefer the same target for a shared segment.
*/
import {rankByRendezvous} from '../rendezvous-hash.ts';
import type {Gateway} from './gateway.ts';
import type {PoolTarget, Prompt} from './rows.ts';

/**
Id of the last shared segment of a prompt: its second to last one, since the last belongs to the call or its session only.
Undefined when the prompt shares nothing.
*/
export function getSharedSegmentId(prompt: Prompt): string | undefined {
	return prompt.segments.at(-2)?.id;
}

/** Ids of the segments that a prompt may share with others: all but the last one. */
export function getSharedSegmentIds({segments}: Prompt): string[] {
	return segments.slice(0, -1).map(({id}) => id);
}

function isCached({now, limits}: Gateway, target: PoolTarget, segment: string): boolean {
	const cachedAt = target.cachedSegments.get(segment);
	return cachedAt !== undefined && now - cachedAt <= limits.cachedSegmentMs;
}

/**
Estimates the tokens of a prompt that a target has to prefill, by the calls that this instance has sent to it recently.
*/
export function estimateUncachedTokens(gateway: Gateway, target: PoolTarget, prompt: Prompt): number {
	let uncached = prompt.inputTokens;
	for (const segment of prompt.segments) {
		if (!isCached(gateway, target, segment.id)) {
			break;
		}

		uncached -= segment.tokens;
	}

	return Math.max(0, uncached);
}

/** Counts the tokens of a prompt's shared segments. */
export function countSharedTokens(prompt: Prompt): number {
	return prompt.segments.slice(0, -1).reduce((sum, segment) => sum + segment.tokens, 0);
}

/** Counts the tokens of a prompt that a target has to prefill when all shared segments are cached. */
export function countUniqueTokens(prompt: Prompt): number {
	return Math.max(0, prompt.inputTokens - countSharedTokens(prompt));
}

/** Maximum number of rankings kept in memory. */
const maxTargetRankings = 4096;

/** All targets of a pool by descending rendezvous score for a segment. */
function getTargetRanking({targets, targetRankings}: Gateway, pool: string, segment: string): PoolTarget[] {
	const key = `${pool}/${segment}`;
	const known = targetRankings.get(key);
	if (known?.version === targets.version) {
		return known.targets;
	}

	const inOrder = rankByRendezvous(segment, targets.group(pool), ({id}) => id);
	if (targetRankings.size >= maxTargetRankings) {
		targetRankings.clear();
	}

	targetRankings.set(key, {version: targets.version, targets: inOrder});
	return inOrder;
}

/**
Preferred targets of a shared segment, in an order that is the same at all instances. With rendezvous hashing, a
segment keeps its preferred target when other targets come or go.

@param healthy Targets of the pool that may be returned.
@param count Maximum number of targets to return.
*/
export function getPreferredTargets(gateway: Gateway, pool: string, segment: string, healthy: Set<PoolTarget>, count: number): PoolTarget[] {
	const preferred: PoolTarget[] = [];
	for (const target of getTargetRanking(gateway, pool, segment)) {
		if (preferred.length >= count) {
			break;
		}

		if (healthy.has(target)) {
			preferred.push(target);
		}
	}

	return preferred;
}

/** Records that a target prefills a prompt and so caches its segments. */
export function recordCachedSegments({now, limits}: Gateway, target: PoolTarget, prompt: Prompt) {
	for (const {id} of prompt.segments) {
		target.cachedSegments.delete(id);
		target.cachedSegments.set(id, now);
	}

	// Oldest first.
	for (const [id, cachedAt] of target.cachedSegments) {
		if (target.cachedSegments.size <= limits.maxCachedSegments && now - cachedAt <= limits.cachedSegmentMs) {
			break;
		}

		target.cachedSegments.delete(id);
	}
}
