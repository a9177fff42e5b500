import {drawEnds, fleetSizes} from '../src/rollout-model/draws.ts';
import {runRollout} from '../src/rollout-model/fleet.ts';

const endDraws: Array<[string, number]> = [['six', 30], ['six', 31], ['nine', 32], ['nine', 36], ['nine', 37], ['eightyFour', 38], ['eightyFour', 39], ['oneHundredNinetyFive', 35]];

test.each(endDraws)('streams go on at their version after all instances were killed at once: %s instances, seed %i', (size, seed) => {
	const {mixedStreams, begun, resumed} = runRollout(drawEnds(seed, fleetSizes[size]!));
	expect(mixedStreams).toBe(0);
	expect(resumed.attempts).toBeGreaterThanOrEqual(12);
	expect(resumed.successes / resumed.attempts).toBeGreaterThanOrEqual(begun.successes / begun.attempts / 2);
});
