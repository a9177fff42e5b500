/*
Knows the members: lists their leases, hears their digests, ends leases that have lapsed.

A digest is as old as the newest digest of this router that its sender had heard by then: the echo bounds its age, however
long it was under way. What it says of other members has its age added. See docs/design/membership.md.
*/
import {MemberState, type HeardEntry, type PeerMessageOf} from '../../messages.ts';
import type {InboundOf, StoredObject} from '../../ports.ts';
import {selectByRendezvous} from '../../rendezvous-hash.ts';
import {decodeLease, leasePrefix} from '../../records.ts';
import type {PeerLiveness, Member} from '../../rows.ts';
import {startPeriodIfDue, type World} from '../../world.ts';
import {
	contactOf, memberOf, noteEnded, noteLease, noteRenewal, noteTenure, noteUnlisted,
} from './contacts.ts';
import {endLease} from './lapse.ts';
import {listAll} from './listing.ts';
import {
	hasLapsed, isHeard, mayEndLease,
} from './quorum.ts';

/** Renewals kept a contact; older ones can't matter for a lease that lapses now. */
const renewalsKept = 6;

/** Time for which the list of leases may grow old for each member, so that reads don't grow with the fleet's square. */
const listMsPerMember = 50;

/** Lists the leases when due and ends those that have lapsed. */
export function membershipSystem(world: World) {
	noteSelf(world);
	if (startPeriodIfDue(world, 'membership.list', listPeriod(world))) {
		listLeases(world);
	}

	if (startPeriodIfDue(world, 'membership.lapse', world.limits.heartbeatTimeoutMs)) {
		endLapsedLeases(world);
	}
}

/** Takes what a digest says of its sender and of the members that it heard; false for one that is older than another already taken. */
export function hearDigest(world: World, from: string, incarnation: string, digest: PeerMessageOf<'digest'>): boolean {
	if (from === world.self.id) {
		return false;
	}

	const contact = contactOf(world, from);
	const own = digest.heard.find(entry => entry.member === from);
	if (contact.incarnation === incarnation && own !== undefined && own.digestSequence <= contact.digestSequence) {
		return false;
	}

	const echoAt = echoTime(world, digest);
	const member = memberOf(world, from);
	if (contact.incarnation !== '' && contact.incarnation !== incarnation && echoAt < member.lastHeartbeatAt) {
		return false;
	}

	contact.incarnation = incarnation;
	contact.digestSequence = own?.digestSequence ?? 0;
	contact.countsTowardsQuorum = digest.storeAgeMs >= 0;
	Object.assign(member, {
		incarnation,
		failureDomain: digest.failureDomain,
		callerUrl: digest.callerUrl,
		peerUrl: digest.peerUrl,
		state: digest.state,
		revision: digest.revision,
		digestReceivedAt: world.now,
	});
	world.members.set(member);
	member.lastHeartbeatAt = Math.max(member.lastHeartbeatAt, echoAt);
	hearOwnLease(world, contact, digest, echoAt);
	for (const entry of digest.heard) {
		hearOf(world, from, entry, echoAt);
	}

	return true;
}

/** Time since this router's lease was renewed; -1 when it has none or knows that others go on renewing theirs. */
export function storeAge(world: World): number {
	const {lease, now} = world;
	return lease.tenure === '' || lease.isOutageRuledOut || lease.isDeleted ? -1 : Math.ceil(now - lease.renewedAt);
}

/** Takes a lease object from the Object API; its value is '' when it was deleted. */
export function onLeaseObject(world: World, object: StoredObject) {
	const id = object.key.slice(leasePrefix.length);
	const record = decodeLease(object.value);
	if (id === world.self.id) {
		return;
	}

	if (record !== undefined) {
		noteLease(world, id, object.version, record);
		return;
	}

	const contact = world.peerLiveness.get(id);
	if (contact !== undefined && contact.version > 0 && object.version > contact.version) {
		noteEnded(world, id, contact.tenure);
	}
}

/** Members that are active and not lapsed, this one included, by id. */
export function liveMembers(world: World): Member[] {
	return [...world.members.rows()].filter(member => isLive(world, member)).toSorted((a, b) => a.id < b.id ? -1 : 1);
}

/** Whether a member has a lease that has not lapsed, or is heard, and isn't leaving. */
export function isLive(world: World, member: Member): boolean {
	if (member.state !== MemberState.Active) {
		return false;
	}

	if (member.id === world.self.id) {
		return world.lease.tenure !== '';
	}

	const contact = world.peerLiveness.get(member.id);
	return contact !== undefined && contact.tenure !== ''
		&& (isHeard(world, member) || !hasLapsed(world, member.leaseSeenAt));
}

