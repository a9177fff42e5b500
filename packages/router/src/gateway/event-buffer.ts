/*
Cuts a stream into whole events, so that a caller never gets part of one. An event ends with an empty line.
*/
import {Buffer} from 'node:buffer';

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

export type EventBuffer = {
	/** Whether part of an event has arrived. */
	readonly isPartial: boolean;
	/** Adds bytes and returns the events that are now whole. */
	push(chunk: Buffer): Buffer[];
};

/** Creates an empty buffer. */
export function createEventBuffer(): EventBuffer {
	let rest: Buffer = Buffer.alloc(0);
	/** Bytes of the rest in which no event ends. */
	let scanned = 0;

	/** End of the first event from `start` on; -1 when none is whole. */
	function endOfEvent(): number {
		for (let index = scanned; index < rest.length; index += 1) {
			if (rest[index] !== lineFeed) {
				continue;
			}

			const next = rest[index + 1] === carriageReturn ? index + 2 : index + 1;
			if (rest[next] === lineFeed) {
				return next + 1;
			}
		}

		return -1;
	}

	return {
		push(chunk) {
			rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
			const events: Buffer[] = [];
			for (let end = endOfEvent(); end !== -1; end = endOfEvent()) {
				events.push(rest.subarray(0, end));
				rest = rest.subarray(end);
				scanned = 0;
			}

			// The end of an event may straddle two chunks by up to two bytes.
			scanned = Math.max(0, rest.length - 2);
			return events;
		},
		get isPartial() {
			return rest.length > 0;
		},
	};
}
