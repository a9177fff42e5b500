/*
Claims targets that nobody owns, or whose owner's lease has ended, by a conditional write of the ownership record.
*/
import {decodeOwner, getOwnerKey, type OwnerRecord} from '../../records.ts';
import {OwnershipChangeKind, type OwnershipChange} from '../../rows.ts';
import {createNonce, startStoreOperation, type World} from '../../world.ts';
import {endLease} from '../membership/lapse.ts';
import {hasLapsed} from '../membership/quorum.ts';
import {applyOwner, isOwn, settle} from './owner-records.ts';

/** Time after which a claim that came to nothing is tried again. */
const claimRetryMs = 500;

/** Claims a target unless its owner is alive. */
export function claim(world: World, target: string) {
	const ownership = world.ownerships.get(target);
	if (ownership !== undefined && isOwn(world, ownership)) {
		settle(world, ownership);
		return;
	}

	const move = world.ownershipChanges.get(target);
	if (move !== undefined && world.now < move.retryAt) {
		return;
	}

	if (ownership === undefined || ownership.owner === '' || ownership.owner === world.self.id) {
		writeClaim(world, startMove(world, target));
	} else if (!holdsLease(world, ownership.owner, ownership.tenure)) {
		const started = startMove(world, target);
		endLease(world, ownership.owner, ownership.tenure, () => {
			if (world.ownershipChanges.get(target) === started && world.ownerships.get(target) === ownership) {
				writeClaim(world, started);
			}
		});
	}
}

/** Whether the tenure under which a target is owned may still be going on, as far as is known here. */
function holdsLease(world: World, owner: string, tenure: string): boolean {
	const member = world.members.get(owner);
	return member !== undefined && world.peerLiveness.get(owner)?.tenure === tenure && !hasLapsed(world, member.leaseSeenAt);
}

function startMove(world: World, target: string): OwnershipChange {
	const move = {target, kind: OwnershipChangeKind.Claim, retryAt: world.now + claimRetryMs};
	world.ownershipChanges.set(move);
	return move;
}

function writeClaim(world: World, move: OwnershipChange) {
	const {target} = move;
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
		if (world.ownershipChanges.get(target) === move) {
			world.ownershipChanges.delete(target);
		}

		if (result.kind === 'ok') {
			applyOwner(world, target, result.version, record);
		} else if (result.kind !== 'unavailable') {
			readOwner(world, target);
		}
	});
}

/** Reads a record of which another version may exist; a write of this router whose answer was lost shows up here. */
export function readOwner(world: World, target: string) {
	startStoreOperation(world, {kind: 'get', key: getOwnerKey(target)}, ({result}) => {
		const record = result.kind === 'ok' ? decodeOwner(result.value) : undefined;
		if (result.kind === 'ok' && record !== undefined) {
			applyOwner(world, target, result.version, record);
		}
	});
}
