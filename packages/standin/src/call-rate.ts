/*
Rate limiter and call counter of the platform stand-in. The limiter is a token bucket whose capacity is one second of calls.
*/

export type RateLimiter = {
	/** Consumes one token; false when the bucket has none. */
	tryAcquire(): boolean;
};

/** Creates a limiter with a full bucket; `now` is in milliseconds. */
export function createRateLimiter(callsPerSecond: number, now: () => number): RateLimiter {
	let tokens = callsPerSecond;
	let refilledAt = now();
	return {
		tryAcquire() {
			const at = now();
			tokens = Math.min(callsPerSecond, tokens + ((at - refilledAt) * callsPerSecond / 1000));
			refilledAt = at;
			if (tokens < 1) {
				return false;
			}

			tokens--;
			return true;
		},
	};
}

/** Calls within one second; `second` is the number of whole seconds since the stand-in was created. */
export type CallCounts = {second: number; reads: number; writes: number};

export type CallCounter = {
	increment(kind: 'reads' | 'writes'): void;
	getTotals(): {reads: number; writes: number};
	/** The most recent seconds that had at least one call, oldest first. */
	getSeconds(): CallCounts[];
};

const maxSeconds = 900;

/** Creates a counter with totals and counts by second. */
export function createCallCounter(now: () => number): CallCounter {
	const startedAt = now();
	const totals = {reads: 0, writes: 0};
	const seconds: CallCounts[] = [];

	function getOrCreateCurrentSecond(): CallCounts {
		const second = Math.floor((now() - startedAt) / 1000);
		const last = seconds.at(-1);
		if (last?.second === second) {
			return last;
		}

		const row = {second, reads: 0, writes: 0};
		seconds.push(row);
		if (seconds.length > maxSeconds) {
			seconds.shift();
		}

		return row;
	}

	return {
		increment(kind) {
			totals[kind]++;
			getOrCreateCurrentSecond()[kind]++;
		},
		getTotals: () => ({...totals}),
		getSeconds: () => seconds.map(row => ({...row})),
	};
}
