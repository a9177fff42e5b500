import {createStreamValidator} from '../src/targets/engine-stream.ts';

// Guards against an engine that fills the memory of the process with one event.
test('an event without end is given up after a million characters', () => {
	const validator = createStreamValidator(0);
	const piece = 'x'.repeat(65_536);
	validator.push('id: 0\ndata: ');
	for (let count = 0; count < 15; count += 1) {
		validator.push(piece);
	}

	expect(validator.state.hasGap).toBe(false);
	validator.push(piece);
	expect(validator.state.hasGap).toBe(true);
	expect(validator.push('\n\nid: 0\ndata: a\n\n')).toBe('');
	expect(validator.state.nextOffset).toBe(0);
});
