/*
The targets that this router serves as owner: starts and ends their budgets as ownership comes and goes.
*/
import type {TargetHandover} from '../../messages.ts';
import {LogPart} from '../../ports.ts';
import {log, type World} from '../../world.ts';
import {removeBudget, startBudget} from '../targets/budgets.ts';

/** Starts to serve a target as its owner under `epoch`. */
export function hold(world: World, target: string, epoch: number, handover?: TargetHandover) {
	world.ownedTargets.set(target, epoch);
	startBudget(world, target, epoch, handover);
	log(world, LogPart.Ownership, `took ${target} at epoch ${epoch}`);
}

/** Stops to serve a target; returns what the next owner needs. */
export function drop(world: World, target: string): ReturnType<typeof removeBudget> {
	if (!world.ownedTargets.delete(target)) {
		return undefined;
	}

	log(world, LogPart.Ownership, `dropped ${target}`);
	return removeBudget(world, target);
}

/** Stops to serve every target, since the lease under which they were owned is lost. */
export function dropHoldings(world: World) {
	for (const target of world.ownedTargets.keys()) {
		drop(world, target);
	}

	for (const move of world.ownershipChanges.rows()) {
		world.ownershipChanges.delete(move.target);
	}
}
