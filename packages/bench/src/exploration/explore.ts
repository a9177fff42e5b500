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
const weights = {
	call: 12,
	calls: 3,
	wait: 8,
	end: 10,
	fail: 3,
	leave: 2,
	kill: 1,
	restart: 2,
	cutStore: 1,
	cutPeers: 1,
	heal: 3,
	loseDigests: 1,
	restartTarget: 2,
	drainTarget: 1,
	removeTarget: 1,
	toggleDomain: 1,
	configure: 1,
};

type Kind = keyof typeof weights;

type Run = (fleet: ExplorationFleet, a: number, b: number) => void;

/** Kinds that are more than a call of the fleet's function of that name. */
const composed: Record<Exclude<Kind, keyof ExplorationFleet> | 'wait', Run> = {
	calls(fleet, a, b) {
		// A burst of one kind over all instances.
		for (let index = 0; index < burst; index += 1) {
			fleet.call(a + index, b);
		}
	},
	wait(fleet, a) {
		fleet.wait(20 + (a % 600));
	},
	fail(fleet, a, b) {
		for (let index = 0; index < endsAtOnce; index += 1) {
			fleet.end(a + index, b);
		}
	},
};

function isComposed(kind: Kind): kind is keyof typeof composed {
	return kind in composed;
}

function act(fleet: ExplorationFleet, {kind, a, b}: Action) {
	if (isComposed(kind)) {
		composed[kind](fleet, a, b);
	} else {
		fleet[kind](a, b);
	}
}

export type Action = {kind: Kind; a: number; b: number};

const kinds = fc.oneof(...(Object.entries(weights) as Array<[Kind, number]>).map(([kind, weight]) => ({weight, arbitrary: fc.constant(kind)})));

const actions: fc.Arbitrary<Action> = fc.record({kind: kinds, a: fc.nat({max: 1000}), b: fc.nat({max: 1000})});

const longestSequence = 120;

export type Exploration = {
	sequences: number;
	/** What broke and the shortest sequence found that breaks it; undefined when nothing did. */
	broken: {faults: string[]; sequence: Action[]} | undefined;
};

/** Plays one sequence; returns what broke. */
export function playSequence(sequence: Action[], options: Partial<ExplorationOptions> = {}): string[] {
	const fleet = createExplorationFleet(options);
	for (const action of sequence) {
		act(fleet, action);
		if (fleet.faults.length > 0) {
			break;
		}
	}

	return fleet.faults;
}

/** Plays random sequences. */
export function explore({seed, sequences, ...options}: {seed: number; sequences: number} & Partial<ExplorationOptions>): Exploration {
	const result = fc.check(fc.property(fc.array(actions, {maxLength: longestSequence, size: 'max'}), sequence => playSequence(sequence, options).length === 0), {seed, numRuns: sequences});
	const sequence = result.counterexample?.[0];
	return {
		sequences: result.numRuns,
		broken: sequence && {faults: playSequence(sequence, options), sequence},
	};
}
