/*
Decides from what leases and digests prove: whether this router may go on while the Object API is down, and whether the
fleet knows so surely that the Object API is up that a silent member's lease may be ended. The two exclude each other,
since each needs a strict majority of the same members; docs/design/membership.md has the argument.
*/
import type {PeerLiveness, Member} from '../../rows.ts';
import type {World} from '../../world.ts';

/**
Part that a router counts for when it succeeds its own earlier start. That one counts itself too, so the two majorities
must share one of the others: half of all members is just enough for that.
*/
const successorShare = 0.5;

/** Other routers that count in majorities: those with a lease, less those that lapsed and whose instance is gone. */
export function voters(world: World): PeerLiveness[] {
	return [...world.peerLiveness.rows()].filter(contact => contact.tenure !== '' && !isGone(world, contact));
}

/** Whether the last digest heard of a member is younger than `heardMs`. */
export function isHeard(world: World, member: Member): boolean {
	return world.now - member.lastHeartbeatAt < world.limits.heartbeatTimeoutMs;
}

/** Whether a lease that was first seen at `seenAt` has surely lapsed for its holder too. */
export function hasLapsed(world: World, seenAt: number): boolean {
	const {leaseDurationMs, clockDrift} = world.limits;
	return world.now >= seenAt + (leaseDurationMs * (1 + clockDrift));
}

/** Whether this router hears a strict majority of the last-known members, itself included, that support going on. */
export function hearsMajority(world: World): boolean {
	if (!knowsMembers(world)) {
		return false;
	}

	const others = voters(world);
	const supporting = others.filter(contact => contact.countsTowardsQuorum && isHeardById(world, contact.member));
	return isMajority(supporting.length + 1, others.length + 1);
}

/**
Whether the lease of `holder`, whose latest renewal was first seen at `seenAt`, may be ended: it has lapsed, and a
strict majority has told, for longer than any member counts as heard, of renewals that were sent so late that the holder
must take the Object API for up.
*/
export function mayEndLease(world: World, holder: string, seenAt: number): boolean {
	if (!hasLapsed(world, seenAt) || !knowsMembers(world)) {
		return false;
	}

	const {outageToleranceMs: outageSlackMs, heartbeatTimeoutMs: heardMs, clockDrift} = world.limits;
	const after = seenAt + (outageSlackMs * (1 + clockDrift));
	const toldBy = world.now - (heardMs * (1 + (2 * clockDrift)));
	const isKnowing = (contact: PeerLiveness) => contact.renewals.some(renewal => renewal.sentAfter > after && renewal.receivedAt <= toldBy);
	const others = voters(world);
	if (holder === world.self.id) {
		return others.length === 0 || isMajority(others.filter(contact => isKnowing(contact)).length + successorShare, others.length + 1);
	}

	const self = world.lease.renewedAt > after && world.lease.confirmedAt <= toldBy ? 1 : 0;
	// Routers that joined since may be unknown to the holder, so the majority must hold without them as well.
	const settled = others.filter(contact => contact.firstSeenAt < seenAt);
	return [others, settled].every(list => isMajority(list.filter(contact => isKnowing(contact)).length + self, list.length + 1));
}

/** Whether the leases have been listed since this router started. */
function knowsMembers(world: World): boolean {
	return world.leasesListedAt > Number.NEGATIVE_INFINITY;
}

function isMajority(part: number, whole: number): boolean {
	return part * 2 > whole;
}

function isHeardById(world: World, id: string): boolean {
	const member = world.members.get(id);
	return member !== undefined && isHeard(world, member);
}

/** A list that lacks this router itself is too old, or tells of other instances, and proves nothing. */
function isGone(world: World, contact: PeerLiveness): boolean {
	const {instances, self} = world;
	if (instances === undefined || !instances.has(self.id) || instances.has(contact.member)) {
		return false;
	}

	const member = world.members.get(contact.member);
	return member === undefined || hasLapsed(world, member.leaseSeenAt);
}
