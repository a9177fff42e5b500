/*
The retry budget of a pool: what this instance sends beyond the first send of each call, over a sliding window. The fleet's
allowance is a ratio of its calls, which splits by itself, and a constant, of which each member has an equal part.
*/
import type {Gateway} from './gateway.ts';
import type {SendCount} from './rows.ts';

/** Slices in which a window is counted. */
const slices = 10;

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

	const slice: SendCount = {startedAt: now, calls: 0, resends: 0};
	counts.push(slice);
	return slice;
}

/** Counts a call of a pool. */
export function countCall(gateway: Gateway, pool: string) {
	currentSlice(gateway, pool).calls += 1;
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
