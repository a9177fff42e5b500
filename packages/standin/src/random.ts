/*
Seeded random numbers, so that the faults of a run can be reproduced.
*/
import {createHash} from 'node:crypto';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

/** Returns a number from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

const steps = 2 ** 31;

/** Creates a generator that returns the same sequence for the same seed. */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return () => unsafeUniformIntDistribution(0, steps - 1, generator) / steps;
}

/** Derives a seed from a text. */
export function hashToSeed(text: string): number {
	return createHash('sha256').update(text).digest().readInt32LE(0);
}
