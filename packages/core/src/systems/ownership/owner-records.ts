/*
Applies ownership records as they arrive, and starts or stops serving their targets accordingly. A record older than one
already known changes nothing.
*/
import type {TargetHandover} from '../../messages.ts';
import {type OwnerRecord} from '../../records.ts';
import {OwnershipChangeKind, type Ownership} from '../../rows.ts';
import type {World} from '../../world.ts';
import {announcePermits} from '../targets/announcements.ts';
import {stopServing, startServing} from './owned-targets.ts';

/** Time for which the new owner of a target waits for the handover message before it starts without one. */
const handoverWaitMs = 100;

/** Time for which a handover message that arrived before its record is valid. */
const earlyHandoverTtlMs = 2000;

/** Applies a version of an ownership record, with the handover message of the previous owner if there is one. */
export function applyOwnerRecord(world: World, target: string, version: number, record: OwnerRecord, handover?: TargetHandover) {
	const previous = world.ownerships.get(target);
	if (previous && version <= previous.version) {
		if (version === previous.version && handover !== undefined) {
			previous.handover ??= handover;
			reconcileTarget(world, previous);
		}

		return;
	}

	const {owner, incarnation, epoch} = record;
	const ownership = {
		target, owner, tenure: incarnation, epoch, version, learntAt: world.now, expectsHandoverMessage: mayBeHandedOver(world, previous),
		handover: handover ?? removeEarlyHandover(world, target, record),
	};
	world.ownerships.set(ownership);
	reconcileTarget(world, ownership);
	if (previous?.epoch !== epoch) {
		announcePermits(world, target);
	}
}

/** Whether a record names this router under its current tenure. */
export function isOwnedHere(world: World, ownership: Ownership): boolean {
	const {lease, self} = world;
	return ownership.owner === self.id && lease.tenure !== '' && !lease.isDeleted && ownership.tenure === lease.tenure;
}

/** Starts or stops serving a target according to its record. */
export function reconcileTarget(world: World, ownership: Ownership) {
	const {target, epoch, handover} = ownership;
	const shouldServe = isOwnedHere(world, ownership) && world.configuration.targets.has(target);
	const servedEpoch = world.ownedTargets.get(target);
	if (servedEpoch !== undefined && (!shouldServe || servedEpoch !== epoch)) {
		stopServing(world, target);
	}

	const isHandingOver = world.ownershipChanges.get(target)?.kind === OwnershipChangeKind.Handover;
	if (shouldServe && !isHandingOver && !world.ownedTargets.has(target) && !isAwaitingHandover(world, ownership)) {
		startServing(world, target, epoch, handover);
	}
}

/** Removes the handover message that arrived before its record; returns it if it belongs to `record` and is still valid. */
function removeEarlyHandover(world: World, target: string, {epoch, incarnation}: OwnerRecord): TargetHandover | undefined {
	const pending = world.pendingHandovers.get(target);
	world.pendingHandovers.delete(target);
	const isOfRecord = pending?.message.epoch === epoch && pending.message.tenure === incarnation;
	return isOfRecord && world.now - pending.receivedAt < earlyHandoverTtlMs ? pending.message : undefined;
}

/** Whether the previous owner may have handed the target over, so that its message follows the record. */
function mayBeHandedOver(world: World, previous: Ownership | undefined): boolean {
	const isFromOther = previous !== undefined && previous.owner !== world.self.id && previous.owner !== '';
	const owner = isFromOther ? world.peerLiveness.get(previous.owner) : undefined;
	return owner !== undefined && owner.tenure === previous?.tenure;
}

/** Whether the message that follows a planned handover may still be in transit. */
function isAwaitingHandover(world: World, {expectsHandoverMessage, handover, learntAt}: Ownership): boolean {
	return expectsHandoverMessage && handover === undefined && world.now < learntAt + handoverWaitMs;
}
