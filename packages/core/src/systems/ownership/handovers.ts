/*
Hands targets over to other live members: this router stops to serve the target, writes the new record, and then tells
the new owner. It takes the target back when the write is known not to have taken effect.
*/
import {Phase, type TargetHandover} from '../../messages.ts';
import {decodeOwner, getOwnerKey, type OwnerRecord} from '../../records.ts';
import {OwnershipChangeKind, type OwnershipChange, type Ownership} from '../../rows.ts';
import {
	createNonce, send, startStoreOperation, type World,
} from '../../world.ts';
import {drop} from './holdings.ts';
import {applyOwner, settle} from './owner-records.ts';

/** Time after which the result of a handover is looked up again. */
const lookupMs = 500;

/** Time for which a target is served on after a refused handover; each attempt stops it for a moment. */
const refusedMs = 1000;

/** Hands a target over to a member whose lease is known. */
export function handOver(world: World, ownership: Ownership, to: string) {
	const tenure = world.peerLiveness.get(to)?.tenure ?? '';
	if (tenure !== '') {
		startMove(world, ownership, {owner: to, tenure});
	}
}

/** Gives a target up with no new owner, so that any router may claim it at once. */
export function giveUp(world: World, ownership: Ownership) {
	startMove(world, ownership, {owner: '', tenure: ''});
}

/** Whether this router serves a target and nothing speaks against handing it over now. */
export function canHandOver(world: World, target: string): boolean {
	const refusedAt = world.ownerships.get(target)?.handoverRefusedAt ?? Number.NEGATIVE_INFINITY;
	return world.ownedTargets.has(target) && !world.ownershipChanges.has(target) && world.now - refusedAt >= refusedMs;
}

/** Looks up the result of a handover whose answer was lost. */
export function lookUp(world: World, move: OwnershipChange) {
	move.retryAt = world.now + lookupMs;
	startStoreOperation(world, {kind: 'get', key: getOwnerKey(move.target)}, ({result}) => {
		if (world.ownershipChanges.get(move.target) !== move || result.kind !== 'ok') {
			return;
		}

		const record = decodeOwner(result.value);
		const ownership = world.ownerships.get(move.target);
		if (record === undefined || record.nonce === move.record?.nonce || result.version !== ownership?.version) {
			finish(world, move, result.version, record);
		} else {
			takeBack(world, move, ownership);
		}
	});
}

const coldBudget: Pick<TargetHandover, 'phase' | 'budget' | 'entries'> = {phase: Phase.Cold, budget: 0, entries: []};

/** Stops to serve a target, and writes its next record. */
function startMove(world: World, {target, epoch, version}: Ownership, {owner, tenure}: {owner: string; tenure: string}) {
	const record: OwnerRecord = {
		owner, incarnation: tenure, epoch: epoch + 1, nonce: createNonce(world),
	};
	const move: OwnershipChange = {
		target,
		kind: OwnershipChangeKind.Handover,
		retryAt: world.now + lookupMs,
		record,
		handover: {
			kind: 'targetHandover', target, epoch, tenure, version, ...coldBudget, ...drop(world, target),
		},
	};
	world.ownershipChanges.set(move);
	// Sent along with the write, so that the new owner has it once it sees the record; it counts with the record only.
	send(world, owner, {...move.handover!, epoch: record.epoch, version: 0});
	write(world, move, record, version);
}

function write(world: World, move: OwnershipChange, record: OwnerRecord, ifVersion: number) {
	startStoreOperation(world, {
		kind: 'put', key: getOwnerKey(move.target), value: JSON.stringify(record), ifVersion,
	}, ({result}) => {
		if (world.ownershipChanges.get(move.target) !== move) {
			return;
		}

		if (result.kind === 'ok') {
			finish(world, move, result.version, record);
		} else if (result.kind !== 'unavailable') {
			move.isWriteUnconfirmed = true;
			lookUp(world, move);
		} else if (!move.isWriteUnconfirmed) {
			restore(world, move);
		}
	});
}

/** Ends a move with the record that is in force. */
function finish(world: World, move: OwnershipChange, version: number, record: OwnerRecord | undefined) {
	world.ownershipChanges.delete(move.target);
	if (record === undefined) {
		return;
	}

	applyOwner(world, move.target, version, record, move.handover);
	if (record.nonce === move.record?.nonce && move.handover !== undefined) {
		send(world, record.owner, {...move.handover, epoch: record.epoch, version});
	}
}

/** Writes the old record once more, so that the lost write can't take effect later, and serves the target again. */
function takeBack(world: World, move: OwnershipChange, ownership: Ownership) {
	const {owner, tenure: incarnation, epoch, version} = ownership;
	write(world, move, {
		owner, incarnation, epoch, nonce: createNonce(world),
	}, version);
}

/** Serves a target again whose handover was refused by the Object API. */
function restore(world: World, move: OwnershipChange) {
	const ownership = world.ownerships.get(move.target);
	world.ownershipChanges.delete(move.target);
	if (ownership !== undefined) {
		ownership.handoverRefusedAt = world.now;
		ownership.handover = move.handover;
		settle(world, ownership);
	}
}
