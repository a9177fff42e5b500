/*
Estimates of how busy targets are. An answer tells how many requests its target had; until the next one, what this instance
has sent and seen end since is added. Without a recent report the sum of what the instances tell each other counts.
*/
import type {TargetEntry} from '../messages.ts';
import {engineLimit} from './engine-limits.ts';
import {isEnginePool, wasHeard, type Gateway} from './gateway.ts';
import type {LoadReport, PoolTarget} from './rows.ts';

/** Requests that a target runs or keeps waiting, by estimate. */
export function loadOf({now, limits}: Gateway, target: PoolTarget): number {
	const isRecent = now - target.reportedAt <= limits.loadReportMs;
	return isRecent
		? Math.max(target.running, target.reported + target.sentSince - target.endedSince)
		: target.running + target.remoteRunning;
}

/** Most requests at once at a target. */
export function placesOf(gateway: Gateway, target: PoolTarget): number {
	return isEnginePool(gateway, target.pool) ? engineLimit(gateway, target) : target.slots;
}

/** Whether a target has a place for one more request, by estimate. */
export function hasPlace(gateway: Gateway, target: PoolTarget): boolean {
	if (gateway.now < target.fullUntil) {
		return false;
	}

	return loadOf(gateway, target) < placesOf(gateway, target);
}

/** Takes a report that came with an answer. */
export function takeLoad(gateway: Gateway, target: PoolTarget, load: LoadReport | undefined) {
	if (!load) {
		return;
	}

	target.reported = load.running + load.waiting;
	target.reportedAt = gateway.now;
	target.sentSince = 0;
	target.endedSince = 0;
}

/** Counts a request that is sent to a target. */
export function countSend(target: PoolTarget, unreadTokens: number) {
	target.running += 1;
	target.sentSince += 1;
	target.unreadTokens += unreadTokens;
}

/** Counts a request that has ended at a target. */
export function countEnd(target: PoolTarget) {
	target.running -= 1;
	target.endedSince += 1;
}

/** What this instance knows first-hand of targets that it uses or that are cold, for its digests. */
export function ownTargets({now, targets}: Gateway): TargetEntry[] {
	const entries: TargetEntry[] = [];
	for (const {id, running, coldUntil} of targets.rows()) {
		if (running > 0 || now < coldUntil) {
			entries.push({target: id, running, coldForMs: Math.max(0, Math.ceil(coldUntil - now))});
		}
	}

	return entries;
}

/** Sums up what the other instances told last; those that are silent count no longer. */
export function updateRemoteRunning(gateway: Gateway) {
	for (const target of gateway.targets.rows()) {
		target.remoteRunning = 0;
	}

	for (const instance of gateway.instances.rows()) {
		if (!wasHeard(gateway, instance)) {
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
