/*
Max-min shares of a pool. Every instance hears what the workspaces have asked for and used everywhere, fills the pool's
capacity up to one level, and lets no workspace that is above the level start a call while others ask too. So a workspace gets
its share also where its callers all use one instance, and nothing is withheld while there is enough for all.
*/
import {second} from '../units.ts';
import {startPeriodIfDue} from '../world.ts';
import {isEnginePool, type Gateway} from './gateway.ts';
import type {Call, Usage} from './rows.ts';
import {fade, usedBy} from './usage.ts';

/** Period at which levels are reckoned anew, in milliseconds. */
const levelMs = 100;

/** Capacity of a pool that has places left, as a factor of what started there of late: more, so that the level can rise. */
const growth = 1.1;

/** The same for a pool of engines that were all full within the window of shares: less, since each request slows the others. */
const shrinkage = 0.85;

/** Part of a level that falls to which past use is lowered: below 1, so that starts go on at the rate of the share. */
const pastPart = 0.95;

/** Factor by which the level against which use is measured follows a rising level, each time that levels are reckoned. */
const referenceRise = 1.03;

/**
The level up to which demands are met from a capacity when none gets more than the others while one lacks.

@returns Infinity when all can be met.
*/
export function waterLevel(demands: number[], capacity: number): number {
	let left = capacity;
	const sorted = demands.toSorted((a, b) => a - b);
	for (const [index, demand] of sorted.entries()) {
		const part = left / (sorted.length - index);
		if (demand > part) {
			return part;
		}

		left -= demand;
	}

	return Number.POSITIVE_INFINITY;
}

/** Whether all targets of a pool were full of late, as seen here. */
function wasFull({fullAt, now, limits}: Gateway, pool: string): boolean {
	return now - (fullAt.get(pool) ?? Number.NEGATIVE_INFINITY) < limits.shareWindowMs;
}

/** Weighted tokens that a pool is taken to serve over the window of shares. */
function capacityOf(gateway: Gateway, pool: string, usages: Usage[]): number {
	const started = usages.reduce((sum, {ownStarted, remoteStarted}) => sum + ownStarted + remoteStarted, 0);
	if (!isEnginePool(gateway, pool)) {
		return started * growth;
	}

	const known = (gateway.catalogue?.tokensPerSecond ?? 0) * gateway.limits.shareWindowMs / second;
	return Math.max(known, started * (wasFull(gateway, pool) ? shrinkage : growth));
}

function levelOf(gateway: Gateway, pool: string): number {
	const usages = [...gateway.usages.group(pool)];
	for (const usage of usages) {
		fade(gateway, usage);
	}

	const level = waterLevel(usages.map(({ownAsked, remoteAsked}) => ownAsked + remoteAsked), capacityOf(gateway, pool, usages));
	return usages.length > 1 ? level : Number.POSITIVE_INFINITY;
}

/**
Lowers use along with a level that has fallen, to just below it at most. What a workspace used while there was more for each
would otherwise keep it from its share for seconds: one whose callers all use one instance in particular, since others start
calls at several instances before these hear of each other.
*/
function lowerUse(usage: Usage, level: number, reference: number) {
	const used = usage.own + usage.remote;
	const left = Math.max(Math.min(used, level * pastPart), used * level / reference);
	if (left < used) {
		usage.own *= left / used;
		usage.remote *= left / used;
	}
}

/** Follows a level: down at once, up slowly, so that use isn't lowered again and again under a level that varies a little. */
function updateReference(gateway: Gateway, pool: string, level: number) {
	const reference = gateway.levelReferences.get(pool) ?? Number.POSITIVE_INFINITY;
	if (level < reference) {
		for (const usage of gateway.usages.group(pool)) {
			lowerUse(usage, level, reference);
		}
	}

	gateway.levelReferences.set(pool, level === Number.POSITIVE_INFINITY ? level : Math.min(level, reference * referenceRise));
}

/** Reckons the level of each pool that is in use. */
export function levelsSystem(gateway: Gateway) {
	if (!startPeriodIfDue(gateway, 'levels', levelMs)) {
		return;
	}

	gateway.levels.clear();
	for (const pool of gateway.usages.groups()) {
		const level = levelOf(gateway, pool);
		gateway.levels.set(pool, level);
		updateReference(gateway, pool, level);
	}
}

/** Whether the workspace of a call has its share of the pool, while others lack theirs. */
export function hasItsShare(gateway: Gateway, {pool, workspace}: Call): boolean {
	const level = gateway.levels.get(pool) ?? Number.POSITIVE_INFINITY;
	return level !== Number.POSITIVE_INFINITY && usedBy(gateway, pool, workspace) > level;
}
