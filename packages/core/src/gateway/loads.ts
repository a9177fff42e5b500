/*
Load estimates of targets. An answer reports how many requests its target has; until the next report, the requests that this
instance has sent since are added, and those that have ended subtracted. Without a recent report the load is the sum of the
requests that this instance and, by their last digests, the others have in flight there.
*/
import type {TargetEntry} from '../messages.ts';
import {getEngineLimit} from './engine-limits.ts';
import {isEnginePool, hasRecentDigest, type Gateway} from './gateway.ts';
import {createRateLimitEntry} from './rate-limits.ts';
import type {LoadReport, PoolTarget} from './rows.ts';

/** Estimates the requests that a target runs or has queued. */
export function estimateLoad({now, limits}: Gateway, target: PoolTarget): number {
	const isRecent = now - target.loadReportedAt <= limits.maxLoadReportAgeMs;
	return isRecent
		? Math.max(target.running, target.reportedLoad + target.sentSinceReport - target.endedSinceReport)
		: target.running + target.remoteRunning;
}

/** Maximum number of requests at once at a target. */
export function getMaxConcurrency(gateway: Gateway, target: PoolTarget): number {
	return isEnginePool(gateway, target.pool) ? getEngineLimit(gateway, target) : target.slots;
}

/** Whether a target has a free slot, by the load estimate. */
export function hasFreeSlot(gateway: Gateway, target: PoolTarget): boolean {
	if (gateway.now < target.fullUntil) {
		return false;
	}

	return estimateLoad(gateway, target) < getMaxConcurrency(gateway, target);
}

/** Applies a load report that came with an answer. */
export function applyLoadReport(gateway: Gateway, target: PoolTarget, load: LoadReport | undefined) {
	if (!load) {
		return;
	}

	target.reportedLoad = load.running + load.waiting;
	target.loadReportedAt = gateway.now;
	target.sentSinceReport = 0;
	target.endedSinceReport = 0;
}

/** Records a request that is sent to a target. */
export function recordSend(target: PoolTarget, uncachedTokens: number) {
	target.running += 1;
	target.sentSinceReport += 1;
	target.prefillBacklogTokens += uncachedTokens;
}

/** Records a request that has ended at a target. */
export function recordSendEnd(target: PoolTarget) {
	target.running -= 1;
	target.endedSinceReport += 1;
}

/**
Creates the target entries of this instance's digests: targets with requests of this instance, targets that are cold by the
platform's list or by this instance's own sends, and targets that said that they are leaving or named a rate limit. What other instances reported of
cold targets is not forwarded.
*/
export function createTargetEntries(gateway: Gateway): TargetEntry[] {
	const {now, targets} = gateway;
	const entries: TargetEntry[] = [];
	for (const target of targets.rows()) {
		const {id, running, coldUntil, hasAnnouncedLeaving, startId} = target;
		const rateLimit = createRateLimitEntry(gateway, target);
		if (running > 0 || now < coldUntil || hasAnnouncedLeaving || rateLimit) {
			entries.push({
				target: id, running, coldForMs: Math.max(0, Math.ceil(coldUntil - now)), ...(hasAnnouncedLeaving && {leavingStartId: startId}), ...(rateLimit && {rateLimit}),
			});
		}
	}

	return entries;
}

/** Sums up the requests in the last digests of the other instances; silent instances are left out. */
export function updateRemoteRunning(gateway: Gateway) {
	for (const target of gateway.targets.rows()) {
		target.remoteRunning = 0;
	}

	for (const instance of gateway.instances.rows()) {
		if (!hasRecentDigest(gateway, instance)) {
			continue;
		}

		for (const {target: id, running} of instance.targets) {
			const target = gateway.targets.get(id);
			if (target) {
				target.remoteRunning += running;
			}
		}
	}
}
