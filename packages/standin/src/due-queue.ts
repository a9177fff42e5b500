/*
Chunks in order, each with the time at which it is due. All queues share one schedule: it sleeps with a timer while the
next chunk is more than a timer's accuracy away, and turns the event loop for the rest, so that delays are accurate to a
fraction of a millisecond.
*/

/** A chunk of bytes, or undefined for the end of the stream. */
export type QueuedChunk = Uint8Array | undefined;

export type DueQueue = {
	/** Adds a chunk that is due at a time of `performance.now()`; it never overtakes the one before. */
	add(chunk: QueuedChunk, dueAt: number): void;
	/** Holds everything back, or lets it go again. */
	hold(held: boolean): void;
	/** Calls back once the queue is empty; at once when it is. */
	afterLast(callback: () => void): void;
	clear(): void;
};

export type DueQueueOptions = {
	held: boolean;
	onDue: (chunks: QueuedChunk[]) => void;
};

type ScheduledQueue = {next(): number; flush(now: number): void};

/** Longest wait that turns the event loop in place of a timer; longer turning costs a processor under steady traffic. */
const longestTurningMs = 0.4;

/** Creates an empty queue. */
export function createDueQueue({held: heldAtFirst, onDue}: DueQueueOptions): DueQueue {
	let entries: Array<{chunk: QueuedChunk; dueAt: number}> = [];
	let held = heldAtFirst;
	let emptied: (() => void) | undefined;

	const scheduled: ScheduledQueue = {
		next: () => held ? Number.POSITIVE_INFINITY : (entries[0]?.dueAt ?? Number.POSITIVE_INFINITY),
		flush(now) {
			let due = 0;
			while (due < entries.length && entries[due]!.dueAt <= now) {
				due++;
			}

			if (due > 0 && !held) {
				onDue(entries.splice(0, due).map(entry => entry.chunk));
			}

			if (entries.length === 0) {
				schedule.delete(scheduled);
				emptied?.();
				emptied = undefined;
			}
		},
	};

	return {
		add(chunk, dueAt) {
			entries.push({chunk, dueAt: Math.max(dueAt, entries.at(-1)?.dueAt ?? 0)});
			schedule.add(scheduled);
			wakeAt(scheduled.next());
		},
		hold(now) {
			held = now;
			wakeAt(scheduled.next());
		},
		afterLast(callback) {
			emptied = callback;
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
/** Time of the next flush that is arranged. */
let flushAt = Number.POSITIVE_INFINITY;

/** Arranges a flush for the time, unless one is arranged before it. */
function wakeAt(dueAt: number) {
	if (dueAt >= flushAt) {
		return;
	}

	flushAt = dueAt;
	clearTimeout(timer);
	const waitMs = dueAt - performance.now();
	if (waitMs > longestTurningMs) {
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
		if (queue.next() <= now) {
			queue.flush(now);
		}

		next = Math.min(next, queue.next());
	}

	wakeAt(next);
}
