/*
Claims targets that nobody owns, or whose owner's lease has ended, by a conditional write of the ownership record.
*/
import {decodeOwner, getOwnerKey, type OwnerRecord} from '../../records.ts';
import {OwnershipChangeKind, type OwnershipChange} from '../../rows.ts';
import {createNonce, startStoreOperation, type World} from '../../world.ts';
import {endLease} from '../membership/lease-expiry.ts';
import {hasLeaseExpired} from '../membership/quorum.ts';
import {applyOwnerRecord, isOwnedHere, reconcileTarget} from './owner-records.ts';

/** Time after which a claim without a result is tried again. */
const claimRetryMs = 500;

/** Claims a target unless the lease of its owner may still be valid. */
export function claimTarget(world: World, target: string) {
	const ownership = world.ownerships.get(target);
	if (ownership !== undefined && isOwnedHere(world, ownership)) {
		reconcileTarget(world, ownership);
		return;
	}

	const pending = world.ownershipChanges.get(target);
	if (pending !== undefined && world.now < pending.retryAt) {
		return;
	}

	if (ownership === undefined || ownership.owner === '' || ownership.owner === world.self.id) {
		writeClaim(world, startClaim(world, target));
	} else if (!mayHoldLease(world, ownership.owner, ownership.tenure)) {
		const change = startClaim(world, target);
		endLease(world, ownership.owner, ownership.tenure, () => {
			if (world.ownershipChanges.get(target) === change && world.ownerships.get(target) === ownership) {
				writeClaim(world, change);
			}
		});
	}
}

/** Whether, as far as is known here, the tenure under which a target is owned may still last. */
function mayHoldLease(world: World, owner: string, tenure: string): boolean {
	const member = world.members.get(owner);
	return member !== undefined && world.peerLiveness.get(owner)?.tenure === tenure && !hasLeaseExpired(world, member.leaseSeenAt);
}

function startClaim(world: World, target: string): OwnershipChange {
	const change = {target, kind: OwnershipChangeKind.Claim, retryAt: world.now + claimRetryMs};
	world.ownershipChanges.set(change);
	return change;
}

function writeClaim(world: World, change: OwnershipChange) {
	const {target} = change;
	const ownership = world.ownerships.get(target);
	const record: OwnerRecord = {
		owner: world.self.id,
		incarnation: world.lease.tenure,
		epoch: (ownership?.epoch ?? 0) + 1,
		nonce: createNonce(world),
	};
	startStoreOperation(world, {
		kind: 'put', key: getOwnerKey(target), value: JSON.stringify(record), ifVersion: ownership?.version ?? 0,
	}, ({result}) => {
		if (world.ownershipChanges.get(target) === change) {
			world.ownershipChanges.delete(target);
		}

		if (result.kind === 'ok') {
			applyOwnerRecord(world, target, result.version, record);
		} else if (result.kind !== 'unavailable') {
			readOwnerRecord(world, target);
		}
	});
}

/** Reads a record that may have a newer version, for instance by a write of this router whose answer was lost. */
export function readOwnerRecord(world: World, target: string) {
	startStoreOperation(world, {kind: 'get', key: getOwnerKey(target)}, ({result}) => {
		const record = result.kind === 'ok' ? decodeOwner(result.value) : undefined;
		if (result.kind === 'ok' && record !== undefined) {
			applyOwnerRecord(world, target, result.version, record);
		}
	});
}
