/*
Decides which targets this router claims, hands over and gives up. `owner/TARGET` in the Object API holds the owner of a
target and its epoch.
*/
import {MemberState, type PeerMessageOf} from '../../messages.ts';
import type {StoredObject} from '../../ports.ts';
import {selectByRendezvous} from '../../rendezvous-hash.ts';
import {decodeOwner, ownerPrefix} from '../../records.ts';
import {OwnershipChangeKind, type Member, type PreferredOwner} from '../../rows.ts';
import {second} from '../../units.ts';
import {startPeriodIfDue, type World} from '../../world.ts';
import {hasValidLease} from '../membership/lease.ts';
import {hasRemainingWork} from '../stop/leaving.ts';
import {listObjects} from '../membership/store-listing.ts';
import {getAvailableMembers} from '../membership/membership.ts';
import {isAlive} from '../membership/quorum.ts';
import {claimTarget} from './claims.ts';
import {
	canHandOver, relinquishTarget, startHandover, checkHandoverResult,
} from './handovers.ts';
import {stopServing} from './owned-targets.ts';
import {applyOwnerRecord, reconcileTarget} from './owner-records.ts';
import {updatePreferredOwners} from './preferred-owners.ts';

/** Period of the system: steps also run on each message, but ownership needn't be checked that often. */
const periodMs = 100;

/** Minimum period of listing the records again, since watches may lose events; it grows with the number of targets. */
const minListMs = 5 * second;
const listMsPerTarget = 25;

/** Reconciles the targets that this router serves with records, members and configuration. */
export function ownershipSystem(world: World) {
	if (!startPeriodIfDue(world, 'ownership', periodMs)) {
		return;
	}

	if (startPeriodIfDue(world, 'ownership.list', computeListPeriodMs(world))) {
		listOwnerRecords(world);
	}

	updatePreferredOwners(world);
	reconcileAll(world);
	if (hasValidLease(world) && world.ownersListed) {
		(world.state === MemberState.Leaving ? handOverAll : claimAndBalance)(world);
	}
}

/** Applies an ownership record from the Object API. Records are never deleted, so a deletion is ignored. */
export function onOwnerObject(world: World, object: StoredObject) {
	const record = decodeOwner(object.value);
	if (record !== undefined) {
		applyOwnerRecord(world, object.key.slice(ownerPrefix.length), object.version, record);
	}
}

/** Receives a target from its previous owner. Version 0 means that the record isn't confirmed yet. */
export function onTargetHandover(world: World, _from: string, message: PeerMessageOf<'targetHandover'>) {
	const {target, epoch, tenure, version} = message;
	if (version === 0) {
		world.pendingHandovers.set(target, {message, receivedAt: world.now});
		return;
	}

	applyOwnerRecord(world, target, version, {
		owner: world.self.id, incarnation: tenure, epoch, nonce: '',
	}, message);
}

function computeListPeriodMs(world: World): number {
	return world.ownersListed ? Math.max(minListMs, world.configuration.targets.size * listMsPerTarget) : second;
}

function listOwnerRecords(world: World) {
	listObjects(world, ownerPrefix, objects => {
		for (const object of objects) {
			onOwnerObject(world, object);
		}

		world.ownersListed = true;
	});
}

function reconcileAll(world: World) {
	for (const target of world.ownedTargets.keys()) {
		if (!world.configuration.targets.has(target)) {
			stopServing(world, target);
		}
	}

	for (const target of world.configuration.targets.keys()) {
		const ownership = world.ownerships.get(target);
		if (ownership !== undefined) {
			reconcileTarget(world, ownership);
		}
	}

	for (const change of world.ownershipChanges.rows()) {
		if (change.kind === OwnershipChangeKind.Handover && world.now >= change.retryAt) {
			checkHandoverResult(world, change);
		}
	}
}

/** Claims the targets that this router is the preferred owner of, and hands over those of others, one target at a time. */
function claimAndBalance(world: World) {
	const stable = [...world.preferredOwners.rows()].filter(preferred => isStable(world, preferred));
	for (const {target, member} of stable) {
		if (member === world.self.id && world.leasesListedAt >= world.lease.startedAt) {
			claimTarget(world, target);
		}
	}

	const surplus = stable.find(({target, member}) => canReceive(world, member) && canHandOver(world, target));
	if (surplus !== undefined && startPeriodIfDue(world, 'ownership.balance', world.limits.handoverIntervalMs)) {
		handOverTo(world, surplus.target, surplus.member);
	}
}

/** Hands over all targets of a router that stops; the last router serves them while it has work, and then gives them up. */
function handOverAll(world: World) {
	const available = getAvailableMembers(world);
	const receivers = available.filter(member => canReceive(world, member.id));
	for (const target of world.ownedTargets.keys()) {
		if (available.length === 0) {
			relinquishIfIdle(world, target);
		} else if (canHandOver(world, target)) {
			handOverTo(world, target, selectReceiver(world, target, receivers));
		}
	}

	for (const change of world.ownershipChanges.rows()) {
		if (change.kind === OwnershipChangeKind.Claim) {
			world.ownershipChanges.delete(change.target);
		}
	}
}

function relinquishIfIdle(world: World, target: string) {
	const ownership = world.ownerships.get(target);
	if (ownership !== undefined && canHandOver(world, target) && !hasRemainingWork(world)) {
		relinquishTarget(world, ownership);
	}
}

function isStable(world: World, preferred: PreferredOwner): boolean {
	return world.now - preferred.stableSince >= world.limits.preferredOwnerStableMs;
}

/** Whether targets may be handed to a member: it must be alive, since one that has just gone silent may have crashed. */
function canReceive(world: World, id: string): boolean {
	const member = world.members.get(id);
	return member !== undefined && id !== world.self.id && isAlive(world, member);
}

/** Preferred owner of a target; if that one can't receive it, a receiver of the same failure domain, or else any. */
function selectReceiver(world: World, target: string, receivers: readonly Member[]): string | undefined {
	const preferred = world.preferredOwners.get(target)?.member;
	if (preferred !== undefined && canReceive(world, preferred)) {
		return preferred;
	}

	const failureDomain = world.configuration.targets.get(target)?.failureDomain;
	const sameDomain = receivers.filter(member => member.failureDomain === failureDomain);
	return selectByRendezvous(target, sameDomain.length > 0 ? sameDomain : receivers, member => member.id)?.id;
}

function handOverTo(world: World, target: string, member: string | undefined) {
	const ownership = world.ownerships.get(target);
	if (ownership !== undefined && member !== undefined) {
		startHandover(world, ownership, member);
	}
}
