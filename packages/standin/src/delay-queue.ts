/*
FIFO queues whose chunks are each delivered at a due time. All queues share one scheduler: it sleeps on a timer while the
next chunk is due later than a timer can resolve, and polls through the event loop (`setImmediate`) for the rest of the
wait, so that delays are accurate to a fraction of a millisecond.
*/

/** A chunk of bytes, or undefined for the end of the stream. */
export type QueuedChunk = Uint8Array | undefined;

export type DelayQueue = {
	/** Adds a chunk that is due at a time of `performance.now()`; it never overtakes the one before. */
	add(chunk: QueuedChunk, dueAt: number): void;
	/** Pauses or resumes delivery. */
	setPaused(paused: boolean): void;
	/** Calls back once the queue is empty; at once when it is. */
	onceEmpty(callback: () => void): void;
	clear(): void;
};

export type DelayQueueOptions = {
	/** Whether the queue starts paused. */
	isPaused: boolean;
	onDue: (chunks: QueuedChunk[]) => void;
};

type ScheduledQueue = {getNextDueAt(): number; flush(now: number): void};

/** Longest wait that polls the event loop in place of a timer; longer polling occupies a processor under steady traffic. */
const maxPollMs = 0.4;

/** Creates an empty queue. */
export function createDelayQueue({isPaused: startsPaused, onDue}: DelayQueueOptions): DelayQueue {
	let entries: Array<{chunk: QueuedChunk; dueAt: number}> = [];
	let isPaused = startsPaused;
	let onEmpty: (() => void) | undefined;

	const scheduled: ScheduledQueue = {
		getNextDueAt: () => isPaused ? Number.POSITIVE_INFINITY : (entries[0]?.dueAt ?? Number.POSITIVE_INFINITY),
		flush(now) {
			let due = 0;
			while (due < entries.length && entries[due]!.dueAt <= now) {
				due++;
			}

			if (due > 0 && !isPaused) {
				onDue(entries.splice(0, due).map(entry => entry.chunk));
			}

			if (entries.length === 0) {
				schedule.delete(scheduled);
				onEmpty?.();
				onEmpty = undefined;
			}
		},
	};

	return {
		add(chunk, dueAt) {
			entries.push({chunk, dueAt: Math.max(dueAt, entries.at(-1)?.dueAt ?? 0)});
			schedule.add(scheduled);
			scheduleFlush(scheduled.getNextDueAt());
		},
		setPaused(paused) {
			isPaused = paused;
			scheduleFlush(scheduled.getNextDueAt());
		},
		onceEmpty(callback) {
			onEmpty = callback;
			if (entries.length === 0) {
				scheduled.flush(performance.now());
			}
		},
		clear() {
			entries = [];
			schedule.delete(scheduled);
		},
	};
}

const schedule = new Set<ScheduledQueue>();
let timer: NodeJS.Timeout | undefined;
/** Time of the next flush that is scheduled. */
let flushAt = Number.POSITIVE_INFINITY;

/** Schedules a flush for the time, unless one is scheduled before it. */
function scheduleFlush(dueAt: number) {
	if (dueAt >= flushAt) {
		return;
	}

	flushAt = dueAt;
	clearTimeout(timer);
	const waitMs = dueAt - performance.now();
	if (waitMs > maxPollMs) {
		timer = setTimeout(flushAll, Math.max(1, Math.floor(waitMs)));
	} else {
		timer = undefined;
		setImmediate(flushAll);
	}
}

function flushAll() {
	flushAt = Number.POSITIVE_INFINITY;
	const now = performance.now();
	let next = Number.POSITIVE_INFINITY;
	for (const queue of schedule) {
		if (queue.getNextDueAt() <= now) {
			queue.flush(now);
		}

		next = Math.min(next, queue.getNextDueAt());
	}

	scheduleFlush(next);
}
