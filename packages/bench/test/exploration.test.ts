import {explore, playSequence} from '../src/exploration/explore.ts';
import {createExplorationFleet} from '../src/exploration/fleet.ts';

test.each([[1, 3], [2, 5]])('no random sequence breaks a rule (seed %d, %d instances)', (seed, instances) => {
	expect(explore({seed, sequences: 60, instances}).broken).toBeUndefined();
});

/** Sequences that random exploration found, each a fault that was mended. */
const found = {
	'a target that starts again between two bursts': [
		['removeTarget', 284], ['removeTarget', 389], ['calls', 0, 462], ['removeTarget', 185], ['restartTarget', 979], ['fail', 0, 483], ['calls', 0, 342],
	],
	'a target that starts while an instance is cut off from the platform': [
		['toggleDomain'], ['cutStore'], ['restartTarget', 423], ['calls', 0, 166], ['calls', 0, 106],
	],
	'a call sent again to a target that makes no connection': [
		['calls'], ['restartTarget', 274], ['fail', 0, 751], ['kill'], ['fail', 206, 133],
	],
	'instances that all start after a burst': [['restartTarget', 754], ['calls'], ['restart', 1], ['restart', 0], ['restart', 146], ['calls']],
} as const;

test.each(Object.entries(found))('%s', (_name, sequence) => {
	expect(playSequence(sequence.map(([kind, a = 0, b = 0]) => ({kind, a, b})))).toEqual([]);
});

/** Place of that end in the table of ends. */
const failed = 4;

test('it tells of what breaks: a retry budget that is too large', () => {
	const fleet = createExplorationFleet({limits: {retryBudgetFraction: 50, retryRatio: 5}});
	for (let round = 0; round < 40; round += 1) {
		for (let index = 0; index < 20; index += 1) {
			fleet.call(index, 0);
		}

		for (let index = 0; index < 40; index += 1) {
			fleet.end(index, failed);
		}

		fleet.wait(100);
	}

	expect(fleet.faults.join('\n')).toMatch(/sends again to desk/v);
});
