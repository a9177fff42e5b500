/*
Maintains what is known about other routers and their leases: the rows of `members` and `peerLiveness`.
*/
import {MemberState} from '../../messages.ts';
import {LogPart} from '../../ports.ts';
import type {LeaseRecord} from '../../records.ts';
import type {PeerLiveness, Member} from '../../rows.ts';
import {log, type World} from '../../world.ts';

/** Row of a router; where there is none, a new row that isn't in the table yet. */
export function getMemberOrDefault(world: World, id: string): Member {
	const member = world.members.get(id);
	return member ?? {
		id,
		incarnation: '',
		failureDomain: '',
		callerUrl: '',
		peerUrl: '',
		state: MemberState.Active,
		revision: 0,
		leaseSequence: 0,
		leaseSeenAt: Number.NEGATIVE_INFINITY,
		lastHeartbeatAt: Number.NEGATIVE_INFINITY,
		digestReceivedAt: Number.NEGATIVE_INFINITY,
		storeReachedAt: Number.NEGATIVE_INFINITY,
		services: new Map(),
		waiting: new Map(),
		pools: new Map(),
	};
}

/** Liveness row of another router, added to the table when missing. */
export function getOrCreatePeerLiveness(world: World, id: string): PeerLiveness {
	const peer = world.peerLiveness.get(id) ?? {
		member: id,
		tenure: '',
		version: 0,
		firstSeenAt: world.now,
		tenureSeenAt: world.now,
		incarnation: '',
		digestSequence: 0,
		countsTowardsQuorum: false,
		renewals: [],
	};
	world.peerLiveness.set(peer);
	return peer;
}

/** Records a lease as read from the Object API; a version older than one already read is ignored. */
export function recordLease(world: World, id: string, version: number, record: LeaseRecord) {
	const peer = getOrCreatePeerLiveness(world, id);
	if (version < peer.version) {
		return;
	}

	const isKnown = world.members.has(id);
	const member = getMemberOrDefault(world, id);
	// A leaving router never becomes active again in the same tenure.
	if (peer.tenure !== record.tenure || record.state === MemberState.Leaving) {
		member.state = record.state;
	}

	if (!isKnown || peer.tenure !== record.tenure) {
		const {failureDomain, callerUrl, peerUrl, incarnation} = record;
		Object.assign(member, {
			failureDomain, callerUrl, peerUrl, incarnation,
		});
		world.members.set(member);
	}

	updateTenure(world, peer, record.tenure);
	peer.version = version;
	recordRenewal(world, member, record.sequence, world.now);
}

/** Updates the tenure of a router's lease; a new tenure discards the version and the renewals of the previous one. */
export function updateTenure(world: World, peer: PeerLiveness, tenure: string) {
	if (peer.tenure === tenure) {
		return;
	}

	peer.tenure = tenure;
	peer.tenureSeenAt = world.now;
	peer.version = 0;
	peer.renewals = [];
	const member = world.members.get(peer.member);
	if (member) {
		member.leaseSequence = 0;
		member.leaseSeenAt = world.now;
	}
}

/** Records a renewal of another router's lease that was sent before `sentBefore`. */
export function recordRenewal(world: World, member: Member, sequence: number, sentBefore: number) {
	if (sequence < member.leaseSequence) {
		return;
	}

	member.leaseSeenAt = sequence === member.leaseSequence ? Math.min(member.leaseSeenAt, sentBefore) : sentBefore;
	member.leaseSequence = sequence;
	const {lease, limits} = world;
	if (member.leaseSeenAt > lease.renewedAt + limits.outageToleranceMs) {
		lease.isOutageRuledOut = true;
	}
}

/** Records that a tenure has ended; the router may start another. */
export function recordTenureEnd(world: World, id: string, tenure: string) {
	const peer = world.peerLiveness.get(id);
	if (peer?.tenure !== tenure) {
		return;
	}

	log(world, LogPart.Membership, `${id} no longer has a lease`);
	updateTenure(world, peer, '');
	const member = world.members.get(id);
	if (member && world.now - member.digestReceivedAt >= world.limits.leaseDurationMs) {
		removeMember(world, id);
	}
}

/** Ends the tenures that were known before `requestedAt` and are missing from a complete list of leases requested then. */
export function endUnlistedTenures(world: World, listed: ReadonlySet<string>, requestedAt: number) {
	for (const peer of world.peerLiveness.rows()) {
		if (listed.has(peer.member)) {
			continue;
		}

		if (peer.tenure !== '' && peer.tenureSeenAt < requestedAt) {
			recordTenureEnd(world, peer.member, peer.tenure);
		}

		const member = world.members.get(peer.member);
		if (peer.tenure === '' && world.now - (member?.digestReceivedAt ?? 0) >= world.limits.leaseDurationMs) {
			removeMember(world, peer.member);
		}
	}
}

function removeMember(world: World, id: string) {
	world.peerLiveness.delete(id);
	world.members.delete(id);
}
