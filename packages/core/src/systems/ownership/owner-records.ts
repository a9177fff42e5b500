/*
Takes ownership records as they become known, and starts or stops to serve their targets accordingly. A record that is
older than one already known changes nothing.
*/
import type {TargetHandover} from '../../messages.ts';
import {type OwnerRecord} from '../../records.ts';
import {OwnershipChangeKind, type Ownership} from '../../rows.ts';
import type {World} from '../../world.ts';
import {announcePermits} from '../targets/announcements.ts';
import {drop, hold} from './holdings.ts';

/** Time for which the new owner of a target waits for the message of the old one before it starts without. */
const handoverWaitMs = 100;

/** What the owner before sent along with its write is kept for this time, in milliseconds. */
const toldAheadMs = 2000;

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
		target, owner, tenure: incarnation, epoch, version, learntAt: world.now, expectsHandoverMessage: mayBeHandedOver(world, before),
		handover: handover ?? toldAhead(world, target, record),
	};
	world.ownerships.set(ownership);
	settle(world, ownership);
	if (before?.epoch !== epoch) {
		announcePermits(world, target);
	}
}

/** Whether a record names this router under its present lease. */
export function isOwn(world: World, ownership: Ownership): boolean {
	const {lease, self} = world;
	return ownership.owner === self.id && lease.tenure !== '' && !lease.isDeleted && ownership.tenure === lease.tenure;
}

/** Starts or stops to serve a target as its record says. */
export function settle(world: World, ownership: Ownership) {
	const {target, epoch, handover} = ownership;
	const isServed = isOwn(world, ownership) && world.configuration.targets.has(target);
	const held = world.ownedTargets.get(target);
	if (held !== undefined && (!isServed || held !== epoch)) {
		drop(world, target);
	}

	const isMoving = world.ownershipChanges.get(target)?.kind === OwnershipChangeKind.Handover;
	if (isServed && !isMoving && !world.ownedTargets.has(target) && !isHandoverUnderWay(world, ownership)) {
		hold(world, target, epoch, handover);
	}
}

/** What the owner before sent along with its write of the record. */
function toldAhead(world: World, target: string, {epoch, incarnation}: OwnerRecord): TargetHandover | undefined {
	const told = world.pendingHandovers.get(target);
	world.pendingHandovers.delete(target);
	const isOfRecord = told?.message.epoch === epoch && told.message.tenure === incarnation;
	return isOfRecord && world.now - told.receivedAt < toldAheadMs ? told.message : undefined;
}

/** Whether the owner before may have handed the target over, so that its message follows the record. */
function mayBeHandedOver(world: World, before: Ownership | undefined): boolean {
	const isFromOther = before !== undefined && before.owner !== world.self.id && before.owner !== '';
	const owner = isFromOther ? world.peerLiveness.get(before.owner) : undefined;
	return owner !== undefined && owner.tenure === before?.tenure;
}

/** Whether the message that follows a planned handover may still be under way. */
function isHandoverUnderWay(world: World, {expectsHandoverMessage: awaitsHandover, handover, learntAt}: Ownership): boolean {
	return awaitsHandover && handover === undefined && world.now < learntAt + handoverWaitMs;
}
