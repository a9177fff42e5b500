/*
Draws rollouts with faults: fleets of a given size in which two rollouts follow each other, or a rollout and the way back, while instances
and targets fail in series that overlap.
*/
import {createRandom, type Random} from '../load/random.ts';
import {FaultKind, type Fault, type RolloutOptions} from './fleet.ts';

/** Sizes of fleets. */
export type FleetSize = Pick<RolloutOptions, 'instances' | 'targets' | 'failureDomains' | 'capacity' | 'streamsPerSecond' | 'seconds'>;

export const fleetSizes: Record<string, FleetSize> = {
	six: {
		instances: 6, targets: 8, failureDomains: 3, capacity: 0.675, streamsPerSecond: 40, seconds: 30,
	},
	nine: {
		instances: 9, targets: 8, failureDomains: 3, capacity: 0.675, streamsPerSecond: 60, seconds: 30,
	},
	eightyFour: {
		instances: 84, targets: 20, failureDomains: 4, capacity: 0.324, streamsPerSecond: 90, seconds: 16,
	},
	oneHundredNinetyFive: {
		instances: 195, targets: 40, failureDomains: 5, capacity: 0.324, streamsPerSecond: 120, seconds: 14,
	},
};

const faultKinds = Object.values(FaultKind).filter(kind => kind !== FaultKind.KillAll);

/** Time before the first rollout, in milliseconds. */
const calmMs = 3000;

/** Mean time between two faults, in milliseconds. */
const meanFaultGapMs = 1200;

/** Time without new faults at the end, in which the last attempts are answered, in milliseconds. */
const quietEndMs = 2500;

const minDurationMs = 300;
const maxDurationMs = 4000;
const maxFraction = 0.4;

/** Fraction of the runs in which targets may start again under their ids; few deployments do so. */
const restartFraction = 0.25;

function drawFaults(random: Random, seconds: number): Fault[] {
	const kinds = random.uniform() < restartFraction ? faultKinds : faultKinds.filter(kind => kind !== FaultKind.RestartTargets);
	const faults: Fault[] = [];
	for (let atMs = calmMs; atMs < (seconds * 1000) - quietEndMs; atMs += random.exponential(meanFaultGapMs)) {
		faults.push({
			kind: kinds[Math.floor(random.uniform() * kinds.length)]!,
			atMs,
			durationMs: minDurationMs + (random.uniform() * (maxDurationMs - minDurationMs)),
			fraction: random.uniform() * maxFraction,
		});
	}

	return faults;
}

/** Draws the options of a run in which half of the faults are restarts of targets under their ids. */
export function drawRestarts(seed: number, size: FleetSize): RolloutOptions {
	const options = drawRollout(seed, size);
	return {
		...options, faults: options.faults.map((fault, index) => index % 2 === 0 ? {...fault, kind: FaultKind.RestartTargets} : fault),
	};
}

/** Draws the options of a run in which all instances are killed at once, twice: soon after each rollout has begun. */
export function drawEnds(seed: number, size: FleetSize): RolloutOptions {
	const options = drawRollout(seed, size);
	const random = createRandom(seed, 2);
	const ends = options.rollouts.map(({atMs}): Fault => ({
		kind: FaultKind.KillAll, atMs: atMs + minDurationMs + (random.uniform() * 2000), durationMs: minDurationMs + (random.uniform() * 2000), fraction: 1,
	}));
	return {...options, faults: [...options.faults, ...ends].toSorted((a, b) => a.atMs - b.atMs)};
}

/** Draws the options of a run. */
export function drawRollout(seed: number, size: FleetSize): RolloutOptions {
	const random = createRandom(seed, 1);
	const endMs = size.seconds * 1000;
	const isRollback = random.uniform() < 0.3;
	return {
		...size,
		seed,
		rollouts: [
			{
				atMs: calmMs, softwareVersion: 'v2', fraction: 0.4 + (random.uniform() * 0.6), gapMs: 200 + (random.uniform() * 600),
			},
			{
				atMs: endMs / 2, softwareVersion: isRollback ? 'v1' : 'v3', fraction: random.uniform(), gapMs: 200 + (random.uniform() * 600),
			},
		],
		faults: drawFaults(random, size.seconds),
		limits: {},
	};
}
