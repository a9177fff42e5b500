/*
Claims targets for this router, hands them over and gives them up. `owner/TARGET` in the Object API holds the owner and
its epoch.
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
import {listAll} from '../membership/listing.ts';
import {liveMembers} from '../membership/membership.ts';
import {isHeard} from '../membership/quorum.ts';
import {claim} from './claims.ts';
import {
	canHandOver, giveUp, handOver, lookUp,
} from './handovers.ts';
import {drop} from './holdings.ts';
import {applyOwner, settle} from './owner-records.ts';
import {updatePreferences} from './preferences.ts';

/** Period of the system; a step runs on each message, and placement needn't. */
const periodMs = 100;

/** Period at which the records are listed again, since watches may lose events: at least this, and more for many targets. */
const leastListMs = 5 * second;
const listMsPerTarget = 25;

/** Brings the targets that this router serves in line with records, members and configuration. */
export function ownershipSystem(world: World) {
	if (!startPeriodIfDue(world, 'ownership', periodMs)) {
		return;
	}

	if (startPeriodIfDue(world, 'ownership.list', listPeriod(world))) {
		listOwners(world);
	}

	updatePreferences(world);
	settleAll(world);
	if (hasValidLease(world) && world.ownersListed) {
		(world.state === MemberState.Leaving ? leave : pursue)(world);
	}
}

/** Takes an ownership record from the Object API. Records are never deleted, so a deletion says nothing. */
export function onOwnerObject(world: World, object: StoredObject) {
	const record = decodeOwner(object.value);
	if (record !== undefined) {
		applyOwner(world, object.key.slice(ownerPrefix.length), object.version, record);
	}
}

/** Takes a target that its owner handed to this router. */
export function onTargetHandover(world: World, _from: string, message: PeerMessageOf<'targetHandover'>) {
	const {target, epoch, tenure, version} = message;
	if (version === 0) {
		world.pendingHandovers.set(target, {message, receivedAt: world.now});
		return;
	}

	applyOwner(world, target, version, {
		owner: world.self.id, incarnation: tenure, epoch, nonce: '',
	}, message);
}

function listPeriod(world: World): number {
	return world.ownersListed ? Math.max(leastListMs, world.configuration.targets.size * listMsPerTarget) : second;
}

function listOwners(world: World) {
	listAll(world, ownerPrefix, objects => {
		for (const object of objects) {
			onOwnerObject(world, object);
		}

		world.ownersListed = true;
	});
}

function settleAll(world: World) {
	for (const target of world.ownedTargets.keys()) {
		if (!world.configuration.targets.has(target)) {
			drop(world, target);
		}
	}

	for (const target of world.configuration.targets.keys()) {
		const ownership = world.ownerships.get(target);
		if (ownership !== undefined) {
			settle(world, ownership);
		}
	}

	for (const move of world.ownershipChanges.rows()) {
		if (move.kind === OwnershipChangeKind.Handover && world.now >= move.retryAt) {
			lookUp(world, move);
		}
	}
}

/** Claims what this router is preferred for and hands over what another is, one target at a time. */
function pursue(world: World) {
	const settled = [...world.preferredOwners.rows()].filter(preference => isSettled(world, preference));
	for (const {target, member} of settled) {
		if (member === world.self.id && world.leasesListedAt >= world.lease.startedAt) {
			claim(world, target);
		}
	}

	const surplus = settled.find(({target, member}) => canReceive(world, member) && canHandOver(world, target));
	if (surplus !== undefined && startPeriodIfDue(world, 'ownership.balance', world.limits.handoverIntervalMs)) {
		giveTo(world, surplus.target, surplus.member);
	}
}

/** Hands over all targets of a router that stops; the last router serves them while it has work, and gives them up. */
function leave(world: World) {
	const live = liveMembers(world);
	const receivers = live.filter(member => canReceive(world, member.id));
	for (const target of world.ownedTargets.keys()) {
		if (live.length === 0) {
			giveUpUnused(world, target);
		} else if (canHandOver(world, target)) {
			giveTo(world, target, receiverOf(world, target, receivers));
		}
	}

	for (const move of world.ownershipChanges.rows()) {
		if (move.kind === OwnershipChangeKind.Claim) {
			world.ownershipChanges.delete(move.target);
		}
	}
}

function giveUpUnused(world: World, target: string) {
	const ownership = world.ownerships.get(target);
	if (ownership !== undefined && canHandOver(world, target) && !hasRemainingWork(world)) {
		giveUp(world, ownership);
	}
}

function isSettled(world: World, preference: PreferredOwner): boolean {
	return world.now - preference.stableSince >= world.limits.preferredOwnerStableMs;
}

/** Whether a target may be given to a member: one that has just gone silent may be dead. */
function canReceive(world: World, id: string): boolean {
	const member = world.members.get(id);
	return member !== undefined && id !== world.self.id && isHeard(world, member);
}

/** Preferred owner of a target, or the next best where that one is silent. */
function receiverOf(world: World, target: string, receivers: readonly Member[]): string | undefined {
	const preferred = world.preferredOwners.get(target)?.member;
	if (preferred !== undefined && canReceive(world, preferred)) {
		return preferred;
	}

	const failureDomain = world.configuration.targets.get(target)?.failureDomain;
	const near = receivers.filter(member => member.failureDomain === failureDomain);
	return selectByRendezvous(target, near.length > 0 ? near : receivers, member => member.id)?.id;
}

function giveTo(world: World, target: string, member: string | undefined) {
	const ownership = world.ownerships.get(target);
	if (ownership !== undefined && member !== undefined) {
		handOver(world, ownership, member);
	}
}