/** Takes the platform's list of instances; an instance that has gone from it doesn't count in majorities. */
export function onInstanceList(world: World, {instances}: InboundOf<'instanceList'>) {
	world.instances = new Set(instances.map(instance => instance.id));
}

function noteSelf(world: World) {
	const {self, lease, state, configuration, now} = world;
	const member = memberOf(world, self.id);
	Object.assign(member, {
		incarnation: self.incarnation,
		failureDomain: self.failureDomain,
		callerUrl: self.callerUrl,
		peerUrl: self.peerUrl,
		state,
		revision: configuration.revision,
		leaseSequence: lease.sequence,
		leaseSeenAt: lease.renewedAt,
		lastHeartbeatAt: now,
		digestReceivedAt: now,
		storeReachedAt: world.storeReachedAt,
	});
	if (!world.members.has(self.id)) {
		world.members.set(member);
	}
}

function listPeriod(world: World): number {
	const {lease, limits, now, peerLiveness: contacts} = world;
	if (now < lease.startedAt + limits.leaseDurationMs) {
		return limits.minLeaseListMs / 4;
	}

	return Math.max(limits.minLeaseListMs, contacts.size * listMsPerMember);
}

function listLeases(world: World) {
	const askedAt = world.now;
	listAll(world, leasePrefix, objects => {
		for (const object of objects) {
			onLeaseObject(world, object);
		}

		noteUnlisted(world, new Set(objects.map(object => object.key.slice(leasePrefix.length))), askedAt);
		world.leasesListedAt = Math.max(world.leasesListedAt, askedAt);
	});
}

/** Each lapsed lease is ended by one live member, so that leases of crashed routers don't count for ever. */
function endLapsedLeases(world: World) {
	const live = liveMembers(world).map(member => member.id);
	for (const contact of world.peerLiveness.rows()) {
		const member = world.members.get(contact.member);
		// Hashing is dear in a large fleet, and few leases lapse.
		const isDue = member !== undefined && contact.tenure !== '' && hasLapsed(world, member.leaseSeenAt);
		const isMine = isDue && selectByRendezvous(contact.member, live, id => id) === world.self.id;
		if (isMine && mayEndLease(world, member.id, member.leaseSeenAt)) {
			endLease(world, member.id, contact.tenure, () => undefined);
		}
	}
}

/** When this router sent the newest of its digests that the sender of `digest` had heard by then. */
function echoTime(world: World, digest: PeerMessageOf<'digest'>): number {
	const echo = digest.heard.find(entry => entry.member === world.self.id);
	return echo?.incarnation === world.self.incarnation
		? world.sentDigests.sentAt.get(echo.digestSequence) ?? Number.NEGATIVE_INFINITY
		: Number.NEGATIVE_INFINITY;
}

/** Takes what the sender of a digest says of its own lease. */
function hearOwnLease(world: World, contact: PeerLiveness, digest: PeerMessageOf<'digest'>, echoAt: number) {
	const own = digest.heard.find(entry => entry.member === contact.member);
	const member = world.members.get(contact.member);
	if (own === undefined || member === undefined || own.tenure === '') {
		return;
	}

	const {clockDrift} = world.limits;
	noteTenure(world, contact, own.tenure);
	if (digest.storeAgeMs < 0) {
		return;
	}

	const before = world.now - (digest.storeAgeMs * (1 - clockDrift));
	noteRenewal(world, member, own.leaseSequence, before);
	member.storeReachedAt = Math.max(member.storeReachedAt, before);
	const after = echoAt - (digest.storeAgeMs * (1 + clockDrift));
	if (after > Number.NEGATIVE_INFINITY && contact.renewals.at(-1)?.sequence !== own.leaseSequence) {
		contact.renewals.push({sequence: own.leaseSequence, sentAfter: after, receivedAt: world.now});
		contact.renewals.splice(0, contact.renewals.length - renewalsKept);
	}
}

/** Takes what the sender of a digest says of another member. */
function hearOf(world: World, from: string, entry: HeardEntry, echoAt: number) {
	const contact = world.peerLiveness.get(entry.member);
	const member = world.members.get(entry.member);
	if (entry.member === from || !contact || !member || contact.tenure !== entry.tenure) {
		return;
	}

	if (contact.incarnation === entry.incarnation) {
		member.lastHeartbeatAt = Math.max(member.lastHeartbeatAt, echoAt - (entry.ageMs * (1 + world.limits.clockDrift)));
	}

	noteRenewal(world, member, entry.leaseSequence, world.now);
}
