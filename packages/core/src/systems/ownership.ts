/*
Claims targets for this router, hands them over and gives them up. `owner/TARGET` in the Object API holds the owner and
its epoch.
*/
import {MemberState, type PeerMessageOf} from '../messages.ts';
import type {StoredObject} from '../ports.ts';
import {decodeOwner, ownerPrefix} from '../records.ts';
import {MoveKind, type Preference} from '../rows.ts';
import {minute, second} from '../units.ts';
import {due, type World} from '../world.ts';
import {claim} from './claims.ts';
import {handOver, lookUp} from './handovers.ts';
import {drop} from './holdings.ts';
import {hasValidLease} from './lease.ts';
import {listAll} from './listing.ts';
import {applyOwner, settle} from './owner-records.ts';
import {updatePreferences} from './preferences.ts';

/** Period of the system; a step runs on each message, and placement needn't. */
const periodMs = 100;

/** Brings the targets that this router serves in line with records, members and configuration. */
export function ownershipSystem(world: World) {
	if (!due(world, 'ownership', periodMs)) {
		return;
	}

	if (due(world, 'ownership.list', world.ownersListed ? minute : second)) {
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
		world.handovers.set(target, {message, toldAt: world.now});
		return;
	}

	applyOwner(world, target, version, {
		owner: world.self.id, incarnation: tenure, epoch, nonce: '',
	}, message);
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
	for (const target of world.holdings.keys()) {
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

	for (const move of world.moves.rows()) {
		if (move.kind === MoveKind.Handover && world.now >= move.retryAt) {
			lookUp(world, move);
		}
	}
}

/** Claims what this router is preferred for and hands over what another is, one target at a time. */
function pursue(world: World) {
	const settled = [...world.preferences.rows()].filter(preference => isSettled(world, preference));
	for (const {target, member} of settled) {
		if (member === world.self.id && world.leasesListedAt >= world.lease.startedAt) {
			claim(world, target);
		}
	}

	const surplus = settled.find(({target, member}) => member !== world.self.id && canHandOver(world, target));
	if (surplus !== undefined && due(world, 'ownership.balance', world.limits.balanceMs)) {
		giveTo(world, surplus);
	}
}

/** Hands over all targets of a router that stops; those that nobody else can own are given up. */
function leave(world: World) {
	for (const target of world.holdings.keys()) {
		const preference = world.preferences.get(target);
		if (preference === undefined) {
			drop(world, target);
		} else if (canHandOver(world, target)) {
			giveTo(world, preference);
		}
	}

	for (const move of world.moves.rows()) {
		if (move.kind === MoveKind.Claim) {
			world.moves.delete(move.target);
		}
	}
}

function isSettled(world: World, preference: Preference): boolean {
	return world.now - preference.since >= world.limits.preferenceMs;
}

function canHandOver(world: World, target: string): boolean {
	return world.holdings.has(target) && !world.moves.has(target);
}

function giveTo(world: World, {target, member}: Preference) {
	const ownership = world.ownerships.get(target);
	if (ownership !== undefined) {
		handOver(world, ownership, member);
	}
}
