/*
Detects that the event loop stood still: the process was paused, starved of processor time, or busy with one long task.
*/
import type {Timer} from './timer.ts';

export type LoopStalls = {
	/** Whether the loop stands behind, or stood still so recently that input from that time may still be unread. */
	isRecovering(): boolean;
	stop(): void;
};

export type LoopStallsOptions = {
	timer: Timer;
	/** Interval at which the timer is expected to run, in milliseconds. */
	tickMs: number;
	/** Time without a turn of the loop that counts as a stall, in milliseconds. */
	stallMs?: number;
	/** Time after a stall within which input may date from it, in milliseconds. */
	recoveryMs?: number;
	/** Called at the end of a stall with its length in milliseconds, before the input of that time is read. */
	onStall?: (ms: number) => void;
};

export const defaultLoopStallsOptions = {stallMs: 100, recoveryMs: 300} satisfies Partial<LoopStallsOptions>;

export function createLoopStalls(options: LoopStallsOptions): LoopStalls {
	const {
		timer, tickMs, stallMs, recoveryMs, onStall,
	} = {...defaultLoopStallsOptions, ...options};
	let lastTurnAt = timer.now();
	let lastStallEndedAt = Number.NEGATIVE_INFINITY;

	const unsubscribe = timer.subscribe(tickMs, now => {
		if (now - lastTurnAt > tickMs + stallMs) {
			lastStallEndedAt = now;
			onStall?.(now - lastTurnAt - tickMs);
		}

		lastTurnAt = now;
	});

	return {
		isRecovering() {
			const now = timer.now();
			// The second condition holds while input is handled before the timer has run again.
			return now - lastStallEndedAt < recoveryMs || now - lastTurnAt > tickMs + stallMs;
		},
		stop: unsubscribe,
	};
}

/** Calls `run` after the event loop has polled for input once more. */
export function runAfterNextPoll(run: () => void) {
	// The first immediate runs in this turn, before the poll; the second one after it.
	setImmediate(() => {
		setImmediate(run);
	});
}
