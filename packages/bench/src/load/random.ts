/*
Seeded random numbers for the load. Each stream has its own generator, so that adding a workspace to a load doesn't change
the numbers of the others.
*/
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

const resolution = 2 ** 30;

/** Distance between the generator seeds of consecutive seeds, so that streams of different seeds differ. */
const seedStride = 10_007;

export type Random = {
	/** Draws from the uniform distribution over [0, 1). */
	uniform: () => number;
	/** Draws from the exponential distribution with this mean. */
	exponential: (mean: number) => number;
	/** Draws from the bounded Pareto distribution, which is heavy-tailed, over [`min`, `max`]. */
	heavyTailed: (min: number, max: number) => number;
};

/** Shape of the bounded Pareto distribution; a smaller value gives a heavier tail. */
export const tailShape = 1.1;

/** Creates the generator of stream number `stream` of a seed. */
export function createRandom(seed: number, stream = 0): Random {
	const generator = xoroshiro128plus((seed * seedStride) + stream);
	const uniform = () => unsafeUniformIntDistribution(0, resolution - 1, generator) / resolution;
	return {
		uniform,
		exponential: mean => -Math.log(1 - uniform()) * mean,
		heavyTailed(min, max) {
			const ratio = (min / max) ** tailShape;
			return min / ((1 - (uniform() * (1 - ratio))) ** (1 / tailShape));
		},
	};
}

/** Computes the mean of `heavyTailed`. */
export function computeHeavyTailedMean(min: number, max: number): number {
	const factor = tailShape / (tailShape - 1);
	const ratio = (min / max) ** tailShape;
	return factor * (min ** tailShape) / (1 - ratio) * ((min ** (1 - tailShape)) - (max ** (1 - tailShape)));
}
