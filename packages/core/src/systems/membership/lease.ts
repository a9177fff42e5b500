/*
Renews this router's lease and decides whether the router may dispatch. The lease object is written by conditional
updates only. Its tenure lasts until another router or a later start of this one ends it; a router whose tenure was ended
owns nothing and starts a new one.
*/
import type {PeerMessageOf} from '../../messages.ts';
import {LogPart} from '../../ports.ts';
import {decodeLease, getLeaseKey, type LeaseRecord} from '../../records.ts';
import type {Member} from '../../rows.ts';
import {
	log, createNonce, pickRandom, send, startStoreOperation, type LeaseRenewal, type StoreReply, type World,
} from '../../world.ts';
import {stopServingAll} from '../ownership/owned-targets.ts';
import {isStopFinished} from '../stop/leaving.ts';
import {
	hasQuorum, isAlive, canEndLease, getVoters,
} from './quorum.ts';

/** Renews the lease when it is due; deletes it at the end of a planned stop. */
export function leaseSystem(world: World) {
	const {lease, limits, now} = world;
	if (lease.isDeleted) {
		return;
	}

	if (lease.renewal !== undefined) {
		checkRenewalInFlight(world, lease.renewal);
		return;
	}

	if (isStopFinished(world)) {
		deleteLease(world);
		return;
	}

	if (now >= lease.nextRenewalAt) {
		lease.nextRenewalAt = now + limits.leaseRenewMs;
		if (lease.version === 0) {
			const renewal = {record: undefined, sentAt: now, isRelayed: false};
			lease.renewal = renewal;
			readLease(world, renewal);
		} else {
			writeLease(world);
		}
	}
}

/** Whether this router may start new work now at the targets that it owns. */
export function canDispatch(world: World): boolean {
	return world.lease.tenure !== '' && !world.lease.isDeleted && (hasValidLease(world) || isOutageWithQuorum(world));
}

/** Whether this router had a lease and may not dispatch now: it is cut off, or was paused for longer than the lease. */
export function isCutOff(world: World): boolean {
	return world.lease.sequence > 0 && !world.lease.isDeleted && !canDispatch(world);
}

/** Whether the lease itself is valid; its duration counts from just before its renewal was sent. */
export function hasValidLease(world: World): boolean {
	return world.now < world.lease.validUntil;
}

/** Renews the lease of a peer that can't reach the Object API. */
export function onLeaseRelay(world: World, from: string, {key, value, ifVersion}: PeerMessageOf<'leaseRelay'>) {
	const renewal = decodeLease(value);
	if (renewal === undefined || key !== getLeaseKey(from)) {
		return;
	}

	const answer = (version: number) => {
		send(world, from, {
			kind: 'leaseRelayResult', key, nonce: renewal.nonce, version,
		});
	};

	const put = (version: number, onConflict: () => void) => {
		startStoreOperation(world, {
			kind: 'put', key, value, ifVersion: version,
		}, ({result}) => {
			relayHandlers[result.kind]?.(result.kind === 'ok' ? result.version : 0, answer, onConflict);
		});
	};

	put(ifVersion, () => {
		startStoreOperation(world, {kind: 'get', key}, ({result}) => {
			const current = result.kind === 'ok' ? decodeLease(result.value) : undefined;
			if (result.kind === 'ok' && current?.nonce === renewal.nonce) {
				answer(result.version);
			} else if (result.kind === 'ok' && current?.tenure === renewal.tenure && current.sequence < renewal.sequence) {
				put(result.version, () => undefined);
			} else if (result.kind === 'ok' || result.kind === 'absent') {
				answer(0);
			}
		});
	});
}

/** Applies the result of a relayed renewal; that of an earlier one is ignored, as it says nothing about the one in flight. */
export function onLeaseRelayResult(world: World, _from: string, {key, nonce: relayedNonce, version}: PeerMessageOf<'leaseRelayResult'>) {
	const {renewal} = world.lease;
	if (key !== getLeaseKey(world.self.id) || renewal?.record?.nonce !== relayedNonce) {
		return;
	}

	if (version === 0) {
		loseLease(world, 'a relayed renewal was refused, since the lease was deleted or replaced');
	} else {
		confirmRenewal(world, renewal, version);
	}
}

