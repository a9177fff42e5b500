/*
Seeded random numbers, so that the faults of a run can be repeated.
*/
import {createHash} from 'node:crypto';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

/** Numbers from 0 up to 1. */
export type Random = () => number;

const steps = 2 ** 31;

/** Creates a generator that always gives the same numbers for the same seed. */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return () => unsafeUniformIntDistribution(0, steps - 1, generator) / steps;
}

/** Seed that follows from a text. */
export function seedOf(text: string): number {
	return createHash('sha256').update(text).digest().readInt32LE(0);
}
