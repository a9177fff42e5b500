/*
Budgets of the targets that this router owns: cold start, ramp, slow and failing targets.
*/
import type {Phase, TargetHandover} from '../messages.ts';
import type {World} from '../world.ts';

/** Starts the budget of a target that this router has just come to own; cold until evidence says otherwise. */
export function takeTarget(_world: World, _target: string, _epoch: number, _handover?: TargetHandover) {
	// Filled by the decision work.
}

/** Drops the budget of a target and returns what the next owner needs; undefined when this router didn't own it. */
export function releaseTarget(_world: World, _target: string): {phase: Phase; budget: number; entries: TargetHandover['entries']} | undefined {
	return undefined;
}

/** Tells the new owner of a target which permits this router holds for it. */
export function announcePermits(_world: World, _target: string) {
	// Filled by the decision work.
}
