import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {createEventBuffer} from '../../src/gateway/event-buffer.ts';

const events = ['id: 1\ndata: a\n\n', 'id: 2\r\ndata: b\r\n\r\n', 'data: c\n\n', ': comment\n\n'];
const stream = Buffer.from(events.join(''));

test('events are returned complete and in order, however the bytes are split into chunks', () => {
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: stream.length}), {maxLength: 12}), splits => {
		const buffer = createEventBuffer();
		const offsets = [0, ...splits.toSorted((a, b) => a - b), stream.length];
		const received: string[] = [];
		for (let index = 1; index < offsets.length; index += 1) {
			received.push(...buffer.push(stream.subarray(offsets[index - 1], offsets[index])).map(String));
		}

		expect(received).toEqual(events);
		expect(buffer.hasPartialEvent).toBe(false);
	}), {seed: 11});
});

test('an incomplete event stays in the buffer', () => {
	const buffer = createEventBuffer();
	expect(buffer.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')).map(String)).toEqual(['id: 1\ndata: a\n\n']);
	expect(buffer.hasPartialEvent).toBe(true);
});

// Guards against an event without end that keeps the process busy: copies of all that is pending for each piece.
test('an event that arrives in small pieces is copied a bounded number of times', () => {
	const pieces = 20_000;
	const piece = Buffer.from('abcd');
	const copiedBytes = {count: 0};
	const record = (bytes: Buffer<ArrayBuffer>) => {
		copiedBytes.count += bytes.length;
		return bytes;
	};

	const {concat, allocUnsafeSlow} = Buffer;
	const spies = [
		jest.spyOn(Buffer, 'concat').mockImplementation((list, length) => record(concat(list, length))),
		jest.spyOn(Buffer, 'allocUnsafeSlow').mockImplementation(size => record(allocUnsafeSlow(size))),
	];
	const buffer = createEventBuffer();
	let events = 0;
	for (let count = 0; count < pieces; count += 1) {
		events += buffer.push(piece).length;
	}

	for (const spy of spies) {
		spy.mockRestore();
	}

	expect(events).toBe(0);
	const [event] = buffer.push(Buffer.from('\n\n'));
	expect(event).toHaveLength((pieces * piece.length) + 2);
	expect(copiedBytes.count).toBeLessThan(8 * pieces * piece.length);
});
