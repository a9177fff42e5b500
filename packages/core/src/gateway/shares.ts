/*
Max-min shares of a pool. Every instance hears what the workspaces have asked for and used everywhere, fills the pool's
capacity up to one level, and lets no workspace that is above the level start a call while others ask too. So a workspace gets
its share also where its callers all use one instance, and nothing is withheld while there is enough for all.
*/
import {second} from '../units.ts';
import {due} from '../world.ts';
import type {Gateway} from './gateway.ts';
import type {Call, Usage} from './rows.ts';
import {usedBy} from './usage.ts';

/** Period at which levels are reckoned anew, in milliseconds. */
const levelMs = 100;

/** How much more than it served of late a pool is taken to serve, so that the level can rise. */
const growth = 1.1;

/** How far above the level the use of a workspace counts. */
const debt = 1.1;

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

function levelOf(gateway: Gateway, pool: string): number {
	const usages = [...gateway.usages.group(pool)];
	const used = usages.reduce((sum, {own, remote}) => sum + own + remote, 0);
	const isEngine = gateway.catalogue?.pools.get(pool)?.isEngine ?? false;
	const known = isEngine ? (gateway.catalogue?.tokensPerSecond ?? 0) * gateway.limits.shareWindowMs / second : 0;
	const level = waterLevel(usages.map(({ownAsked, remoteAsked}) => ownAsked + remoteAsked), Math.max(known, used * growth));
	return usages.length > 1 ? level : Number.POSITIVE_INFINITY;
}

/**
Forgives what a workspace has used above the level: it dates from when there was enough for all, and to make up for it the
workspace would get nothing for seconds.
*/
function forgive(usage: Usage, level: number) {
	const most = level * debt;
	const used = usage.own + usage.remote;
	if (used > most) {
		usage.own *= most / used;
		usage.remote *= most / used;
	}
}

/** Reckons the level of each pool that is in use. */
export function levelsSystem(gateway: Gateway) {
	if (!due(gateway, 'levels', levelMs)) {
		return;
	}

	gateway.levels.clear();
	for (const pool of gateway.usages.groups()) {
		const level = levelOf(gateway, pool);
		gateway.levels.set(pool, level);
		for (const usage of gateway.usages.group(pool)) {
			forgive(usage, level);
		}
	}
}

/** Whether the workspace of a call has its share of the pool, while others lack theirs. */
export function hasItsShare(gateway: Gateway, {pool, workspace}: Call): boolean {
	const level = gateway.levels.get(pool) ?? Number.POSITIVE_INFINITY;
	return level !== Number.POSITIVE_INFINITY && usedBy(gateway, pool, workspace) > level;
}
