/*
Random exploration of a fleet of gateway cores: sequences of calls, ends, kills, cuts, restarts and lost messages, shrunk to a
short one where something that must hold breaks.
*/
import fc from 'fast-check';
import {createExplorationFleet, type ExplorationFleet, type ExplorationOptions} from './fleet.ts';

/** Calls that arrive together. */
const burst = 80;

/** Ends that come together. */
const endsAtOnce = 40;

/** What can happen, and how often against the rest. */
const actions: Record<string, {weight: number; run: (fleet: ExplorationFleet, a: number, b: number) => void}> = {
	call: {
		weight: 12,
		run(fleet, a, b) {
			fleet.call(a, b);
		},
	},
	calls: {
		weight: 3,
		run(fleet, a, b) {
			// A burst of one kind over all instances.
			for (let index = 0; index < burst; index += 1) {
				fleet.call(a + index, b);
			}
		},
	},
	wait: {
		weight: 8,
		run(fleet, a) {
			fleet.wait(20 + (a % 600));
		},
	},
	end: {
		weight: 10,
		run(fleet, a, b) {
			fleet.end(a, b);
		},
	},
	fail: {
		weight: 3,
		run(fleet, a, b) {
			for (let index = 0; index < endsAtOnce; index += 1) {
				fleet.end(a + index, b);
			}
		},
	},
	leave: {
		weight: 2,
		run(fleet, a) {
			fleet.leave(a);
		},
	},
	kill: {
		weight: 1,
		run(fleet, a) {
			fleet.kill(a);
		},
	},
	restart: {
		weight: 2,
		run(fleet, a) {
			fleet.restart(a);
		},
	},
	cutStore: {
		weight: 1,
		run(fleet, a) {
			fleet.cutStore(a);
		},
	},
	cutPeers: {
		weight: 1,
		run(fleet, a) {
			fleet.cutPeers(a);
		},
	},
	heal: {
		weight: 3,
		run(fleet, a) {
			fleet.heal(a);
		},
	},
	loseDigests: {
		weight: 1,
		run(fleet) {
			fleet.loseDigests();
		},
	},
	restartTarget: {
		weight: 2,
		run(fleet, a) {
			fleet.restartTarget(a);
		},
	},
	drainTarget: {
		weight: 1,
		run(fleet, a) {
			fleet.drainTarget(a);
		},
	},
	removeTarget: {
		weight: 1,
		run(fleet, a) {
			fleet.removeTarget(a);
		},
	},
	toggleDomain: {
		weight: 1,
		run(fleet, a) {
			fleet.toggleDomain(a);
		},
	},
	configure: {
		weight: 1,
		run(fleet, a) {
			fleet.configure(a);
		},
	},
};

type Action = {kind: string; a: number; b: number};

const kinds = fc.oneof(...Object.entries(actions).map(([kind, {weight}]) => ({weight, arbitrary: fc.constant(kind)})));

const action: fc.Arbitrary<Action> = fc.record({kind: kinds, a: fc.nat({max: 1000}), b: fc.nat({max: 1000})});

const longestSequence = 120;

export type Exploration = {
	sequences: number;
	/** What broke and the shortest sequence found that breaks it; undefined when nothing did. */
	broken: {faults: string[]; sequence: Action[]} | undefined;
};

/** Plays one sequence; returns what broke. */
export function playSequence(sequence: Action[], options: Partial<ExplorationOptions> = {}): string[] {
	const fleet = createExplorationFleet(options);
	for (const {kind, a, b} of sequence) {
		actions[kind]!.run(fleet, a, b);
		if (fleet.faults.length > 0) {
			break;
		}
	}

	return fleet.faults;
}

/** Plays random sequences. */
export function explore({seed, sequences, ...options}: {seed: number; sequences: number} & Partial<ExplorationOptions>): Exploration {
	const result = fc.check(fc.property(fc.array(action, {maxLength: longestSequence, size: 'max'}), sequence => playSequence(sequence, options).length === 0), {seed, numRuns: sequences});
	const sequence = result.counterexample?.[0];
	return {
		sequences: result.numRuns,
		broken: sequence && {faults: playSequence(sequence, options), sequence},
	};
}
