/*
Starts and stops serving targets as their owner, together with their budgets.
*/
import type {TargetHandover} from '../../messages.ts';
import {LogPart} from '../../ports.ts';
import {log, type World} from '../../world.ts';
import {removeBudget, startBudget} from '../targets/budgets.ts';

/** Starts serving a target as its owner under `epoch`. */
export function startServing(world: World, target: string, epoch: number, handover?: TargetHandover) {
	world.ownedTargets.set(target, epoch);
	startBudget(world, target, epoch, handover);
	log(world, LogPart.Ownership, `started serving ${target} at epoch ${epoch}`);
}

/** Stops serving a target; returns the state of its budget for the next owner, undefined when it wasn't served here. */
export function stopServing(world: World, target: string): ReturnType<typeof removeBudget> {
	if (!world.ownedTargets.delete(target)) {
		return undefined;
	}

	log(world, LogPart.Ownership, `stopped serving ${target}`);
	return removeBudget(world, target);
}

/** Stops serving all targets and cancels ownership changes, since the lease under which they were owned has ended. */
export function stopServingAll(world: World) {
	for (const target of world.ownedTargets.keys()) {
		stopServing(world, target);
	}

	for (const change of world.ownershipChanges.rows()) {
		world.ownershipChanges.delete(change.target);
	}
}
