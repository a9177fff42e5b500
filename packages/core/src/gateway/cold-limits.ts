/*
The rate at which a cold target may be sent requests. The bound is on the whole fleet, in touch or not, so it is split: each
member has an equal part, and the remainder goes to the members that rendezvous hashing picks for the target. A member
that can't hear the others keeps its part, so the sum never exceeds the bound. A member that has just started doesn't know what
the process before it sent, and waits until that no longer counts. Digests tell of cold targets to members that don't reach the
platform; until they do, such a member sends little to targets that it has had no contact with.
*/
import {computeRendezvousScore} from '../rendezvous-hash.ts';
import {second} from '../units.ts';
import type {Gateway} from './gateway.ts';
import type {Instance, PoolTarget} from './rows.ts';

/** Requests a second that this instance may send a cold target. */
export function coldShare(gateway: Gateway, target: PoolTarget, fleetRate: number): number {
	const members = Math.max(1, gateway.instances.size);
	const part = Math.floor(fleetRate / members);
	const remainder = Math.floor(fleetRate) - (part * members);
	if (remainder === 0) {
		return part;
	}

	const own = computeRendezvousScore(target.id, gateway.self.id);
	let ahead = 0;
	for (const {id} of gateway.instances.rows()) {
		if (id !== gateway.self.id && computeRendezvousScore(target.id, id) > own) {
			ahead += 1;
		}
	}

	return part + (ahead < remainder ? 1 : 0);
}

/** Whether a target is cold, as far as is known here. */
export function isCold({now}: Gateway, {coldUntil, coldUntilElsewhere}: PoolTarget): boolean {
	return now < Math.max(coldUntil, coldUntilElsewhere);
}

/** Whether a target may have started again without this instance having noticed. */
function isOutOfContact({platform, now, limits}: Gateway, {running, contactAt}: PoolTarget): boolean {
	return !platform.isReached && running === 0 && now - contactAt > limits.contactMs;
}

/** Whether a target isn't known to be cold, but may be. */
function isDoubtful(gateway: Gateway, target: PoolTarget): boolean {
	return !isCold(gateway, target) && (gateway.now < target.doubtUntil || isOutOfContact(gateway, target));
}

function forgetOldSends({now}: Gateway, target: PoolTarget) {
	while (target.coldSends.length > 0 && target.coldSends[0]! <= now - second) {
		target.coldSends.shift();
	}
}

/** Whether a target may be sent one more request now; always, once it is warm. */
export function hasColdRoom(gateway: Gateway, target: PoolTarget): boolean {
	const isDoubted = isDoubtful(gateway, target);
	if (!isCold(gateway, target) && !isDoubted) {
		return true;
	}

	const rate = gateway.catalogue?.pools.get(target.pool)?.coldPerSecond ?? 0;
	if (rate === 0) {
		return true;
	}

	if (!isDoubted && gateway.now < gateway.startedAt + second) {
		return false;
	}

	forgetOldSends(gateway, target);
	const share = coldShare(gateway, target, rate);
	// In a fleet with more members than the rate, most have no share of it: they would be without targets in each outage.
	return target.coldSends.length < (isDoubted ? Math.max(1, share) : share);
}

/** Counts a request that is about to be sent. */
export function countColdSend(gateway: Gateway, target: PoolTarget) {
	if (isOutOfContact(gateway, target)) {
		target.doubtUntil = gateway.now + coldMsOf(gateway, target);
	}

	if (isCold(gateway, target) || isDoubtful(gateway, target)) {
		target.coldSends.push(gateway.now);
	}
}

/** Takes over what another instance tells of cold targets. */
export function noteColdElsewhere({targets, now}: Gateway, {targets: entries}: Pick<Instance, 'targets'>) {
	for (const {target: id, coldForMs} of entries) {
		const target = targets.get(id);
		if (target && coldForMs > 0) {
			target.coldUntilElsewhere = Math.max(target.coldUntilElsewhere, now + coldForMs);
		}
	}
}

/** Time for which a target is cold after its start. */
function coldMsOf({catalogue}: Gateway, {pool}: PoolTarget): number {
	return catalogue?.pools.get(pool)?.coldMs ?? 0;
}

/**
Counts a target as cold for the time that a start takes: its connections broke, and it may come back as a process that has
just started before the platform lists it anew.
*/
export function suspectRestart(gateway: Gateway, target: PoolTarget) {
	target.coldUntil = Math.max(target.coldUntil, gateway.now + coldMsOf(gateway, target));
}
