import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {createEventBuffer} from '../../src/gateway/event-buffer.ts';

const events = ['id: 1\ndata: a\n\n', 'id: 2\r\ndata: b\r\n\r\n', 'data: c\n\n', ': comment\n\n'];
const stream = Buffer.from(events.join(''));

test('events come out whole and in order, however the bytes are cut', () => {
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: stream.length}), {maxLength: 12}), cuts => {
		const buffer = createEventBuffer();
		const places = [0, ...cuts.toSorted((a, b) => a - b), stream.length];
		const out: string[] = [];
		for (let index = 1; index < places.length; index += 1) {
			out.push(...buffer.push(stream.subarray(places[index - 1], places[index])).map(String));
		}

		expect(out).toEqual(events);
		expect(buffer.isPartial).toBe(false);
	}), {seed: 11});
});

test('part of an event stays back', () => {
	const buffer = createEventBuffer();
	expect(buffer.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')).map(String)).toEqual(['id: 1\ndata: a\n\n']);
	expect(buffer.isPartial).toBe(true);
});
