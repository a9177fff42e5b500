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
