/*
Decides from the evidence of leases and digests whether this router may continue during an outage of the Object API, and
whether it is certain enough that the Object API is up for the lease of a silent member to be ended. The two exclude each
other, since each needs a strict majority of the same members; docs/design/membership.md has the argument.
*/
import type {PeerLiveness, Member} from '../../rows.ts';
import type {World} from '../../world.ts';

/**
Weight of the vote of a router that takes over from its own earlier start. The earlier start counts its own vote too, so
the two majorities must have another member in common. For that, votes of half of all members are just enough, which
this weight allows.
*/
const successorVoteWeight = 0.5;

/** Other routers that count in majorities: those with a lease, except expired ones whose instance is gone. */
export function getVoters(world: World): PeerLiveness[] {
	return [...world.peerLiveness.rows()].filter(peer => peer.tenure !== '' && !isInstanceGone(world, peer));
}

/** Whether a member is alive: its last known digest is younger than `heartbeatTimeoutMs`. */
export function isAlive(world: World, member: Member): boolean {
	return world.now - member.lastHeartbeatAt < world.limits.heartbeatTimeoutMs;
}

/** Whether a lease whose latest renewal was first seen at `seenAt` has expired by its owner's clock too. */
export function hasLeaseExpired(world: World, seenAt: number): boolean {
	const {leaseDurationMs, clockDrift} = world.limits;
	return world.now >= seenAt + (leaseDurationMs * (1 + clockDrift));
}

/** Whether a strict majority of the last known members, including this router, is alive and counts towards the quorum. */
export function hasQuorum(world: World): boolean {
	if (!hasListedLeases(world)) {
		return false;
	}

	const others = getVoters(world);
	const supporting = others.filter(peer => peer.countsTowardsQuorum && isAliveById(world, peer.member));
	return isMajority(supporting.length + 1, others.length + 1);
}

/**
Whether the lease of router `id`, whose latest renewal was first seen at `seenAt`, may be ended: it has expired, and this
router has known for longer than the heartbeat timeout that a strict majority sent renewals so late that `id` must rule
out an outage of the Object API.
*/
export function canEndLease(world: World, id: string, seenAt: number): boolean {
	if (!hasLeaseExpired(world, seenAt) || !hasListedLeases(world)) {
		return false;
	}

	const {outageToleranceMs, heartbeatTimeoutMs, clockDrift} = world.limits;
	const minSentAt = seenAt + (outageToleranceMs * (1 + clockDrift));
	const maxReceivedAt = world.now - (heartbeatTimeoutMs * (1 + (2 * clockDrift)));
	const rulesOutOutage = (peer: PeerLiveness) => peer.renewals.some(renewal => renewal.sentAfter > minSentAt && renewal.receivedAt <= maxReceivedAt);
	const others = getVoters(world);
	if (id === world.self.id) {
		return others.length === 0 || isMajority(others.filter(peer => rulesOutOutage(peer)).length + successorVoteWeight, others.length + 1);
	}

	const ownVote = world.lease.renewedAt > minSentAt && world.lease.confirmedAt <= maxReceivedAt ? 1 : 0;
	// Router `id` may not know routers that joined since, so there must be a majority without them as well.
	const knownBefore = others.filter(peer => peer.firstSeenAt < seenAt);
	return [others, knownBefore].every(list => isMajority(list.filter(peer => rulesOutOutage(peer)).length + ownVote, list.length + 1));
}

/** Whether the leases have been listed since this router started. */
function hasListedLeases(world: World): boolean {
	return world.leasesListedAt > Number.NEGATIVE_INFINITY;
}

function isMajority(votes: number, total: number): boolean {
	return votes * 2 > total;
}

function isAliveById(world: World, id: string): boolean {
	const member = world.members.get(id);
	return member !== undefined && isAlive(world, member);
}

/** A list of instances that lacks this router itself is out of date or of other instances, and proves nothing. */
function isInstanceGone(world: World, peer: PeerLiveness): boolean {
	const {instances, self} = world;
	if (instances === undefined || !instances.has(self.id) || instances.has(peer.member)) {
		return false;
	}

	const member = world.members.get(peer.member);
	return member === undefined || hasLeaseExpired(world, member.leaseSeenAt);
}
