/*
Tracks the members of the fleet: lists their leases, receives heartbeats from digests, ends expired leases.

A digest echoes the newest digest of this router that its sender had received. It was sent after that one, so the send
time of the echoed digest is a lower bound of its own, however long it was in transit. The ages that it reports of other
members are subtracted from that bound. See docs/design/membership.md.
*/
import {MemberState, type HeardEntry, type PeerMessageOf} from '../../messages.ts';
import type {InboundOf, StoredObject} from '../../ports.ts';
import {selectByRendezvous} from '../../rendezvous-hash.ts';
import {decodeLease, leasePrefix} from '../../records.ts';
import type {PeerLiveness, Member} from '../../rows.ts';
import {startPeriodIfDue, type World} from '../../world.ts';
import {
	getOrCreatePeerLiveness, getMemberOrDefault, recordTenureEnd, recordLease, recordRenewal, updateTenure, endUnlistedTenures,
} from './peer-liveness.ts';
import {endLease} from './lease-expiry.ts';
import {listObjects} from './store-listing.ts';
import {
	hasLeaseExpired, isAlive, canEndLease,
} from './quorum.ts';

/** Renewals stored per peer; older ones can't matter for a lease that expires now. */
const maxStoredRenewals = 6;

/** List period per member. With a fixed period, the reads of the whole fleet would grow with the square of its size. */
const listMsPerMember = 50;

/** Lists the leases when due and ends those that have expired. */
export function membershipSystem(world: World) {
	updateSelf(world);
	if (startPeriodIfDue(world, 'membership.list', computeListPeriodMs(world))) {
		listLeases(world);
	}

	if (startPeriodIfDue(world, 'membership.expiry', world.limits.heartbeatTimeoutMs)) {
		endExpiredLeases(world);
	}
}

/** Records what a digest reports about its sender and other members; false for a digest older than one already recorded. */
export function recordHeartbeats(world: World, from: string, incarnation: string, digest: PeerMessageOf<'digest'>): boolean {
	if (from === world.self.id) {
		return false;
	}

	const peer = getOrCreatePeerLiveness(world, from);
	const senderEntry = digest.heard.find(entry => entry.member === from);
	if (peer.incarnation === incarnation && senderEntry !== undefined && senderEntry.digestSequence <= peer.digestSequence) {
		return false;
	}

	const echoedSentAt = findEchoedSentAt(world, digest);
	const member = getMemberOrDefault(world, from);
	if (peer.incarnation !== '' && peer.incarnation !== incarnation && echoedSentAt < member.lastHeartbeatAt) {
		return false;
	}

	peer.incarnation = incarnation;
	peer.digestSequence = senderEntry?.digestSequence ?? 0;
	peer.countsTowardsQuorum = digest.storeAgeMs >= 0;
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
	member.lastHeartbeatAt = Math.max(member.lastHeartbeatAt, echoedSentAt);
	recordSenderLease(world, peer, digest, echoedSentAt);
	for (const entry of digest.heard) {
		recordReportedHeartbeat(world, from, entry, echoedSentAt);
	}

	return true;
}

/** Time since this router's lease was renewed; -1 when it has none or knows that others go on renewing theirs. */
export function computeStoreAgeMs(world: World): number {
	const {lease, now} = world;
	return lease.tenure === '' || lease.isOutageRuledOut || lease.isDeleted ? -1 : Math.ceil(now - lease.renewedAt);
}

/** Applies a lease object from the Object API; its value is '' when it was deleted. */
export function onLeaseObject(world: World, object: StoredObject) {
	const id = object.key.slice(leasePrefix.length);
	const record = decodeLease(object.value);
	if (id === world.self.id) {
		return;
	}

	if (record !== undefined) {
		recordLease(world, id, object.version, record);
		return;
	}

	const peer = world.peerLiveness.get(id);
	if (peer !== undefined && peer.version > 0 && object.version > peer.version) {
		recordTenureEnd(world, id, peer.tenure);
	}
}

/** Available members, which may include this router, sorted by id. */
export function getAvailableMembers(world: World): Member[] {
	return [...world.members.rows()].filter(member => isAvailable(world, member)).toSorted((a, b) => a.id < b.id ? -1 : 1);
}

/**
Whether a member can own targets: it is active and has a tenure, and it is alive or its lease hasn't expired. For this
router itself the tenure is enough.
*/
export function isAvailable(world: World, member: Member): boolean {
	if (member.state !== MemberState.Active) {
		return false;
	}

	if (member.id === world.self.id) {
		return world.lease.tenure !== '';
	}

	const peer = world.peerLiveness.get(member.id);
	return peer !== undefined && peer.tenure !== ''
		&& (isAlive(world, member) || !hasLeaseExpired(world, member.leaseSeenAt));
}

