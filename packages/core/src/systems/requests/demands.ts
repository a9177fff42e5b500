/*
Demand of this router's callers, by workspace and pool: queue limits in weighted tokens, the measured drain rate that the
retry-after delay is computed from, and the retry budget.
*/
import {Outcome, RefusalKind, type Refusal} from '../../refusal.ts';
import type {Demand, Request} from '../../rows.ts';
import {second, minute} from '../../units.ts';
import {startPeriodIfDue, getWorkspacePoolKey, type World} from '../../world.ts';
import {computeCost, getOrCreateServedTokens} from '../fair-shares/served-tokens.ts';
import {addJitter} from './ticket-offers.ts';

/** Output tokens assumed for a request of a workspace that has had no answer yet. */
const defaultOutputTokens = 100;

/** Period at which the drain rate is measured, in milliseconds. */
const drainPeriodMs = second;

/** Weight of the last period in the drain rate. */
const drainSampleWeight = 0.3;

export function getOrCreateDemand(world: World, id: {pool: string; workspace: string}): Demand {
	const known = world.demands.get(getWorkspacePoolKey(id));
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

/**
Estimates the cost of a queued request in weighted tokens, from the mean output of its workspace. The caller's cost hint is
not used, since it may be wrong by a factor of ten.
*/
export function estimateQueueCost(world: World, request: {pool: string; workspace: string; inputTokens: number}): number {
	const mean = getOrCreateServedTokens(world, request).meanOutput;
	return computeCost(world, request.inputTokens, mean === 0 ? defaultOutputTokens : mean);
}

/**
Computes the retry-after delay of a refused caller, in milliseconds: the time until the queue has drained, with jitter.
*/
export function computeRetryAfterMs(world: World, demand: Demand): number {
	const drainMs = demand.drainRate > 0 ? (demand.queuedCost / demand.drainRate) * second : second;
	return addJitter(world, Math.min(minute, Math.max(second, drainMs)));
}

/** Returns a refusal when a queue is full, or when the request's deadline would pass while it waits. */
export function findQueueRefusal(world: World, request: Request): Refusal | undefined {
	const demand = getOrCreateDemand(world, request);
	const limit = world.configuration.workspaces.get(request.workspace)?.queueLimit ?? 0;
	const waitMs = demand.drainRate > 0 ? (demand.queuedCost / demand.drainRate) * second : 0;
	const isWithinLimits = demand.queuedCost + request.queueCost <= limit && demand.queued < world.limits.maxQueuedRequests;
	if (isWithinLimits && waitMs <= request.deadline - world.now) {
		return undefined;
	}

	return {
		kind: RefusalKind.QueueFull,
		outcome: Outcome.NotRun,
		detail: request.workspace,
		retryAfterMs: computeRetryAfterMs(world, demand),
	};
}

/** Counts a request as queued. */
export function addToQueue(world: World, request: Request) {
	const demand = getOrCreateDemand(world, request);
	demand.queued += 1;
	demand.queuedCost += request.queueCost;
}

/** Counts a request as no longer queued; one that got a permit counts towards the drain rate. */
export function removeFromQueue(world: World, request: Request, wasServed: boolean) {
	const demand = getOrCreateDemand(world, request);
	demand.queued = Math.max(0, demand.queued - 1);
	demand.queuedCost = Math.max(0, demand.queuedCost - request.queueCost);
	if (wasServed) {
		demand.drained += request.queueCost;
	}
}

/** Spends one retry of the workspace's budget; returns false when none is left. */
export function trySpendRetry(world: World, request: {pool: string; workspace: string}): boolean {
	const demand = getOrCreateDemand(world, request);
	if (demand.retriesLeft < 1) {
		return false;
	}

	demand.retriesLeft -= 1;
	demand.retriesSpent += 1;
	return true;
}

/** Adds the credit of one successful request to the retry budget. */
export function addRetryCredit(world: World, request: Request) {
	const demand = getOrCreateDemand(world, request);
	demand.retriesLeft = Math.min(world.limits.retryReserve, demand.retriesLeft + world.limits.retryRatio);
}

/** Updates the drain rates. */
export function demandsSystem(world: World) {
	if (!startPeriodIfDue(world, 'demands', drainPeriodMs)) {
		return;
	}

	for (const demand of world.demands.rows()) {
		demand.drainRate = (demand.drainRate * (1 - drainSampleWeight)) + (demand.drained * drainSampleWeight * second / drainPeriodMs);
		demand.drained = 0;
	}
}
