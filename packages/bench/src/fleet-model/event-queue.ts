/*
Event queue of a simulation. Events run in order of their time; events of the same time run in order of insertion.
*/

export type EventQueue = {
	/** Simulated time, in milliseconds: that of the event that is running. */
	readonly now: number;
	/** Runs a function after a delay, in milliseconds. */
	schedule(delayMs: number, run: () => void): void;
	/** Runs all events up to and including a time, and advances `now` to it. */
	runUntil(time: number): void;
};

type QueuedEvent = {at: number; insertionOrder: number; run: () => void};

function isBefore(a: QueuedEvent, b: QueuedEvent): boolean {
	return a.at < b.at || (a.at === b.at && a.insertionOrder < b.insertionOrder);
}

/** Creates an empty queue at time 0. */
export function createEventQueue(): EventQueue {
	/** Binary min-heap: the children of the event at index n are at 2n + 1 and 2n + 2, and neither is due before it. */
	const heap: QueuedEvent[] = [];
	let now = 0;
	let insertionOrder = 0;

	function insert(event: QueuedEvent) {
		let index = heap.length;
		heap.push(event);
		while (index > 0) {
			const parent = (index - 1) >> 1; // eslint-disable-line no-bitwise
			if (!isBefore(event, heap[parent]!)) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = event;
	}

	function removeFirst(): QueuedEvent {
		const first = heap[0]!;
		const last = heap.pop()!;
		if (heap.length === 0) {
			return first;
		}

		let index = 0;
		for (;;) {
			let child = (2 * index) + 1;
			if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
				child += 1;
			}

			if (child >= heap.length || !isBefore(heap[child]!, last)) {
				break;
			}

			heap[index] = heap[child]!;
			index = child;
		}

		heap[index] = last;
		return first;
	}

	return {
		get now() {
			return now;
		},
		schedule(delayMs, run) {
			insertionOrder += 1;
			insert({at: now + delayMs, insertionOrder, run});
		},
		runUntil(time) {
			while (heap.length > 0 && heap[0]!.at <= time) {
				const {at, run} = removeFirst();
				now = at;
				run();
			}

			now = time;
		},
	};
}
