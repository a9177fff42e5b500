/*
Events of a simulation in the order of their time; those of one time in the order in which they were added.
*/

export type EventQueue = {
	/** Time of the event that runs, in milliseconds. */
	readonly now: number;
	/** Runs `run` after a delay in milliseconds. */
	after(delayMs: number, run: () => void): void;
	/** Runs all events up to a time. */
	runUntil(time: number): void;
};

type Entry = {at: number; order: number; run: () => void};

function isBefore(a: Entry, b: Entry): boolean {
	return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/** Creates an empty queue at time 0. */
export function createEventQueue(): EventQueue {
	/** A binary heap: the children of entry n are 2n + 1 and 2n + 2, none before it. */
	const heap: Entry[] = [];
	let now = 0;
	let order = 0;

	function add(entry: Entry) {
		let index = heap.length;
		heap.push(entry);
		while (index > 0) {
			const parent = (index - 1) >> 1; // eslint-disable-line no-bitwise
			if (!isBefore(entry, heap[parent]!)) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = entry;
	}

	function takeFirst(): Entry {
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
		after(delayMs, run) {
			order += 1;
			add({at: now + delayMs, order, run});
		},
		runUntil(time) {
			while (heap.length > 0 && heap[0]!.at <= time) {
				const {at, run} = takeFirst();
				now = at;
				run();
			}

			now = time;
		},
	};
}