type RelayHandler = (version: number, answer: (version: number) => void, onConflict: () => void) => void;

const relayHandlers: Partial<Record<StoreReply['result']['kind'], RelayHandler>> = {
	ok(version, answer) {
		answer(version);
	},
	conflict(_version, _answer, onConflict) {
		onConflict();
	},
	absent(_version, answer) {
		answer(0);
	},
};

/** Whether the lease expired in an outage of the Object API and this router still has a quorum. */
function isOutageWithQuorum(world: World): boolean {
	const {lease} = world;
	return !lease.isOutageRuledOut && world.storeReachedAt <= lease.validUntil && hasQuorum(world);
}

function deleteLease(world: World) {
	const {lease} = world;
	lease.isDeleted = true;
	lease.deletedAt = world.now;
	stopServingAll(world);
	if (lease.version > 0) {
		// The reply is ignored: if the delete is lost or fails in an outage, the lease expires.
		startStoreOperation(world, {kind: 'delete', key: getLeaseKey(world.self.id), ifVersion: lease.version}, () => undefined);
	}
}

function createLeaseRecord(world: World, tenure: string): LeaseRecord {
	const {self, lease, limits} = world;
	return {
		nonce: createNonce(world),
		incarnation: self.incarnation,
		tenure,
		sequence: Math.max(lease.sequence, lease.attemptedSequence) + 1,
		state: world.state,
		failureDomain: self.failureDomain,
		callerUrl: self.callerUrl,
		peerUrl: self.peerUrl,
		boundAddress: self.boundAddress ?? '',
		durationMs: limits.leaseDurationMs,
	};
}

/** Writes the lease over its known version; a new tenure starts when the write is confirmed. */
function writeLease(world: World, tenure = world.lease.tenure) {
	const {lease, now} = world;
	const record = createLeaseRecord(world, tenure);
	const renewal = {record, sentAt: now, isRelayed: false};
	lease.renewal = renewal;
	lease.attemptedSequence = record.sequence;
	startStoreOperation(world, {
		kind: 'put', key: getLeaseKey(world.self.id), value: JSON.stringify(record), ifVersion: lease.version,
	}, ({result}) => {
		if (lease.renewal !== renewal) {
			return;
		}

		if (result.kind === 'ok') {
			confirmRenewal(world, renewal, result.version);
		} else if (result.kind === 'unavailable') {
			relayRenewal(world, renewal);
		} else {
			readLease(world, renewal);
		}
	});
}

/** Reads the lease object for its version, and to find out whether a write whose answer was lost took effect. */
function readLease(world: World, renewal: LeaseRenewal) {
	const {lease} = world;
	startStoreOperation(world, {kind: 'get', key: getLeaseKey(world.self.id)}, ({result}) => {
		if (lease.renewal !== renewal) {
			return;
		}

		if (result.kind === 'ok') {
			onLeaseRead(world, renewal, result.version, decodeLease(result.value));
		} else if (result.kind === 'absent') {
			onLeaseAbsent(world);
		} else {
			relayRenewal(world, renewal);
		}
	});
}

function onLeaseRead(world: World, renewal: LeaseRenewal, version: number, current: LeaseRecord | undefined) {
	const {lease, now} = world;
	if (renewal.record !== undefined && current?.nonce === renewal.record.nonce) {
		confirmRenewal(world, renewal, version);
	} else if (lease.tenure !== '' && current?.tenure === lease.tenure) {
		// An earlier renewal took effect after all; renew again over its version.
		lease.renewal = undefined;
		lease.version = version;
		lease.sequence = Math.max(lease.sequence, current.sequence);
		lease.nextRenewalAt = now;
	} else if (lease.tenure === '') {
		takeOverFromEarlierStart(world, version, current);
	} else {
		loseLease(world, 'the lease object has another tenure');
	}
}

function onLeaseAbsent(world: World) {
	const {lease} = world;
	if (lease.tenure !== '') {
		loseLease(world, 'the lease was ended by another router');
	}

	lease.version = 0;
	lease.predecessor = undefined;
	writeLease(world, createNonce(world));
}

