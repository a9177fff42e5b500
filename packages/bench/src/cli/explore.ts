/*
Explores fleets of gateway cores at random for some minutes, and prints the shortest sequence that breaks something.
*/
import {explore} from '../exploration/explore.ts';

export type ExploreOptions = {
	seed: number;
	minutes: number;
	instances: number;
	/** Whether the sequences have rollouts of targets. */
	hasRollouts: boolean;
};

/** Sequences between two looks at the clock. */
const sequencesAtOnce = 500;

const minuteMs = 60_000;

/** Runs until the time is over or something breaks; returns the exit code. */
export function runExploration({
	seed, minutes, instances, hasRollouts,
}: ExploreOptions): number {
	const until = performance.now() + (minutes * minuteMs);
	let sequences = 0;
	for (let turn = seed; performance.now() < until; turn += 1) {
		const exploration = explore({
			seed: turn, sequences: sequencesAtOnce, instances, hasRollouts,
		});
		sequences += exploration.sequences;
		if (exploration.violation) {
			const {faults, sequence} = exploration.violation;
			console.log(`seed ${turn}, ${exploration.sequences} sequences: ${faults.join('; ')}`);
			console.log(sequence.map(({kind, a, b}) => `${kind} ${a} ${b}`).join('\n'));
			return 1;
		}
	}

	console.log(`${sequences} sequences, nothing broke`);
	return 0;
}
