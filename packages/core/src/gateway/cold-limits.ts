/*
Rate limit of requests to a cold target. The limit holds for the whole fleet, also while instances can't reach each
other, so it is split: each primary instance has an equal share, and the remainder goes to those that rendezvous
hashing selects for the target. An instance that receives no digests keeps its share, so the sum never exceeds the
limit. An instance that has just started doesn't know what its previous process sent, and waits until those sends no
longer count. Digests report cold targets to instances that can't reach the platform; until one arrives, such an
instance sends little to targets that haven't answered it recently.
*/
import {countPreferred} from '../rendezvous-hash.ts';
import {second} from '../units.ts';
import type {Gateway} from './gateway.ts';
import {isDataReturnRecent} from './platform-data.ts';
import type {Instance, PoolTarget} from './rows.ts';
import {getLimitHolders} from './serving-set.ts';

/** Computes the requests per second that this instance may send to a cold target. */
export function computeColdShare(gateway: Gateway, target: PoolTarget, fleetRate: number): number {
	const {holders, isHolder} = getLimitHolders(gateway);
	if (!isHolder) {
		return 0;
	}

	const members = Math.max(1, holders.length);
	const baseShare = Math.floor(fleetRate / members);
	const remainder = Math.floor(fleetRate) - (baseShare * members);
	if (remainder === 0) {
		return baseShare;
	}

	return baseShare + (countPreferred(target.id, gateway.self.id, holders) < remainder ? 1 : 0);
}

/** Whether a target is known to be cold, from the platform's list, a failed send or a digest. */
export function isCold({now}: Gateway, {coldUntil, reportedColdUntil}: PoolTarget): boolean {
	return now < Math.max(coldUntil, reportedColdUntil);
}

/**
Whether a target may have restarted unnoticed: the platform can't be reached or lists an older entry of it, and it hasn't answered
recently.
*/
export function mayHaveRestartedUnnoticed(gateway: Gateway, {running, lastAnswerAt, isRestored}: PoolTarget): boolean {
	const isListCurrent = gateway.platform.isReached && !(isRestored && isDataReturnRecent(gateway));
	return !isListCurrent && running === 0 && gateway.now - lastAnswerAt > gateway.limits.suspectedRestartAfterMs;
}

/** Whether a target isn't known to be cold, but may be, after a suspected restart. */
function isRestartSuspected(gateway: Gateway, target: PoolTarget): boolean {
	return !isCold(gateway, target) && (gateway.now < target.suspectedRestartUntil || mayHaveRestartedUnnoticed(gateway, target));
}

function removeOldSends({now}: Gateway, target: PoolTarget) {
	while (target.coldSendTimes.length > 0 && target.coldSendTimes[0]! <= now - second) {
		target.coldSendTimes.shift();
	}
}

/** Whether the rate limit allows one more request to a target now; always true for a warm one. */
export function isWithinColdRate(gateway: Gateway, target: PoolTarget): boolean {
	const isSuspected = isRestartSuspected(gateway, target);
	if (!isCold(gateway, target) && !isSuspected) {
		return true;
	}

	const rate = gateway.catalogue?.pools.get(target.pool)?.coldPerSecond ?? 0;
	if (rate === 0) {
		return true;
	}

	if (!isSuspected && gateway.now < gateway.startedAt + second) {
		return false;
	}

	removeOldSends(gateway, target);
	const share = computeColdShare(gateway, target, rate);
	// In a fleet with more instances than the rate has requests per second, most have no share: they would have no target
	// in an outage.
	return target.coldSendTimes.length < (isSuspected ? Math.max(1, share) : share);
}

/** Records a request that is about to be sent, when the target is or may be cold. */
export function recordColdSend(gateway: Gateway, target: PoolTarget) {
	if (mayHaveRestartedUnnoticed(gateway, target)) {
		target.suspectedRestartUntil = gateway.now + getColdMs(gateway, target);
	}

	if (isCold(gateway, target) || isRestartSuspected(gateway, target)) {
		target.coldSendTimes.push(gateway.now);
	}
}

/** Applies the cold targets that another instance reported in a digest. */
export function applyReportedColdTargets({targets, now}: Gateway, {targets: entries}: Pick<Instance, 'targets'>) {
	for (const {target: id, coldForMs} of entries) {
		const target = targets.get(id);
		if (target && coldForMs > 0) {
			target.reportedColdUntil = Math.max(target.reportedColdUntil, now + coldForMs);
		}
	}
}

/** Time for which a target is cold after its start. */
function getColdMs({catalogue}: Gateway, {pool}: PoolTarget): number {
	return catalogue?.pools.get(pool)?.coldMs ?? 0;
}

/**
Treats a target as cold for the time that a start takes: its connections broke, and it may come back as a new process before
the platform lists that start.
*/
export function suspectRestart(gateway: Gateway, target: PoolTarget) {
	target.coldUntil = Math.max(target.coldUntil, gateway.now + getColdMs(gateway, target));
}
