import {setTimeout as sleep} from 'node:timers/promises';
import {createTimer} from '../src/timer.ts';

// Guards against one subscription that keeps those after it from running.
test('a subscription that throws keeps no other from running, and its exception is thrown outside the timer', async () => {
	const thrown: unknown[] = [];
	const spy = jest.spyOn(globalThis, 'queueMicrotask').mockImplementation(run => {
		try {
			run();
		} catch (error) {
			thrown.push(error);
		}
	});
	const timer = createTimer({resolutionMs: 5});
	const state = {runs: 0};
	timer.subscribe(5, () => {
		throw new Error('fault');
	});
	timer.subscribe(5, () => {
		state.runs += 1;
	});
	while (state.runs < 3) {
		await sleep(5);
	}

	timer.stop();
	spy.mockRestore();
	expect(thrown.length).toBeGreaterThanOrEqual(3);
	expect(thrown[0]).toMatchObject({message: 'fault'});
});
