/*
Rate limit and count of calls. The limit is a token bucket that holds one second of calls.
*/

export type RateLimit = {
	/** Takes one call out of the bucket; false when it is empty. */
	take(): boolean;
};

/** Creates a full bucket; `now` is in milliseconds. */
export function createRateLimit(callsPerSecond: number, now: () => number): RateLimit {
	let left = callsPerSecond;
	let filledAt = now();
	return {
		take() {
			const at = now();
			left = Math.min(callsPerSecond, left + ((at - filledAt) * callsPerSecond / 1000));
			filledAt = at;
			if (left < 1) {
				return false;
			}

			left--;
			return true;
		},
	};
}

/** Calls of one second; `second` counts from the start of the stand-in. */
export type SecondOfCalls = {second: number; reads: number; writes: number};

export type CallCounter = {
	count(kind: 'reads' | 'writes'): void;
	totals(): {reads: number; writes: number};
	/** The last seconds that had a call. */
	seconds(): SecondOfCalls[];
};

const keptSeconds = 900;

/** Creates a counter of calls by second. */
export function createCallCounter(now: () => number): CallCounter {
	const startedAt = now();
	const totals = {reads: 0, writes: 0};
	const seconds: SecondOfCalls[] = [];

	function current(): SecondOfCalls {
		const second = Math.floor((now() - startedAt) / 1000);
		const last = seconds.at(-1);
		if (last?.second === second) {
			return last;
		}

		const row = {second, reads: 0, writes: 0};
		seconds.push(row);
		if (seconds.length > keptSeconds) {
			seconds.shift();
		}

		return row;
	}

	return {
		count(kind) {
			totals[kind]++;
			current()[kind]++;
		},
		totals: () => ({...totals}),
		seconds: () => seconds.map(row => ({...row})),
	};
}
