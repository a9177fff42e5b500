/*
The timer service: one timer per process, to which modules subscribe with a period. Modules also read the time from it, so
that tests can supply their own clock.
*/

export type Timer = {
	/** Monotonic time in milliseconds. */
	now(): number;
	/** Calls `run` every `periodMs` until the returned function is called. */
	subscribe(periodMs: number, run: (now: number) => void): () => void;
	stop(): void;
};

export type TimerOptions = {
	now?: () => number;
	/** Interval of the underlying timer: the shortest period that is kept. */
	resolutionMs?: number;
};

export const defaultTimerOptions = {
	now: () => performance.now(),
	resolutionMs: 10,
} satisfies TimerOptions;

type Subscription = {periodMs: number; dueAt: number; run: (now: number) => void};

export function createTimer(options: TimerOptions = {}): Timer {
	const {now, resolutionMs} = {...defaultTimerOptions, ...options};
	const subscriptions = new Set<Subscription>();

	function runDue() {
		const currentTime = now();
		for (const subscription of subscriptions) {
			if (currentTime >= subscription.dueAt) {
				// Missed runs are skipped, not made up for.
				subscription.dueAt = currentTime + subscription.periodMs;
				try {
					subscription.run(currentTime);
				} catch (error) {
					// Nobody owns it here, and the other subscriptions are due all the same.
					queueMicrotask(() => {
						throw error;
					});
				}
			}
		}
	}

	const interval = setInterval(runDue, resolutionMs);
	return {
		now,
		subscribe(periodMs, run) {
			const subscription = {periodMs, dueAt: now() + periodMs, run};
			subscriptions.add(subscription);
			return () => {
				subscriptions.delete(subscription);
			};
		},
		stop() {
			clearInterval(interval);
			subscriptions.clear();
		},
	};
}
