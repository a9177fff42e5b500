/*
Counts the sends to each pool over a sliding window, and limits retries: the sends after the first one of each call.
The retry budget of the fleet is a fraction of its calls, which each instance can apply to its own, and a constant, of
which the primary instances share most and the others the rest.
*/
import {second} from '../units.ts';
import type {Gateway} from './gateway.ts';
import type {SendCount} from './rows.ts';
import {getLimitHolders} from './serving-set.ts';

/** Number of slices that a retry window is counted in. */
const slicesPerWindow = 10;

/** Slices over which the start rate is measured: two, so that it never depends only on one that has just begun. */
const rateSlices = 2;

/** Minimum time over which the start rate is measured, in milliseconds. */
const minRateWindowMs = 200;

function getOrCreateCurrentSlice(gateway: Gateway, pool: string): SendCount {
	const {limits: {retryWindowMs}, now, sendCounts} = gateway;
	const counts = sendCounts.get(pool) ?? [];
	sendCounts.set(pool, counts);
	while (counts.length > 0 && counts[0]!.startedAt <= now - retryWindowMs - (retryWindowMs / slicesPerWindow)) {
		counts.shift();
	}

	const last = counts.at(-1);
	if (last && now - last.startedAt < retryWindowMs / slicesPerWindow) {
		return last;
	}

	const slice: SendCount = {
		startedAt: now, calls: 0, firstSends: 0, resends: 0,
	};
	counts.push(slice);
	return slice;
}

export function recordCall(gateway: Gateway, pool: string) {
	getOrCreateCurrentSlice(gateway, pool).calls += 1;
}

/** Records the first send of a call. */
export function recordFirstSend(gateway: Gateway, pool: string) {
	getOrCreateCurrentSlice(gateway, pool).firstSends += 1;
}

/** Computes the recent rate of first sends, in calls per second; 0 before the first. */
export function computeStartRate(gateway: Gateway, pool: string): number {
	getOrCreateCurrentSlice(gateway, pool);
	const recent = gateway.sendCounts.get(pool)!.slice(-rateSlices);
	const ageMs = Math.max(minRateWindowMs, gateway.now - recent[0]!.startedAt);
	return recent.reduce((sum, {firstSends}) => sum + firstSends, 0) * second / ageMs;
}

/** Fraction of the constant part of the budget that is split among the instances that stand by. */
const standbyExtraFraction = 0.2;

/** Computes this instance's share of the constant part of the retry budget. */
function computeExtraShare(gateway: Gateway): number {
	const {holders, isHolder} = getLimitHolders(gateway);
	const {extraRetries} = gateway.limits;
	const standbyCount = gateway.instances.size - holders.length;
	if (standbyCount <= 0) {
		return extraRetries / Math.max(1, holders.length);
	}

	return isHolder ? extraRetries * (1 - standbyExtraFraction) / holders.length : extraRetries * standbyExtraFraction / standbyCount;
}

/** Spends one retry of the budget; returns false when none is left. */
export function trySpendRetry(gateway: Gateway, pool: string): boolean {
	const {retryRatio, extraRetries, retryBudgetFraction} = gateway.limits;
	const slice = getOrCreateCurrentSlice(gateway, pool);
	let calls = 0;
	let resends = 0;
	for (const count of gateway.sendCounts.get(pool) ?? []) {
		calls += count.calls;
		resends += count.resends;
	}

	const extraShare = computeExtraShare(gateway);
	if (resends + 1 > retryBudgetFraction * ((calls * retryRatio) + extraShare)) {
		return false;
	}

	slice.resends += 1;
	return true;
}
