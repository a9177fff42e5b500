import {drawEnds, fleetSizes} from '../src/rollout-model/draws.ts';
import {FaultKind, runRollout} from '../src/rollout-model/fleet.ts';

const endDraws: Array<[string, number]> = [['six', 30], ['six', 31], ['nine', 32], ['nine', 36], ['nine', 37], ['eightyFour', 38], ['eightyFour', 39], ['oneHundredNinetyFive', 35]];

test.each(endDraws)('streams go on at their version after all instances were killed at once: %s instances, seed %i', (size, seed) => {
	const {mixedStreams, begun, resumed} = runRollout(drawEnds(seed, fleetSizes[size]!));
	expect(mixedStreams).toBe(0);
	expect(resumed.attempts).toBeGreaterThanOrEqual(12);
	expect(resumed.successes / resumed.attempts).toBeGreaterThanOrEqual(begun.successes / begun.attempts / 2);
});

// Guards against streams that no instance knows after the end of all, since they had begun after the last write to the store.
test.each([['six', 1], ['six', 2], ['nine', 3]])('no stream is unknown after all instances were killed at once while two versions serve: %s instances, seed %i', (size, seed) => {
	const {refusals, mixedStreams, resumed} = runRollout({
		...fleetSizes[size]!,
		seed,
		seconds: 16,
		rollouts: [{
			atMs: 200, softwareVersion: 'v2', fraction: 0.5, gapMs: 50,
		}],
		faults: [6000, 12_000].map(atMs => ({
			kind: FaultKind.KillAll, atMs: atMs + (37 * seed), durationMs: 1000, fraction: 1,
		})),
		limits: {},
	});
	expect(resumed.attempts).toBeGreaterThanOrEqual(12);
	expect(refusals['stream-unknown'] ?? 0).toBe(0);
	expect(mixedStreams).toBe(0);
});
