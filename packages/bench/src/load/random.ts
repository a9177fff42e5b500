/*
Seeded random numbers for the load. Each stream of numbers has its own generator, so that adding a workspace to a load
changes nothing for the others.
*/
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

const resolution = 2 ** 30;

/** Seeds are this far apart, so that no stream of one is a stream of another. */
const streamsOfSeed = 10_007;

export type Random = {
	/** Uniform in [0, 1). */
	uniform: () => number;
	/** Exponential with this mean. */
	exponential: (mean: number) => number;
	/** Bounded Pareto: heavy-tailed between `least` and `most`, both included. */
	heavyTailed: (least: number, most: number) => number;
};

/** Shape of the bounded Pareto distribution; smaller is heavier. */
export const tailShape = 1.1;

/** Generator number `stream` of the seed. */
export function createRandom(seed: number, stream = 0): Random {
	const generator = xoroshiro128plus((seed * streamsOfSeed) + stream);
	const uniform = () => unsafeUniformIntDistribution(0, resolution - 1, generator) / resolution;
	return {
		uniform,
		exponential: mean => -Math.log(1 - uniform()) * mean,
		heavyTailed(least, most) {
			const ratio = (least / most) ** tailShape;
			return least / ((1 - (uniform() * (1 - ratio))) ** (1 / tailShape));
		},
	};
}

/** Mean of the bounded Pareto distribution of `heavyTailed`. */
export function heavyTailedMean(least: number, most: number): number {
	const factor = tailShape / (tailShape - 1);
	const ratio = (least / most) ** tailShape;
	return factor * (least ** tailShape) / (1 - ratio) * ((least ** (1 - tailShape)) - (most ** (1 - tailShape)));
}
