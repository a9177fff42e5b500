/*
Concurrency limit of engines, by additive increase and multiplicative decrease on the times to first byte. An engine
prefills prompts between the tokens of the streams that it generates: beyond some load each new prompt slows all
streams, so that streams accumulate and their memory evicts cached prompt segments. Calls beyond the limit wait at the
router, where fair shares are enforced, or are refused early. There is one limit per pool, since its engines are alike and an
instance sees only a few answers per second of each. All instances use the mean of their limits, since otherwise the
one with the highest would take every slot.
*/
import type {PoolEntry} from '../messages.ts';
import {getOrCreatePoolEstimates, hasRecentDigest, type Gateway} from './gateway.ts';
import type {Call, PoolTarget} from './rows.ts';

/** Limit before the first sample, as a fraction of an engine's slots. */
const initialSlotFraction = 0.5;

/** Fraction of a route's objective after which a first byte is late: the path to the caller and the queue take the rest. */
const lateFraction = 0.7;

/** Factor by which a late first byte lowers the limit. */
const decreaseFactor = 0.95;

/** Requests by which a timely answer raises the limit; with `decreaseFactor`, it settles where about one in five is late. */
const increaseStep = 0.3;

/** Fraction of the limit that must be in use for a timely answer to raise it. */
const minUsedFraction = 0.7;

/** Minimum limit, in requests: below it an engine is mostly idle between prompts. */
const minLimit = 6;

/** Digests carry limits as integers, in units of 1/100 request. */
const limitScale = 100;

/** Maximum number of requests at once at an engine. */
export function getEngineLimit(gateway: Gateway, {pool, slots}: PoolTarget): number {
	const {concurrencyLimit} = getOrCreatePoolEstimates(gateway, pool);
	return Math.min(slots, concurrencyLimit === 0 ? slots * initialSlotFraction : concurrencyLimit);
}

/** Creates the pool entries of this instance's digests, which carry its limits in `budget`. */
export function createPoolEntries(gateway: Gateway): PoolEntry[] {
	return [...gateway.poolEstimates.rows()].filter(({concurrencyLimit}) => concurrencyLimit > 0).map(({pool, concurrencyLimit}) => ({
		pool, free: 0, budget: Math.round(concurrencyLimit * limitScale), waiting: 0, frontier: -1,
	}));
}

/** Sets each limit to the mean of this instance's and those in the recent digests of the others. */
export function averageLimits(gateway: Gateway) {
	for (const estimates of gateway.poolEstimates.rows()) {
		const limits = estimates.concurrencyLimit > 0 ? [estimates.concurrencyLimit] : [];
		for (const instance of gateway.instances.rows()) {
			const entry = hasRecentDigest(gateway, instance) ? instance.pools.find(({pool, budget}) => pool === estimates.pool && budget > 0) : undefined;
			if (entry) {
				limits.push(entry.budget / limitScale);
			}
		}

		if (limits.length > 0) {
			estimates.concurrencyLimit = limits.reduce((sum, limit) => sum + limit, 0) / limits.length;
		}
	}
}

/** Adjusts the limit of a pool by the time to first byte of one of its calls. */
export function adjustLimit(gateway: Gateway, call: Call, target: PoolTarget, load: number) {
	const estimates = getOrCreatePoolEstimates(gateway, call.pool);
	const limit = getEngineLimit(gateway, target);
	const isLate = gateway.now - call.sentAt > call.route.objectiveMs * lateFraction;
	if (isLate) {
		estimates.concurrencyLimit = Math.max(minLimit, limit * decreaseFactor);
	} else if (load >= limit * minUsedFraction) {
		estimates.concurrencyLimit = Math.min(target.slots, limit + increaseStep);
	}
}
