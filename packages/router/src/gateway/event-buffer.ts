/*
Splits a stream into complete server-sent events, so that a caller never receives part of one. An event ends with an empty
line.
*/
import {Buffer} from 'node:buffer';

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

export type EventBuffer = {
	/** Whether part of an event is buffered. */
	readonly hasPartialEvent: boolean;
	/** Length of that part, in bytes. */
	readonly partialEventBytes: number;
	/** Appends bytes and returns the events that they complete. */
	push(chunk: Buffer): Buffer[];
};

export function createEventBuffer(): EventBuffer {
	let pending: Buffer = Buffer.alloc(0);
	/** Number of pending bytes that were searched already and in which no event ends. */
	let scannedBytes = 0;

	/** Offset after the first complete event in the pending bytes; -1 when there is none. */
	function findEventEnd(): number {
		for (let index = scannedBytes; index < pending.length; index += 1) {
			if (pending[index] !== lineFeed) {
				continue;
			}

			const next = pending[index + 1] === carriageReturn ? index + 2 : index + 1;
			if (pending[next] === lineFeed) {
				return next + 1;
			}
		}

		return -1;
	}

	return {
		push(chunk) {
			pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
			const events: Buffer[] = [];
			for (let end = findEventEnd(); end !== -1; end = findEventEnd()) {
				events.push(pending.subarray(0, end));
				pending = pending.subarray(end);
				scannedBytes = 0;
			}

			// The end of an event may straddle two chunks: up to two of its bytes may already be here.
			scannedBytes = Math.max(0, pending.length - 2);
			return events;
		},
		get hasPartialEvent() {
			return pending.length > 0;
		},
		get partialEventBytes() {
			return pending.length;
		},
	};
}
