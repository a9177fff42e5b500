import {drawRestarts, drawRollout, fleetSizes} from '../src/rollout-model/draws.ts';
import {runRollout, type RolloutRun} from '../src/rollout-model/fleet.ts';

const runs = new Map<string, RolloutRun>();

function run(size: string, seed: number): RolloutRun {
	const key = `${size}/${seed}`;
	const known = runs.get(key) ?? runRollout(drawRollout(seed, fleetSizes[size]!));
	runs.set(key, known);
	return known;
}

const draws: Array<[string, number]> = [['six', 1], ['six', 2], ['six', 3], ['nine', 4], ['nine', 5], ['eightyFour', 6], ['oneHundredNinetyFive', 7]];

test.each(draws)('no stream holds events of two software versions during rollouts: %s instances, seed %i', (size, seed) => {
	expect(run(size, seed).mixedStreams).toBe(0);
});

test.each(draws)('streams that callers resume mostly go on during rollouts: %s instances, seed %i', (size, seed) => {
	const {begun, resumed} = run(size, seed);
	expect(resumed.attempts).toBeGreaterThanOrEqual(12);
	expect(resumed.successes / resumed.attempts).toBeGreaterThanOrEqual(begun.successes / begun.attempts / 2);
});

test.each([
	['six', 10], ['six', 15], ['six', 20], ['nine', 20], ['nine', 21],
])('no stream holds events of two software versions when targets start again under their ids: %s instances, seed %i', (size, seed) => {
	expect(runRollout(drawRestarts(seed, fleetSizes[size]!)).mixedStreams).toBe(0);
});
