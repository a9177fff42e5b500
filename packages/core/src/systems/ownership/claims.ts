/*
Claims targets that nobody owns, or whose owner's lease has ended, by a conditional write of the ownership record.
*/
import {decodeOwner, ownerKey, type OwnerRecord} from '../../records.ts';
import {MoveKind, type Move} from '../../rows.ts';
import {nonce, store, type World} from '../../world.ts';
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

	const move = world.moves.get(target);
	if (move !== undefined && world.now < move.retryAt) {
		return;
	}

	if (ownership === undefined || ownership.owner === '' || ownership.owner === world.self.id) {
		writeClaim(world, startMove(world, target));
	} else if (!holdsLease(world, ownership.owner, ownership.incarnation)) {
		const started = startMove(world, target);
		endLease(world, ownership.owner, ownership.incarnation, () => {
			if (world.moves.get(target) === started && world.ownerships.get(target) === ownership) {
				writeClaim(world, started);
			}
		});
	}
}

/** Whether the tenure under which a target is owned may still be going on, as far as is known here. */
function holdsLease(world: World, owner: string, tenure: string): boolean {
	const member = world.members.get(owner);
	return member !== undefined && world.contacts.get(owner)?.tenure === tenure && !hasLapsed(world, member.leaseSeenAt);
}

function startMove(world: World, target: string): Move {
	const move = {target, kind: MoveKind.Claim, retryAt: world.now + claimRetryMs};
	world.moves.set(move);
	return move;
}

function writeClaim(world: World, move: Move) {
	const {target} = move;
	const ownership = world.ownerships.get(target);
	const record: OwnerRecord = {
		owner: world.self.id,
		incarnation: world.lease.tenure,
		epoch: (ownership?.epoch ?? 0) + 1,
		nonce: nonce(world),
	};
	store(world, {
		kind: 'put', key: ownerKey(target), value: JSON.stringify(record), ifVersion: ownership?.version ?? 0,
	}, ({result}) => {
		if (world.moves.get(target) === move) {
			world.moves.delete(target);
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
	store(world, {kind: 'get', key: ownerKey(target)}, ({result}) => {
		const record = result.kind === 'ok' ? decodeOwner(result.value) : undefined;
		if (result.kind === 'ok' && record !== undefined) {
			applyOwner(world, target, result.version, record);
		}
	});
}
