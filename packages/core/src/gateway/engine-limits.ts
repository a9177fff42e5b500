/*
The number of requests at once at an engine, found by additive increase and multiplicative decrease on the times to first
byte. An engine reads prompts between the tokens of the streams that it generates: beyond some load each new prompt slows all
streams, they pile up, and their memory displaces the parts of prompts that it keeps. Callers beyond the limit wait at the
router, where shares are kept, or are refused early. One limit a pool, since its engines are alike and an instance sees
only a few answers a second of each.
*/
import {paceOf, type Gateway} from './gateway.ts';
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

/** Most requests at once at an engine. */
export function engineLimit(gateway: Gateway, {pool, slots}: PoolTarget): number {
	const {limit} = paceOf(gateway, pool);
	return Math.min(slots, limit === 0 ? slots * firstPart : limit);
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
