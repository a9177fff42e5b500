/*
Growing buffer for bytes that arrive in pieces. Its capacity doubles, so the time and the memory that it takes follow from the number of
bytes and not from the number of pieces, of which a sender may make as many as there are bytes.
*/
import {Buffer} from 'node:buffer';

export type ByteBuffer = {
	/** Number of bytes. */
	readonly length: number;
	append(bytes: Buffer): void;
	/** Removes and returns all bytes. */
	take(): Buffer;
};

const minCapacityBytes = 1024;

/**
Creates an empty buffer. A single piece is returned without a copy.

@param expectedBytes Number of bytes in all, if known: then no more than that is allocated.
*/
export function createByteBuffer(expectedBytes = 0): ByteBuffer {
	/** The first piece itself, which is not written to, until a second one arrives. */
	let storage: Buffer = Buffer.alloc(0);
	let capacity = 0;
	let length = 0;

	function reserve(size: number) {
		capacity = size <= expectedBytes ? expectedBytes : Math.max(minCapacityBytes, 2 * size);
		const grown = Buffer.allocUnsafeSlow(capacity);
		storage.copy(grown, 0, 0, length);
		storage = grown;
	}

	return {
		get length() {
			return length;
		},
		append(bytes) {
			if (length === 0) {
				storage = bytes;
				capacity = 0;
			} else {
				if (length + bytes.length > capacity) {
					reserve(length + bytes.length);
				}

				bytes.copy(storage, length);
			}

			length += bytes.length;
		},
		take() {
			const bytes = storage.subarray(0, length);
			storage = Buffer.alloc(0);
			capacity = 0;
			length = 0;
			return bytes;
		},
	};
}
