import {createCoreLoop} from '../src/core-loop.ts';

type Item = {kind: 'deliver'; call: string};

test('a handler that throws for one call keeps no other call from its result', () => {
	const delivered: string[] = [];
	const outboxes: Item[][] = [[{kind: 'deliver', call: 'broken'}, {kind: 'deliver', call: 'sound'}]];
	let tick: ((now: number) => void) | undefined;
	const loop = createCoreLoop<Item, Item>({
		step: () => outboxes.shift() ?? [],
		timer: {
			now: () => 0,
			subscribe(_periodMs, run) {
				tick = run;
				return () => {
					tick = undefined;
				};
			},
			stop() {
				tick = undefined;
			},
		},
		tickMs: 20,
		handlers: {
			deliver({call}) {
				if (call === 'broken') {
					throw new Error('broken');
				}

				delivered.push(call);
			},
		},
		onHandlerError() {
			// What becomes of the broken call is the router's matter.
		},
		onStep() {
			// The duration doesn't matter here.
		},
	});
	loop.start();
	for (let ticks = 0; ticks < 3; ticks += 1) {
		try {
			tick?.(0);
		} catch {
			// The process handles it.
		}
	}

	loop.stop();
	expect(delivered).toEqual(['sound']);
});
