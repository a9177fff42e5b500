/*
The rate at which a cold target may be sent requests. The bound is on the whole fleet, in touch or not, so it is split: each
member has an equal part, and the remainder goes to the members that rendezvous hashing picks for the target. A member
that can't hear the others keeps its part, so the sum never exceeds the bound. A member that has just started doesn't know what
the process before it sent, and waits until that no longer counts.
*/
import {rendezvousScore} from '../hash.ts';
import {second} from '../units.ts';
import type {Gateway} from './gateway.ts';
import type {PoolTarget} from './rows.ts';

/** Requests a second that this instance may send a cold target. */
export function coldShare(gateway: Gateway, target: PoolTarget, fleetRate: number): number {
	const members = Math.max(1, gateway.instances.size);
	const part = Math.floor(fleetRate / members);
	const remainder = Math.floor(fleetRate) - (part * members);
	if (remainder === 0) {
		return part;
	}

	const own = rendezvousScore(target.id, gateway.self.id);
	let ahead = 0;
	for (const {id} of gateway.instances.rows()) {
		if (id !== gateway.self.id && rendezvousScore(target.id, id) > own) {
			ahead += 1;
		}
	}

	return part + (ahead < remainder ? 1 : 0);
}

/** Whether a target is cold, as far as is known here. */
export function isCold({now}: Gateway, target: PoolTarget): boolean {
	return now < target.coldUntil;
}

function forgetOldSends({now}: Gateway, target: PoolTarget) {
	while (target.coldSends.length > 0 && target.coldSends[0]! <= now - second) {
		target.coldSends.shift();
	}
}

/** Whether a target may be sent one more request now; always, once it is warm. */
export function hasColdRoom(gateway: Gateway, target: PoolTarget): boolean {
	if (!isCold(gateway, target)) {
		return true;
	}

	const rate = gateway.catalogue?.pools.get(target.pool)?.coldPerSecond ?? 0;
	if (rate === 0) {
		return true;
	}

	if (gateway.now < gateway.startedAt + second) {
		return false;
	}

	forgetOldSends(gateway, target);
	return target.coldSends.length < coldShare(gateway, target, rate);
}

/** Counts a request that is sent now. */
export function countColdSend(gateway: Gateway, target: PoolTarget) {
	if (isCold(gateway, target)) {
		target.coldSends.push(gateway.now);
	}
}

/**
Counts a target as cold for the time that a start takes: its connections broke, and it may come back as a process that has
just started before the platform lists it anew.
*/
export function suspectRestart(gateway: Gateway, target: PoolTarget) {
	const coldMs = gateway.catalogue?.pools.get(target.pool)?.coldMs ?? 0;
	target.coldUntil = Math.max(target.coldUntil, gateway.now + coldMs);
}
