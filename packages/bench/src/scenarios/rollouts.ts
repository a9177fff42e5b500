/*
Drawn rollouts in simulated time: targets of several software versions serve side by side while instances and targets fail. A stream must
hold events of one version only, and streams that callers resume must mostly go on.
*/
import {atLeast, atMost} from '../measure/figures.ts';
import {drawRestarts, drawRollout, fleetSizes} from '../rollout-model/draws.ts';
import {runRollout, type RolloutOptions} from '../rollout-model/fleet.ts';
import type {Scenario} from './scenario.ts';

/** Number of draws for each size of fleet. */
const drawCounts: Record<string, number> = {
	six: 12, nine: 12, eightyFour: 3, oneHundredNinetyFive: 1,
};

/** Resumed streams from which on the fraction that goes on counts. */
const minResumed = 12;

type Draw = (seed: number, size: typeof fleetSizes[string]) => RolloutOptions;

function createScenario(draw: Draw, summary: string): Scenario {
	return {
		summary: `${summary}, in simulated time`,
		seconds: 120,
		async run({seed, progress}) {
			let mixedStreams = 0;
			let worstRatio = Number.POSITIVE_INFINITY;
			for (const [size, count] of Object.entries(drawCounts)) {
				for (let index = 0; index < count; index += 1) {
					const drawSeed = (seed * 1000) + index;
					const result = runRollout(draw(drawSeed, fleetSizes[size]!));
					const {begun, resumed} = result;
					mixedStreams += result.mixedStreams;
					if (resumed.attempts >= minResumed) {
						worstRatio = Math.min(worstRatio, (resumed.successes / resumed.attempts) / (begun.successes / begun.attempts));
					}

					progress(`${size} ${drawSeed} ${JSON.stringify(result)}`);
				}
			}

			return {
				bounds: {
					mixedStreams: atMost(mixedStreams, 0),
					resumedToBegun: atLeast(worstRatio, 0.5),
				},
			};
		},
	};
}

export const rollouts = createScenario(drawRollout, 'rollouts of targets while instances and targets fail');
export const targetRestarts = createScenario(drawRestarts, 'rollouts while targets start again under their ids with other versions');
