/*
Demand of the callers of this router: queue limits by cost, the measured drain rate from which Retry-After follows, and
the retry budget of each workspace.
*/
import {Outcome, RefusalKind, type Refusal} from '../../refusal.ts';
import type {Demand, Request} from '../../rows.ts';
import {second, minute} from '../../units.ts';
import {startPeriodIfDue, getServiceKey, type World} from '../../world.ts';
import {costOf, serviceOf} from '../fair-shares/services.ts';
import {spread} from './placement.ts';

/** Output tokens that a request counts for before its workspace has had an answer. */
const unknownOutput = 100;

/** Period at which the drain rate is measured, in milliseconds. */
const drainMs = second;

/** Weight of the last period in the drain rate. */
const drainWeight = 0.3;

/** Demand of a workspace for a pool; created at the first use. */
export function demandOf(world: World, id: {pool: string; workspace: string}): Demand {
	const known = world.demands.get(getServiceKey(id));
	if (known) {
		return known;
	}

	const demand: Demand = {
		pool: id.pool,
		workspace: id.workspace,
		queued: 0,
		queuedCost: 0,
		drained: 0,
		drainRate: 0,
		retriesLeft: world.limits.retryReserve,
		retriesSpent: 0,
	};
	world.demands.set(demand);
	return demand;
}

/** Cost that a request counts for while it waits; the caller's hint isn't used, since it may be wrong by ten times. */
export function queueCostOf(world: World, request: {pool: string; workspace: string; inputTokens: number}): number {
	const mean = serviceOf(world, request).meanOutput;
	return costOf(world, request.inputTokens, mean === 0 ? unknownOutput : mean);
}

/** When a refused caller should come back, from the queue and its drain rate, in milliseconds. */
export function retryAfter(world: World, demand: Demand): number {
	const drain = demand.drainRate > 0 ? (demand.queuedCost / demand.drainRate) * second : second;
	return spread(world, Math.min(minute, Math.max(second, drain)));
}

/** Why a request can't join its queue: the queue is full, or its deadline would pass before its turn. */
export function queueRefusal(world: World, request: Request): Refusal | undefined {
	const demand = demandOf(world, request);
	const limit = world.configuration.workspaces.get(request.workspace)?.queueLimit ?? 0;
	const waitMs = demand.drainRate > 0 ? (demand.queuedCost / demand.drainRate) * second : 0;
	const hasRoom = demand.queuedCost + request.queueCost <= limit && demand.queued < world.limits.maxQueuedRequests;
	if (hasRoom && waitMs <= request.deadline - world.now) {
		return undefined;
	}

	return {
		kind: RefusalKind.QueueFull,
		outcome: Outcome.NotRun,
		detail: request.workspace,
		retryAfterMs: retryAfter(world, demand),
	};
}

/** Takes a request into the cost of its queue. */
export function enterQueue(world: World, request: Request) {
	const demand = demandOf(world, request);
	demand.queued += 1;
	demand.queuedCost += request.queueCost;
}

/** Takes a request out of the cost of its queue, as served or as given up. */
export function leaveQueue(world: World, request: Request, wasServed: boolean) {
	const demand = demandOf(world, request);
	demand.queued = Math.max(0, demand.queued - 1);
	demand.queuedCost = Math.max(0, demand.queuedCost - request.queueCost);
	if (wasServed) {
		demand.drained += request.queueCost;
	}
}

/** Takes one retry out of the workspace's budget; false when there is none left. */
export function spendRetry(world: World, request: {pool: string; workspace: string}): boolean {
	const demand = demandOf(world, request);
	if (demand.retriesLeft < 1) {
		return false;
	}

	demand.retriesLeft -= 1;
	demand.retriesSpent += 1;
	return true;
}

/** Credits the retry budget for a success. */
export function earnRetry(world: World, request: Request) {
	const demand = demandOf(world, request);
	demand.retriesLeft = Math.min(world.limits.retryReserve, demand.retriesLeft + world.limits.retryRatio);
}

/** Measures the drain rates. */
export function demandsSystem(world: World) {
	if (!startPeriodIfDue(world, 'demands', drainMs)) {
		return;
	}

	for (const demand of world.demands.rows()) {
		demand.drainRate = (demand.drainRate * (1 - drainWeight)) + (demand.drained * drainWeight * second / drainMs);
		demand.drained = 0;
	}
}
