/*
Max-min fair shares of a pool. Each instance receives the demand and the served tokens of all workspaces in digests, computes the
fair level of the pool, and starts no call of a workspace above that level while other workspaces have demand. So a
workspace gets its share also if all its callers use one instance, and no call is held back while the capacity meets all demands.
*/
import {second} from '../units.ts';
import {startPeriodIfDue} from '../world.ts';
import {isEnginePool, type Gateway} from './gateway.ts';
import type {Call, Usage} from './rows.ts';
import {decayUsage, getServedTokens} from './usage.ts';

/** Period of `fairLevelsSystem`, in milliseconds. */
const fairLevelPeriodMs = 100;

/** Capacity of a pool with free slots, as a factor of what recently started there: above 1, so that the fair level can rise. */
const growthFactor = 1.1;

/** The same for a pool of engines that were all full within the share window: below 1, since each request slows the others. */
const shrinkFactor = 0.85;

/** Fraction of a fallen level to which served tokens are lowered: below 1, so that calls go on starting at the fair rate. */
const minServedFraction = 0.95;

/** Maximum factor by which the reference level rises towards the fair level in one period. */
const referenceRiseFactor = 1.03;

/**
Computes the max-min fair level: each demand is met up to this level, and the capacity is used up.

@returns Infinity when the capacity meets all demands.
*/
export function waterLevel(demands: number[], capacity: number): number {
	let remaining = capacity;
	const sorted = demands.toSorted((a, b) => a - b);
	for (const [index, demand] of sorted.entries()) {
		const equalShare = remaining / (sorted.length - index);
		if (demand > equalShare) {
			return equalShare;
		}

		remaining -= demand;
	}

	return Number.POSITIVE_INFINITY;
}

/** Whether this instance found all targets of a pool full within the share window. */
function wasRecentlyFull({lastFullAt, now, limits}: Gateway, pool: string): boolean {
	return now - (lastFullAt.get(pool) ?? Number.NEGATIVE_INFINITY) < limits.shareWindowMs;
}

/** Estimates the weighted tokens that a pool can serve over the share window. */
function estimateCapacity(gateway: Gateway, pool: string, usages: Usage[]): number {
	const started = usages.reduce((sum, {localStarted, remoteStarted}) => sum + localStarted + remoteStarted, 0);
	if (!isEnginePool(gateway, pool)) {
		return started * growthFactor;
	}

	const configured = (gateway.catalogue?.tokensPerSecond ?? 0) * gateway.limits.shareWindowMs / second;
	return Math.max(configured, started * (wasRecentlyFull(gateway, pool) ? shrinkFactor : growthFactor));
}

function computeFairLevel(gateway: Gateway, pool: string): number {
	const usages = [...gateway.usages.group(pool)];
	for (const usage of usages) {
		decayUsage(gateway, usage);
	}

	const level = waterLevel(usages.map(({localDemand, remoteDemand}) => localDemand + remoteDemand), estimateCapacity(gateway, pool, usages));
	return usages.length > 1 ? level : Number.POSITIVE_INFINITY;
}

/**
Lowers served tokens in proportion to a fair level that has fallen, at most to just below it. Otherwise a workspace that was
served more while the fair level was higher would be held below its share for seconds. This affects above all a workspace whose
callers use one instance: others start calls at several instances before these receive each other's digests.
*/
function lowerServedTokens(usage: Usage, level: number, reference: number) {
	const served = usage.localServed + usage.remoteServed;
	const lowered = Math.max(Math.min(served, level * minServedFraction), served * level / reference);
	if (lowered < served) {
		usage.localServed *= lowered / served;
		usage.remoteServed *= lowered / served;
	}
}

/**
Moves the reference level to the fair level: down at once, up slowly, so that small variations of the fair level don't lower
served tokens again and again.
*/
function updateReferenceLevel(gateway: Gateway, pool: string, level: number) {
	const reference = gateway.fairLevelReferences.get(pool) ?? Number.POSITIVE_INFINITY;
	if (level < reference) {
		for (const usage of gateway.usages.group(pool)) {
			lowerServedTokens(usage, level, reference);
		}
	}

	gateway.fairLevelReferences.set(pool, level === Number.POSITIVE_INFINITY ? level : Math.min(level, reference * referenceRiseFactor));
}

/** Recomputes the fair level of each pool that has usage. */
export function fairLevelsSystem(gateway: Gateway) {
	if (!startPeriodIfDue(gateway, 'levels', fairLevelPeriodMs)) {
		return;
	}

	gateway.fairLevels.clear();
	for (const pool of gateway.usages.groups()) {
		const level = computeFairLevel(gateway, pool);
		gateway.fairLevels.set(pool, level);
		updateReferenceLevel(gateway, pool, level);
	}
}

/** Whether the workspace of a call has been served more than the fair level, while the capacity doesn't meet all demands. */
export function isAboveFairLevel(gateway: Gateway, {pool, workspace}: Call): boolean {
	const level = gateway.fairLevels.get(pool) ?? Number.POSITIVE_INFINITY;
	return level !== Number.POSITIVE_INFINITY && getServedTokens(gateway, pool, workspace) > level;
}
