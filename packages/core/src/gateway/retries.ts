/*
Counts the sends to each pool, and keeps its retry budget: what this instance sends beyond the first send of each call, over a sliding window. The fleet's
allowance is a ratio of its calls, which splits by itself, and a constant, of which each member has an equal part.
*/
import {second} from '../units.ts';
import type {Gateway} from './gateway.ts';
import type {SendCount} from './rows.ts';

/** Slices in which a window is counted. */
const slices = 10;

/** Slices over which the rate of starts is measured: two, so that it never rests on one that has just begun. */
const rateSlices = 2;

/** Least time over which a rate is measured, in milliseconds. */
const leastRateMs = 200;

function currentSlice(gateway: Gateway, pool: string): SendCount {
	const {limits: {retryWindowMs}, now, sendCounts} = gateway;
	const counts = sendCounts.get(pool) ?? [];
	sendCounts.set(pool, counts);
	while (counts.length > 0 && counts[0]!.startedAt <= now - retryWindowMs - (retryWindowMs / slices)) {
		counts.shift();
	}

	const last = counts.at(-1);
	if (last && now - last.startedAt < retryWindowMs / slices) {
		return last;
	}

	const slice: SendCount = {
		startedAt: now, calls: 0, starts: 0, resends: 0,
	};
	counts.push(slice);
	return slice;
}

/** Counts a call of a pool. */
export function countCall(gateway: Gateway, pool: string) {
	currentSlice(gateway, pool).calls += 1;
}

/** Counts a call that found a place. */
export function countStart(gateway: Gateway, pool: string) {
	currentSlice(gateway, pool).starts += 1;
}

/** Calls a second that found a place of late; 0 before the first. */
export function startRate(gateway: Gateway, pool: string): number {
	currentSlice(gateway, pool);
	const recent = gateway.sendCounts.get(pool)!.slice(-rateSlices);
	const ageMs = Math.max(leastRateMs, gateway.now - recent[0]!.startedAt);
	return recent.reduce((sum, {starts}) => sum + starts, 0) * second / ageMs;
}

/** Spends one retry, or says that none is left. */
export function spendRetry(gateway: Gateway, pool: string): boolean {
	const {retryRatio, retryExtra, retryUse} = gateway.limits;
	const slice = currentSlice(gateway, pool);
	let calls = 0;
	let resends = 0;
	for (const count of gateway.sendCounts.get(pool) ?? []) {
		calls += count.calls;
		resends += count.resends;
	}

	const extra = retryExtra / Math.max(1, gateway.instances.size);
	if (resends + 1 > retryUse * ((calls * retryRatio) + extra)) {
		return false;
	}

	slice.resends += 1;
	return true;
}
