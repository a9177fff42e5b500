/*
The number of requests at once at an engine, found by additive increase and multiplicative decrease on the times to first
byte. An engine reads prompts between the tokens of the streams that it generates: beyond some load each new prompt slows all
streams, they pile up, and their memory displaces the parts of prompts that it keeps. Callers beyond the limit wait at the
router, where shares are kept, or are refused early. One limit a pool, since its engines are alike and an instance sees
only a few answers a second of each; all instances take the mean of theirs, since the one with the highest limit would take
every place.
*/
import type {PoolEntry} from '../messages.ts';
import {paceOf, wasHeard, type Gateway} from './gateway.ts';
import type {Call, PoolTarget} from './rows.ts';

/** Part of an engine's slots that is used before anything was measured. */
const firstPart = 0.5;

/** Part of a route's objective beyond which a first byte counts as late: the caller's own way and the queue take the rest. */
const latePart = 0.7;

const decrease = 0.95;

/** With the decrease, the limit settles where about one answer in five is late. */
const increase = 0.3;

/** Part of the limit that must be in use for a timely answer to raise it. */
const usedPart = 0.7;

/** Least limit: below it an engine is mostly idle between prompts. */
const leastLimit = 6;

/** Digests carry limits as whole numbers of this part of a request. */
const limitScale = 100;

/** Most requests at once at an engine. */
export function engineLimit(gateway: Gateway, {pool, slots}: PoolTarget): number {
	const {limit} = paceOf(gateway, pool);
	return Math.min(slots, limit === 0 ? slots * firstPart : limit);
}

/** Limits of this instance, for its digests. */
export function ownLimits(gateway: Gateway): PoolEntry[] {
	return [...gateway.paces.rows()].filter(({limit}) => limit > 0).map(({pool, limit}) => ({
		pool, free: 0, budget: Math.round(limit * limitScale), waiting: 0, frontier: -1,
	}));
}

/** Moves the limits of this instance to the mean of those that are heard. */
export function shareLimits(gateway: Gateway) {
	for (const pace of gateway.paces.rows()) {
		const known = pace.limit > 0 ? [pace.limit] : [];
		for (const instance of gateway.instances.rows()) {
			const entry = wasHeard(gateway, instance) ? instance.pools.find(({pool, budget}) => pool === pace.pool && budget > 0) : undefined;
			if (entry) {
				known.push(entry.budget / limitScale);
			}
		}

		if (known.length > 0) {
			pace.limit = known.reduce((sum, limit) => sum + limit, 0) / known.length;
		}
	}
}

/** Takes the time to first byte of a call as evidence for the limit of its pool. */
export function adjustLimit(gateway: Gateway, call: Call, target: PoolTarget, load: number) {
	const pace = paceOf(gateway, call.pool);
	const limit = engineLimit(gateway, target);
	const isLate = gateway.now - call.sentAt > call.route.objectiveMs * latePart;
	if (isLate) {
		pace.limit = Math.max(leastLimit, limit * decrease);
	} else if (load >= limit * usedPart) {
		pace.limit = Math.min(target.slots, limit + increase);
	}
}
