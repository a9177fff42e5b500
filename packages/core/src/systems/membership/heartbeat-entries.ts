/*
Selects the heartbeats of other members that a digest reports in `heard`. Each digest goes to every member, so a list of
all members in it would grow with the square of the fleet. Instead it has the sender's own entry, an entry that echoes
the last digest of the receiver, and a window of other members that advances with each digest. In a fleet no larger than
the window that is every member.

Each entry is complete in itself: its age and its lease sequence are of the same moment. So leaving an entry out has no
more effect than a lost digest. See docs/design/digests.md.
*/
import type {HeardEntry} from '../../messages.ts';
import type {PeerLiveness} from '../../rows.ts';
import {computeRendezvousScore} from '../../rendezvous-hash.ts';
import type {World} from '../../world.ts';

/**
Number of other members that one digest reports. Whatever the size of the fleet, each member is reported by about this
many of the digests that a receiver gets in one period.
*/
export const heartbeatWindow = 4;

/** Time for which the send times of this router's digests are kept. */
const sentDigestRetentionMs = 10_000;

/** Maximum reported age, also for a member without any heartbeat; the wire form has 32 bits. */
const maxReportedAgeMs = 1_000_000_000;

/** Returns the `heard` entries of the current digest for one receiver. */
export type HeartbeatSelector = (to: string) => HeardEntry[];

/** Assigns the next digest its sequence number, and selects its entries for each receiver. */
export function startNextDigest(world: World): HeartbeatSelector {
	assignSequence(world);
	const reported = selectWindow(world);
	const common = [createOwnEntry(world), ...reported.map(peer => createEntry(world, peer))];
	const members = new Set(reported.map(peer => peer.member));
	return to => {
		const peer = world.peerLiveness.get(to);
		return peer !== undefined && peer.digestSequence > 0 && !members.has(to)
			? [...common, createEntry(world, peer)]
			: common;
	};
}

function assignSequence({sentDigests, now}: World) {
	sentDigests.sequence += 1;
	sentDigests.sentAt.set(sentDigests.sequence, now);
	for (const [sequence, sentAt] of sentDigests.sentAt) {
		if (now - sentAt < sentDigestRetentionMs) {
			break;
		}

		sentDigests.sentAt.delete(sequence);
	}
}

/**
Members in the window of this digest. The windows of the routers start at different offsets, so that at any time each
member is reported by some of them.
*/
function selectWindow({peerLiveness, sentDigests, self}: World): PeerLiveness[] {
	const peers = [...peerLiveness.rows()].filter(peer => peer.digestSequence > 0);
	if (peers.length <= heartbeatWindow) {
		return peers;
	}

	const start = (computeRendezvousScore('heard', self.id) + (sentDigests.sequence * heartbeatWindow)) % peers.length;
	const end = start + heartbeatWindow;
	return [...peers.slice(start, end), ...peers.slice(0, Math.max(0, end - peers.length))];
}

function createOwnEntry({self, lease, sentDigests}: World): HeardEntry {
	return {
		member: self.id,
		incarnation: self.incarnation,
		ageMs: 0,
		leaseSequence: lease.renewedAt === Number.NEGATIVE_INFINITY ? 0 : lease.sequence,
		digestSequence: sentDigests.sequence,
		tenure: lease.tenure,
	};
}

function createEntry(world: World, peer: PeerLiveness): HeardEntry {
	const member = world.members.get(peer.member);
	return {
		member: peer.member,
		incarnation: peer.incarnation,
		ageMs: Math.min(Math.ceil(world.now - (member?.lastHeartbeatAt ?? Number.NEGATIVE_INFINITY)), maxReportedAgeMs),
		leaseSequence: member?.leaseSequence ?? 0,
		digestSequence: peer.digestSequence,
		tenure: peer.tenure,
	};
}
