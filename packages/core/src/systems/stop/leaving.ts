/*
Progress of a planned stop: whether callers may still use this router's address, whether another router is left to take
over, and whether anything remains to be done. See docs/design/stops.md.
*/
import {MemberState} from '../../messages.ts';
import {Outcome, RefusalKind, type Refusal} from '../../refusal.ts';
import {second} from '../../units.ts';
import type {World} from '../../world.ts';
import {isAlive} from '../membership/quorum.ts';

/**
Time from the start of the stop until no caller may use the address any more, in milliseconds. Other routers return the
address until they learn of the stop or count this router as silent, and callers then cache it for its time to live.
*/
export function computeWithdrawalMs({limits}: World): number {
	return limits.addressTtlMs + limits.heartbeatTimeoutMs;
}

/** Whether this router accepts requests; during a planned stop it does as long as callers may still use its address. */
export function isAcceptingRequests(world: World): boolean {
	return world.stopRequestedAt === undefined || world.now - world.stopRequestedAt < computeWithdrawalMs(world);
}

/** Whether this router is leaving and no active member is alive that could take over. */
export function isLastToLeave(world: World): boolean {
	return world.state === MemberState.Leaving
		&& ![...world.members.rows()].some(member => member.state === MemberState.Active && isAlive(world, member));
}

/** Whether there is, or may yet arrive, work that only this router's targets can do: requests or waiting tickets. */
export function hasRemainingWork(world: World): boolean {
	return isAcceptingRequests(world) || world.requests.size > 0 || world.tickets.size > 0;
}

/**
Whether only the deletion of the lease remains to be done. Targets that can't be handed over because of an outage of the
Object API delay the stop by at most `stopStoreWaitMs`. Running answers, and ends of `once` requests that aren't recorded
yet, delay it without a limit.
*/
export function isStopFinished(world: World): boolean {
	if (world.stopRequestedAt === undefined || isAcceptingRequests(world) || world.requests.size > 0 || world.runWrites.size > 0) {
		return false;
	}

	const isHandedOver = world.ownedTargets.size === 0 && world.ownershipChanges.size === 0;
	return isHandedOver || world.now - world.stopRequestedAt >= computeWithdrawalMs(world) + world.limits.stopStoreWaitMs;
}

/** Refusal of a request that arrived after this router stopped accepting requests. */
export function createStoppingRefusal(): Refusal {
	return {
		kind: RefusalKind.Stopping, outcome: Outcome.NotRun, detail: '', retryAfterMs: second,
	};
}
