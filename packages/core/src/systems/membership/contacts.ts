/*
Keeps what is known of other routers and their leases: rows of members and contacts.
*/
import {MemberState} from '../../messages.ts';
import {LogPart} from '../../ports.ts';
import type {LeaseRecord} from '../../records.ts';
import type {PeerLiveness, Member} from '../../rows.ts';
import {log, type World} from '../../world.ts';

/** Row of a router, added when there is none. */
export function memberOf(world: World, id: string): Member {
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

/** Contact of another router, added when there is none. */
export function contactOf(world: World, id: string): PeerLiveness {
	const contact = world.peerLiveness.get(id) ?? {
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
	world.peerLiveness.set(contact);
	return contact;
}

/** Takes a lease as it was read from the Object API; reads that are older than one before are dropped. */
export function noteLease(world: World, id: string, version: number, record: LeaseRecord) {
	const contact = contactOf(world, id);
	if (version < contact.version) {
		return;
	}

	const isKnown = world.members.has(id);
	const member = memberOf(world, id);
	// A leaving router never becomes active again in the same tenure.
	if (contact.tenure !== record.tenure || record.state === MemberState.Leaving) {
		member.state = record.state;
	}

	if (!isKnown || contact.tenure !== record.tenure) {
		const {failureDomain, callerUrl, peerUrl, incarnation} = record;
		Object.assign(member, {
			failureDomain, callerUrl, peerUrl, incarnation,
		});
		world.members.set(member);
	}

	noteTenure(world, contact, record.tenure);
	contact.version = version;
	noteRenewal(world, member, record.sequence, world.now);
}

/** Takes the tenure of a router's lease; a new one starts with nothing known of it. */
export function noteTenure(world: World, contact: PeerLiveness, tenure: string) {
	if (contact.tenure === tenure) {
		return;
	}

	contact.tenure = tenure;
	contact.tenureSeenAt = world.now;
	contact.version = 0;
	contact.renewals = [];
	const member = world.members.get(contact.member);
	if (member) {
		member.leaseSequence = 0;
		member.leaseSeenAt = world.now;
	}
}

/** Takes a renewal of another router's lease that was sent before `before`. */
export function noteRenewal(world: World, member: Member, sequence: number, before: number) {
	if (sequence < member.leaseSequence) {
		return;
	}

	member.leaseSeenAt = sequence === member.leaseSequence ? Math.min(member.leaseSeenAt, before) : before;
	member.leaseSequence = sequence;
	const {lease, limits} = world;
	if (member.leaseSeenAt > lease.renewedAt + limits.outageToleranceMs) {
		lease.isOutageRuledOut = true;
	}
}

/** Takes the end of a tenure; the router may start another. */
export function noteEnded(world: World, id: string, tenure: string) {
	const contact = world.peerLiveness.get(id);
	if (contact?.tenure !== tenure) {
		return;
	}

	log(world, LogPart.Membership, `${id} has no lease any more`);
	noteTenure(world, contact, '');
	const member = world.members.get(id);
	if (member && world.now - member.digestReceivedAt >= world.limits.leaseDurationMs) {
		forget(world, id);
	}
}

/** Takes a complete list of the leases that was asked for at `askedAt`: tenures known by then that aren't in it have ended. */
export function noteUnlisted(world: World, listed: ReadonlySet<string>, askedAt: number) {
	for (const contact of world.peerLiveness.rows()) {
		if (listed.has(contact.member)) {
			continue;
		}

		if (contact.tenure !== '' && contact.tenureSeenAt < askedAt) {
			noteEnded(world, contact.member, contact.tenure);
		}

		const member = world.members.get(contact.member);
		if (contact.tenure === '' && world.now - (member?.digestReceivedAt ?? 0) >= world.limits.leaseDurationMs) {
			forget(world, contact.member);
		}
	}
}

function forget(world: World, id: string) {
	world.peerLiveness.delete(id);
	world.members.delete(id);
}
