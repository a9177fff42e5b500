/*
Takes ownership records as they become known, and starts or stops to serve their targets accordingly. A record that is
older than one already known changes nothing.
*/
import type {TargetHandover} from '../messages.ts';
import {type OwnerRecord} from '../records.ts';
import {MoveKind, type Ownership} from '../rows.ts';
import type {World} from '../world.ts';
import {announcePermits} from './budgets.ts';
import {drop, hold} from './holdings.ts';

/** Time for which the new owner of a target waits for the message of the old one before it starts without. */
const handoverWaitMs = 100;

/** Takes an ownership record at a version, with what the owner before told of the target. */
export function applyOwner(world: World, target: string, version: number, record: OwnerRecord, handover?: TargetHandover) {
	const before = world.ownerships.get(target);
	if (before && version <= before.version) {
		if (version === before.version && handover !== undefined) {
			before.handover ??= handover;
			settle(world, before);
		}

		return;
	}

	const {owner, incarnation, epoch} = record;
	const ownership = {
		target, owner, incarnation, epoch, version, learntAt: world.now, handover,
	};
	world.ownerships.set(ownership);
	settle(world, ownership, before);
	if (before?.epoch !== epoch) {
		announcePermits(world, target);
	}
}

/** Whether a record names this router under its present lease. */
export function isOwn(world: World, ownership: Ownership): boolean {
	const {lease, self} = world;
	return ownership.owner === self.id && lease.tenure !== '' && !lease.released && ownership.incarnation === lease.tenure;
}

/** Starts or stops to serve a target as its record says. */
export function settle(world: World, ownership: Ownership, before?: Ownership) {
	const {target, epoch, handover} = ownership;
	const isServed = isOwn(world, ownership) && world.configuration.targets.has(target);
	const held = world.holdings.get(target);
	if (held !== undefined && (!isServed || held !== epoch)) {
		drop(world, target);
	}

	const isMoving = world.moves.get(target)?.kind === MoveKind.Handover;
	if (isServed && !isMoving && !world.holdings.has(target) && !awaitsHandover(world, ownership, before)) {
		hold(world, target, epoch, handover);
	}
}

/** Whether the message that follows a planned handover may still be under way. */
function awaitsHandover(world: World, ownership: Ownership, before: Ownership | undefined): boolean {
	const isFromOther = before !== undefined && before.owner !== world.self.id && before.owner !== '';
	const owner = isFromOther ? world.contacts.get(before.owner) : undefined;
	return ownership.handover === undefined && owner?.tenure === before?.incarnation
		&& owner !== undefined && world.now < ownership.learntAt + handoverWaitMs;
}