/** Takes the lease over from an earlier start of this router once that start has certainly stopped dispatching. */
function takeOverFromEarlierStart(world: World, version: number, current: LeaseRecord | undefined) {
	const {lease, now, self} = world;
	const currentNonce = current?.nonce ?? '';
	if (lease.predecessor?.nonce !== currentNonce) {
		lease.predecessor = {nonce: currentNonce, seenAt: now};
	}

	// A write of this same start that got no answer in time; no work was started under it.
	const isOwnWrite = current?.incarnation === self.incarnation;
	// Only one process at a time can bind an address, so the earlier process has ended.
	const isAddressReused = self.boundAddress !== undefined && current?.boundAddress === self.boundAddress;
	if (current === undefined || isOwnWrite || isAddressReused || canEndLease(world, self.id, lease.predecessor.seenAt)) {
		lease.version = version;
		lease.sequence = current?.sequence ?? 0;
		lease.predecessor = undefined;
		writeLease(world, createNonce(world));
	} else {
		endAttempt(world);
	}
}

function confirmRenewal(world: World, {record, sentAt}: LeaseRenewal, version: number) {
	const {lease, limits, now} = world;
	if (record === undefined) {
		return;
	}

	if (lease.tenure !== record.tenure) {
		log(world, LogPart.Lease, `started tenure ${record.tenure}`);
		lease.startedAt = now;
	}

	lease.tenure = record.tenure;
	lease.sequence = record.sequence;
	lease.version = version;
	lease.renewal = undefined;
	lease.validUntil = sentAt + (limits.leaseDurationMs * (1 - limits.clockDrift));
	lease.renewedAt = sentAt;
	lease.confirmedAt = now;
	lease.isOutageRuledOut = false;
}

/** Ends an attempt without a result; the next one starts within a quarter of the renewal period. */
function endAttempt(world: World) {
	const {lease, limits, now} = world;
	lease.renewal = undefined;
	lease.nextRenewalAt = Math.min(lease.nextRenewalAt, now + (limits.leaseRenewMs / 4));
}

/**
Has a renewal relayed that got no answer in half the renewal period, and gives it up after the whole period; if it took
effect, the next write conflicts with it.
*/
function checkRenewalInFlight(world: World, renewal: LeaseRenewal) {
	const {leaseRenewMs} = world.limits;
	const elapsedMs = world.now - renewal.sentAt;
	if (elapsedMs >= leaseRenewMs) {
		endAttempt(world);
	} else if (elapsedMs >= leaseRenewMs / 2 && !renewal.isRelayed) {
		relayRenewal(world, renewal);
	}
}

/** Requests a peer that reaches the Object API to write the renewal. */
function relayRenewal(world: World, renewal: LeaseRenewal) {
	const {lease} = world;
	if (renewal.isRelayed) {
		return;
	}

	const peer = pickRandom(world, findRelayPeers(world));
	if (peer === undefined || renewal.record === undefined || lease.tenure === '') {
		endAttempt(world);
		return;
	}

	renewal.isRelayed = true;
	send(world, peer.id, {
		kind: 'leaseRelay', key: getLeaseKey(world.self.id), value: JSON.stringify(renewal.record), ifVersion: lease.version,
	});
}

/** Members that are alive and whose lease was recently renewed. */
function findRelayPeers(world: World): Member[] {
	const {limits, now} = world;
	return getVoters(world).flatMap(peer => world.members.get(peer.member) ?? [])
		.filter(member => isAlive(world, member) && now - member.leaseSeenAt < 2 * limits.leaseRenewMs);
}

function loseLease(world: World, reason: string) {
	const {lease, now} = world;
	log(world, LogPart.Lease, `lost tenure ${lease.tenure}: ${reason}`, 'warn');
	lease.tenure = '';
	lease.version = 0;
	lease.renewal = undefined;
	lease.validUntil = Number.NEGATIVE_INFINITY;
	lease.renewedAt = Number.NEGATIVE_INFINITY;
	lease.nextRenewalAt = now;
	stopServingAll(world);
}
