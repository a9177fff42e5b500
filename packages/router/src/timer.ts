/*
The timer service: one timer for the process, to which parts subscribe with their period. Parts read the time from it, so
that tests hand them a clock of their own.
*/

export type Timer = {
	/** Monotonic time in milliseconds. */
	now(): number;
	/** Calls `run` each `periodMs`, until the returned function is called. */
	subscribe(periodMs: number, run: (now: number) => void): () => void;
	stop(): void;
};

export type TimerOptions = {
	now?: () => number;
	/** Finest period, in milliseconds. */
	resolutionMs?: number;
};

export const defaultTimerOptions = {
	now: () => performance.now(),
	resolutionMs: 10,
} satisfies TimerOptions;

type Subscription = {periodMs: number; dueAt: number; run: (now: number) => void};

/** Starts the timer service. */
export function createTimer(options: TimerOptions = {}): Timer {
	const {now, resolutionMs} = {...defaultTimerOptions, ...options};
	const subscriptions = new Set<Subscription>();

	function runDue() {
		const currentTime = now();
		for (const subscription of subscriptions) {
			if (currentTime >= subscription.dueAt) {
				// A late beat doesn't make up for the ones that it missed.
				subscription.dueAt = currentTime + subscription.periodMs;
				subscription.run(currentTime);
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
