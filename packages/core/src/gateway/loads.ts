/*
Estimates of how busy targets are. An answer tells how many requests its target had; until the next one, what this instance
has sent and seen end since is added. Without a recent report only its own requests are known.
*/
import type {Gateway} from './gateway.ts';
import type {LoadReport, PoolTarget} from './rows.ts';

/** Requests that a target runs or keeps waiting, by estimate. */
export function loadOf({now, limits}: Gateway, target: PoolTarget): number {
	const isRecent = now - target.reportedAt <= limits.loadReportMs;
	return isRecent
		? Math.max(target.running, target.reported + target.sentSince - target.endedSince)
		: target.running;
}

/** Whether a target has a place for one more request, by estimate. */
export function hasPlace(gateway: Gateway, target: PoolTarget): boolean {
	return gateway.now >= target.fullUntil && (target.slots === 0 || loadOf(gateway, target) < target.slots);
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
