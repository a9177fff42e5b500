/*
Splits a stream into complete server-sent events, so that a caller never receives part of one. An event ends with an empty
line. Each byte is searched once, and one that arrives before the end of its event is copied a bounded number of times, however small the
pieces of the stream are.
*/
import type {Buffer} from 'node:buffer';
import {createByteBuffer} from '../byte-buffer.ts';

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

/** What the bytes before the next one end with. */
enum Position {
	InLine,
	AfterLineFeed,
	/** After a line feed and a carriage return, which with another line feed are an empty line. */
	AfterCarriageReturn,
}

export function createEventBuffer(): EventBuffer {
	const partial = createByteBuffer();
	let position = Position.InLine;

	/** Returns the offset after the end of the first event that ends in the chunk at or after an offset; -1 when none does. */
	function findEventEnd(chunk: Buffer, start: number): number {
		let offset = start;
		while (offset < chunk.length) {
			if (position === Position.InLine) {
				const next = chunk.indexOf(lineFeed, offset);
				if (next === -1) {
					return -1;
				}

				position = Position.AfterLineFeed;
				offset = next + 1;
				continue;
			}

			const byte = chunk[offset];
			offset += 1;
			if (byte === lineFeed) {
				position = Position.InLine;
				return offset;
			}

			position = byte === carriageReturn && position === Position.AfterLineFeed ? Position.AfterCarriageReturn : Position.InLine;
		}

		return -1;
	}

	return {
		push(chunk) {
			const events: Buffer[] = [];
			let start = 0;
			for (let end = findEventEnd(chunk, 0); end !== -1; end = findEventEnd(chunk, start)) {
				partial.append(chunk.subarray(start, end));
				events.push(partial.take());
				start = end;
			}

			if (start < chunk.length) {
				partial.append(chunk.subarray(start));
			}

			return events;
		},
		get hasPartialEvent() {
			return partial.length > 0;
		},
		get partialEventBytes() {
			return partial.length;
		},
	};
}
