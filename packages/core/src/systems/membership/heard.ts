/*
What a digest tells of the members that its sender has heard. Each digest goes to every member, so a list of all members
in it would grow with the square of the fleet: it holds the sender's own entry, the echo of the digests of the member to
which it goes, and a window of others that moves on with each digest. In a fleet within the window that is everybody.

Each entry stands alone: its age and the number of the lease's renewal are of the same moment. So leaving an entry out is
no more than a lost digest is. See docs/design/digests.md.
*/
import type {HeardEntry} from '../../messages.ts';
import type {PeerLiveness} from '../../rows.ts';
import {computeRendezvousScore} from '../../rendezvous-hash.ts';
import type {World} from '../../world.ts';

/**
Other members of which one digest tells. Whatever the size of the fleet, about so many digests of one period tell of each
member.
*/
export const heardWindow = 4;

/** Time for which the send times of this router's digests are kept. */
const echoWindowMs = 10_000;

/** Age told of a member that was never heard; the wire form has 32 bits. */
const unheardAgeMs = 1_000_000_000;

/** What the next digests say, to each member in turn. */
export type HeardLists = (to: string) => HeardEntry[];

/** Starts the next digest, which has a new number, and returns what it says to each member. */
export function nextHeard(world: World): HeardLists {
	numberDigest(world);
	const told = windowOf(world);
	const common = [ownEntry(world), ...told.map(contact => entryOf(world, contact))];
	const members = new Set(told.map(contact => contact.member));
	return to => {
		const contact = world.peerLiveness.get(to);
		return contact !== undefined && contact.digestSequence > 0 && !members.has(to)
			? [...common, entryOf(world, contact)]
			: common;
	};
}

function numberDigest({sentDigests: gossip, now}: World) {
	gossip.sequence += 1;
	gossip.sentAt.set(gossip.sequence, now);
	for (const [sequence, sentAt] of gossip.sentAt) {
		if (now - sentAt < echoWindowMs) {
			break;
		}

		gossip.sentAt.delete(sequence);
	}
}

/** Members of which this digest tells; each router starts at another place, so that every member is told of at any time. */
function windowOf({peerLiveness: contacts, sentDigests: gossip, self}: World): PeerLiveness[] {
	const heard = [...contacts.rows()].filter(contact => contact.digestSequence > 0);
	if (heard.length <= heardWindow) {
		return heard;
	}

	const start = (computeRendezvousScore('heard', self.id) + (gossip.sequence * heardWindow)) % heard.length;
	const end = start + heardWindow;
	return [...heard.slice(start, end), ...heard.slice(0, Math.max(0, end - heard.length))];
}

function ownEntry({self, lease, sentDigests: gossip}: World): HeardEntry {
	return {
		member: self.id,
		incarnation: self.incarnation,
		ageMs: 0,
		leaseSequence: lease.renewedAt === Number.NEGATIVE_INFINITY ? 0 : lease.sequence,
		digestSequence: gossip.sequence,
		tenure: lease.tenure,
	};
}

function entryOf(world: World, contact: PeerLiveness): HeardEntry {
	const member = world.members.get(contact.member);
	return {
		member: contact.member,
		incarnation: contact.incarnation,
		ageMs: Math.min(Math.ceil(world.now - (member?.lastHeartbeatAt ?? Number.NEGATIVE_INFINITY)), unheardAgeMs),
		leaseSequence: member?.leaseSequence ?? 0,
		digestSequence: contact.digestSequence,
		tenure: contact.tenure,
	};
}
