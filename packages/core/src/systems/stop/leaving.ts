/*
How far a planned stop has come: whether callers may still keep the address, whether another router is left to take over,
and whether anything remains to be done. See docs/design/stops.md.
*/
import {MemberState} from '../../messages.ts';
import {Outcome, RefusalKind, type Refusal} from '../../refusal.ts';
import {second} from '../../units.ts';
import type {World} from '../../world.ts';
import {isAlive} from '../membership/quorum.ts';

/**
Time from the stop's start until no caller may use the address any more: others name it until they hear of the stop or
count this router as silent, and callers keep what they were told for the address's time to live.
*/
export function withdrawalMs({limits}: World): number {
	return limits.addressTtlMs + limits.heartbeatTimeoutMs;
}

/** Whether this router still takes requests: a leaving one does while callers may keep its address. */
export function takesRequests(world: World): boolean {
	return world.stopRequestedAt === undefined || world.now - world.stopRequestedAt < withdrawalMs(world);
}

/** Whether this router is leaving and hears no active member that could take over. */
export function leavesLast(world: World): boolean {
	return world.state === MemberState.Leaving
		&& ![...world.members.rows()].some(member => member.state === MemberState.Active && isAlive(world, member));
}

/** Whether work is left here that only this router's targets can do. */
export function hasWork(world: World): boolean {
	return takesRequests(world) || world.requests.size > 0 || world.tickets.size > 0;
}

/**
Whether the stop has nothing left to do but to give the lease up. Targets that can't be handed over, since the Object API
is down, are waited for no longer than `stopStoreWaitMs`; running answers, and the
ends of `once` requests that aren't recorded yet, are waited for as long as they take.
*/
export function isFinished(world: World): boolean {
	if (world.stopRequestedAt === undefined || takesRequests(world) || world.requests.size > 0 || world.runWrites.size > 0) {
		return false;
	}

	const isHandedOver = world.ownedTargets.size === 0 && world.ownershipChanges.size === 0;
	return isHandedOver || world.now - world.stopRequestedAt >= withdrawalMs(world) + world.limits.stopStoreWaitMs;
}

/** Refusal of a request that came to a stopping router too late. */
export function stoppingRefusal(): Refusal {
	return {
		kind: RefusalKind.Stopping, outcome: Outcome.NotRun, detail: '', retryAfterMs: second,
	};
}