/** Stores the platform's list of instances; a router missing from it stops counting in majorities when its lease expires. */
export function onInstanceList(world: World, {instances}: InboundOf<'instanceList'>) {
	world.instances = new Set(instances.map(instance => instance.id));
}

function updateSelf(world: World) {
	const {self, lease, state, configuration, now} = world;
	const member = getMemberOrDefault(world, self.id);
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

function computeListPeriodMs(world: World): number {
	const {lease, limits, now, peerLiveness} = world;
	if (now < lease.startedAt + limits.leaseDurationMs) {
		return limits.minLeaseListMs / 4;
	}

	return Math.max(limits.minLeaseListMs, peerLiveness.size * listMsPerMember);
}

function listLeases(world: World) {
	const requestedAt = world.now;
	listObjects(world, leasePrefix, objects => {
		for (const object of objects) {
			onLeaseObject(world, object);
		}

		endUnlistedTenures(world, new Set(objects.map(object => object.key.slice(leasePrefix.length))), requestedAt);
		world.leasesListedAt = Math.max(world.leasesListedAt, requestedAt);
	});
}

/** Each expired lease is ended by one available member, so that leases of crashed routers don't count for ever. */
function endExpiredLeases(world: World) {
	const available = getAvailableMembers(world).map(member => member.id);
	for (const peer of world.peerLiveness.rows()) {
		const member = world.members.get(peer.member);
		// Checked before hashing, which is expensive in a large fleet, and few leases expire.
		const hasExpired = member !== undefined && peer.tenure !== '' && hasLeaseExpired(world, member.leaseSeenAt);
		const isAssignedHere = hasExpired && selectByRendezvous(peer.member, available, id => id) === world.self.id;
		if (isAssignedHere && canEndLease(world, member.id, member.leaseSeenAt)) {
			endLease(world, member.id, peer.tenure, () => undefined);
		}
	}
}

/** When this router sent the digest that `digest` echoes; -Infinity without an echo or once the send time is discarded. */
function findEchoedSentAt(world: World, digest: PeerMessageOf<'digest'>): number {
	const echo = digest.heard.find(entry => entry.member === world.self.id);
	return echo?.incarnation === world.self.incarnation
		? world.sentDigests.sentAt.get(echo.digestSequence) ?? Number.NEGATIVE_INFINITY
		: Number.NEGATIVE_INFINITY;
}

/** Records what the sender of a digest reports about its own lease. */
function recordSenderLease(world: World, peer: PeerLiveness, digest: PeerMessageOf<'digest'>, echoedSentAt: number) {
	const senderEntry = digest.heard.find(entry => entry.member === peer.member);
	const member = world.members.get(peer.member);
	if (senderEntry === undefined || member === undefined || senderEntry.tenure === '') {
		return;
	}

	const {clockDrift} = world.limits;
	updateTenure(world, peer, senderEntry.tenure);
	if (digest.storeAgeMs < 0) {
		return;
	}

	const sentBefore = world.now - (digest.storeAgeMs * (1 - clockDrift));
	recordRenewal(world, member, senderEntry.leaseSequence, sentBefore);
	member.storeReachedAt = Math.max(member.storeReachedAt, sentBefore);
	const sentAfter = echoedSentAt - (digest.storeAgeMs * (1 + clockDrift));
	if (sentAfter > Number.NEGATIVE_INFINITY && peer.renewals.at(-1)?.sequence !== senderEntry.leaseSequence) {
		peer.renewals.push({sequence: senderEntry.leaseSequence, sentAfter, receivedAt: world.now});
		peer.renewals.splice(0, peer.renewals.length - maxStoredRenewals);
	}
}

/** Records what the sender of a digest reports about another member. */
function recordReportedHeartbeat(world: World, from: string, entry: HeardEntry, echoedSentAt: number) {
	const peer = world.peerLiveness.get(entry.member);
	const member = world.members.get(entry.member);
	if (entry.member === from || !peer || !member || peer.tenure !== entry.tenure) {
		return;
	}

	if (peer.incarnation === entry.incarnation) {
		member.lastHeartbeatAt = Math.max(member.lastHeartbeatAt, echoedSentAt - (entry.ageMs * (1 + world.limits.clockDrift)));
	}

	recordRenewal(world, member, entry.leaseSequence, world.now);
}
