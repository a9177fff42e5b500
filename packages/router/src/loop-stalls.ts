/*
Watches the event loop: whether it stood still, and how busy it is.
*/
import type {Timer} from './timer.ts';

export type StallWatchOptions = {
	timer: Timer;
	/** Interval at which the timer is expected to run, in milliseconds. */
	tickMs: number;
	/** Time without a turn of the loop that counts as a stall, in milliseconds. */
	stallMs?: number;
	/** Called at the end of a stall with its length in milliseconds, before the input of that time is read. */
	onStall: (ms: number) => void;
};

export const defaultStallWatchOptions = {stallMs: 100} satisfies Partial<StallWatchOptions>;

export type StallWatch = {
	/** Time since which the event loop may not have polled: a signal or request that is handled now may have arrived then. */
	getPolledAt(): number;
	stop(): void;
};

/** Reports the stalls of the event loop until it is stopped. */
export function watchStalls(options: StallWatchOptions): StallWatch {
	const {
		timer, tickMs, stallMs, onStall,
	} = {...defaultStallWatchOptions, ...options};
	let lastTurnAt = timer.now();
	let polledAt = timer.now();
	const stop = timer.subscribe(tickMs, now => {
		const lateMs = now - lastTurnAt - tickMs;
		lastTurnAt = now;
		// An immediate runs after the poll of this turn.
		setImmediate(() => {
			polledAt = timer.now();
		});
		if (lateMs > stallMs) {
			onStall(lateMs);
		}
	});
	return {getPolledAt: () => polledAt, stop};
}

/** Interval at which the use of the processor is measured, in milliseconds. */
const useMs = 1000;

/** Calls `onUse` each second with the fraction of it in which the event loop was busy, until the returned function is called. */
export function watchProcessorUse(timer: Timer, onUse: (fraction: number) => void): () => void {
	let last = performance.eventLoopUtilization();
	return timer.subscribe(useMs, () => {
		const current = performance.eventLoopUtilization();
		onUse(performance.eventLoopUtilization(current, last).utilization);
		last = current;
	});
}

/** Calls `run` after the event loop has polled for input once more. */
export function runAfterNextPoll(run: () => void) {
	// The first immediate runs in this turn, before the poll; the second one after it.
	setImmediate(() => {
		setImmediate(run);
	});
}
