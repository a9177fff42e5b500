/*
Renews this router's lease and tells whether it may dispatch. The lease object is written by conditional updates only.
Its tenure lasts until another router or a later start of this one ends it; a router whose tenure was ended owns nothing
and starts a new one.
*/
import type {PeerMessageOf} from '../../messages.ts';
import {LogPart} from '../../ports.ts';
import {decodeLease, getLeaseKey, type LeaseRecord} from '../../records.ts';
import type {Member} from '../../rows.ts';
import {
	log, createNonce, pickRandom, send, startStoreOperation, type LeaseRenewal, type StoreReply, type World,
} from '../../world.ts';
import {dropHoldings} from '../ownership/holdings.ts';
import {isStopFinished} from '../stop/leaving.ts';
import {
	hearsMajority, isHeard, mayEndLease, voters,
} from './quorum.ts';

/** Renews the lease when it is due; deletes it at the end of a planned stop. */
export function leaseSystem(world: World) {
	const {lease, limits, now} = world;
	if (lease.isDeleted) {
		return;
	}

	if (lease.renewal !== undefined) {
		attendRenewal(world, lease.renewal);
		return;
	}

	if (isStopFinished(world)) {
		releaseLease(world);
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

/** Whether this router may start new work at the targets that it owns, at this very moment. */
export function mayDispatch(world: World): boolean {
	return world.lease.tenure !== '' && !world.lease.isDeleted && (hasValidLease(world) || isOutage(world));
}

/** Whether this router had a lease and may not dispatch now: it is cut off, or was paused for longer than the lease. */
export function isCutOff(world: World): boolean {
	return world.lease.sequence > 0 && !world.lease.isDeleted && !mayDispatch(world);
}

/** Whether the lease itself is valid, by time counted from before its renewal was sent. */
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

/** Takes the result of a relayed renewal; one of an earlier renewal says nothing of the one in flight. */
export function onLeaseRelayResult(world: World, _from: string, {key, nonce: relayed, version}: PeerMessageOf<'leaseRelayResult'>) {
	const {renewal} = world.lease;
	if (key !== getLeaseKey(world.self.id) || renewal?.record?.nonce !== relayed) {
		return;
	}

	if (version === 0) {
		loseLease(world, 'a relayed renewal found another tenure');
	} else {
		confirm(world, renewal, version);
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

/** Whether the lease lapsed in an outage of the Object API and most of the fleet is still with this router. */
function isOutage(world: World): boolean {
	const {lease} = world;
	return !lease.isOutageRuledOut && world.storeReachedAt <= lease.validUntil && hearsMajority(world);
}

function releaseLease(world: World) {
	const {lease} = world;
	lease.isDeleted = true;
	lease.deletedAt = world.now;
	dropHoldings(world);
	if (lease.version > 0) {
		// A lost answer or an outage leaves the lease to lapse.
		startStoreOperation(world, {kind: 'delete', key: getLeaseKey(world.self.id), ifVersion: lease.version}, () => undefined);
	}
}

function recordOf(world: World, tenure: string): LeaseRecord {
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

/** Writes the lease over the version that is known; a new tenure starts when the write takes effect. */
function writeLease(world: World, tenure = world.lease.tenure) {
	const {lease, now} = world;
	const record = recordOf(world, tenure);
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
			confirm(world, renewal, result.version);
		} else if (result.kind === 'unavailable') {
			relayRenewal(world, renewal);
		} else {
			readLease(world, renewal);
		}
	});
}

/** Reads the lease object to learn its version, and whether a write whose answer was lost took effect. */
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
		confirm(world, renewal, version);
	} else if (lease.tenure !== '' && current?.tenure === lease.tenure) {
		// An earlier renewal took effect after all; renew again over its version.
		lease.renewal = undefined;
		lease.version = version;
		lease.sequence = Math.max(lease.sequence, current.sequence);
		lease.nextRenewalAt = now;
	} else if (lease.tenure === '') {
		succeed(world, version, current);
	} else {
		loseLease(world, 'another tenure holds the lease');
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

/** Takes the lease over from an earlier start of this router, once that one has surely stopped. */
function succeed(world: World, version: number, current: LeaseRecord | undefined) {
	const {lease, now, self} = world;
	const held = current?.nonce ?? '';
	if (lease.predecessor?.nonce !== held) {
		lease.predecessor = {nonce: held, seenAt: now};
	}

	// A lease of this very start is one whose write got no answer in time; nothing was ever done under it.
	const isOwn = current?.incarnation === self.incarnation;
	// One process at a time binds an address: the earlier one has ended.
	const isReplaced = self.boundAddress !== undefined && current?.boundAddress === self.boundAddress;
	if (current === undefined || isOwn || isReplaced || mayEndLease(world, self.id, lease.predecessor.seenAt)) {
		lease.version = version;
		lease.sequence = current?.sequence ?? 0;
		lease.predecessor = undefined;
		writeLease(world, createNonce(world));
	} else {
		endAttempt(world);
	}
}

function confirm(world: World, {record, sentAt}: LeaseRenewal, version: number) {
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

function endAttempt(world: World) {
	const {lease, limits, now} = world;
	lease.renewal = undefined;
	lease.nextRenewalAt = Math.min(lease.nextRenewalAt, now + (limits.leaseRenewMs / 4));
}

/** Has a renewal that gets no answer relayed, and then gives it up; a conflict later shows whether it took effect. */
function attendRenewal(world: World, renewal: LeaseRenewal) {
	const {leaseRenewMs} = world.limits;
	const waited = world.now - renewal.sentAt;
	if (waited >= leaseRenewMs) {
		endAttempt(world);
	} else if (waited >= leaseRenewMs / 2 && !renewal.isRelayed) {
		relayRenewal(world, renewal);
	}
}

/** Asks a peer that reaches the Object API to write the renewal. */
function relayRenewal(world: World, renewal: LeaseRenewal) {
	const {lease} = world;
	if (renewal.isRelayed) {
		return;
	}

	const peer = pickRandom(world, relayPeers(world));
	if (peer === undefined || renewal.record === undefined || lease.tenure === '') {
		endAttempt(world);
		return;
	}

	renewal.isRelayed = true;
	send(world, peer.id, {
		kind: 'leaseRelay', key: getLeaseKey(world.self.id), value: JSON.stringify(renewal.record), ifVersion: lease.version,
	});
}

/** Members that are heard and whose lease was renewed of late. */
function relayPeers(world: World): Member[] {
	const {limits, now} = world;
	return voters(world).flatMap(contact => world.members.get(contact.member) ?? [])
		.filter(member => isHeard(world, member) && now - member.leaseSeenAt < 2 * limits.leaseRenewMs);
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
	dropHoldings(world);
}
