/*
Hands targets over to other available members: this router stops serving the target, writes the new record, and then
sends the new owner a handover message. It serves the target again once it is certain that the write has not taken effect.
*/
import {Phase, type TargetHandover} from '../../messages.ts';
import {decodeOwner, getOwnerKey, type OwnerRecord} from '../../records.ts';
import {OwnershipChangeKind, type OwnershipChange, type Ownership} from '../../rows.ts';
import {
	createNonce, send, startStoreOperation, type World,
} from '../../world.ts';
import {stopServing} from './owned-targets.ts';
import {applyOwnerRecord, reconcileTarget} from './owner-records.ts';

/** Interval between two reads of the result of a handover. */
const resultCheckMs = 500;

/** Time between a refused handover and the next attempt, since each attempt interrupts serving the target for a moment. */
const refusedRetryMs = 1000;

/** Hands a target over to a member whose lease is known. */
export function startHandover(world: World, ownership: Ownership, to: string) {
	const tenure = world.peerLiveness.get(to)?.tenure ?? '';
	if (tenure !== '') {
		transferOwnership(world, ownership, {owner: to, tenure});
	}
}

/** Gives up a target without a new owner, so that any router may claim it at once. */
export function relinquishTarget(world: World, ownership: Ownership) {
	transferOwnership(world, ownership, {owner: '', tenure: ''});
}

/** Whether this router serves a target, isn't changing its ownership and hasn't just been refused a handover. */
export function canHandOver(world: World, target: string): boolean {
	const refusedAt = world.ownerships.get(target)?.handoverRefusedAt ?? Number.NEGATIVE_INFINITY;
	return world.ownedTargets.has(target) && !world.ownershipChanges.has(target) && world.now - refusedAt >= refusedRetryMs;
}

/** Reads the result of a handover whose answer was lost. */
export function checkHandoverResult(world: World, change: OwnershipChange) {
	change.retryAt = world.now + resultCheckMs;
	startStoreOperation(world, {kind: 'get', key: getOwnerKey(change.target)}, ({result}) => {
		if (world.ownershipChanges.get(change.target) !== change || result.kind !== 'ok') {
			return;
		}

		const record = decodeOwner(result.value);
		const ownership = world.ownerships.get(change.target);
		if (record === undefined || record.nonce === change.record?.nonce || result.version !== ownership?.version) {
			finishChange(world, change, result.version, record);
		} else {
			rewriteOldRecord(world, change, ownership);
		}
	});
}

const defaultHandoverState: Pick<TargetHandover, 'phase' | 'budget' | 'entries'> = {phase: Phase.Cold, budget: 0, entries: []};

/** Stops serving a target, and writes its next record. */
function transferOwnership(world: World, {target, epoch, version}: Ownership, {owner, tenure}: {owner: string; tenure: string}) {
	const record: OwnerRecord = {
		owner, incarnation: tenure, epoch: epoch + 1, nonce: createNonce(world),
	};
	const change: OwnershipChange = {
		target,
		kind: OwnershipChangeKind.Handover,
		retryAt: world.now + resultCheckMs,
		record,
		handover: {
			kind: 'targetHandover', target, epoch, tenure, version, ...defaultHandoverState, ...stopServing(world, target),
		},
	};
	world.ownershipChanges.set(change);
	// Sent along with the write, so that the new owner has it when it sees the record; it has no effect without the record.
	send(world, owner, {...change.handover!, epoch: record.epoch, version: 0});
	writeRecord(world, change, record, version);
}

function writeRecord(world: World, change: OwnershipChange, record: OwnerRecord, ifVersion: number) {
	startStoreOperation(world, {
		kind: 'put', key: getOwnerKey(change.target), value: JSON.stringify(record), ifVersion,
	}, ({result}) => {
		if (world.ownershipChanges.get(change.target) !== change) {
			return;
		}

		if (result.kind === 'ok') {
			finishChange(world, change, result.version, record);
		} else if (result.kind !== 'unavailable') {
			change.isWriteUnconfirmed = true;
			checkHandoverResult(world, change);
		} else if (!change.isWriteUnconfirmed) {
			resumeServing(world, change);
		}
	});
}

/** Ends an ownership change with the record that is in force. */
function finishChange(world: World, change: OwnershipChange, version: number, record: OwnerRecord | undefined) {
	world.ownershipChanges.delete(change.target);
	if (record === undefined) {
		return;
	}

	applyOwnerRecord(world, change.target, version, record, change.handover);
	if (record.nonce === change.record?.nonce && change.handover !== undefined) {
		send(world, record.owner, {...change.handover, epoch: record.epoch, version});
	}
}

/** Writes the old record again, so that the unconfirmed write can't take effect later; then serves the target again. */
function rewriteOldRecord(world: World, change: OwnershipChange, ownership: Ownership) {
	const {owner, tenure: incarnation, epoch, version} = ownership;
	writeRecord(world, change, {
		owner, incarnation, epoch, nonce: createNonce(world),
	}, version);
}

/** Serves a target again whose handover was refused by the Object API. */
function resumeServing(world: World, change: OwnershipChange) {
	const ownership = world.ownerships.get(change.target);
	world.ownershipChanges.delete(change.target);
	if (ownership !== undefined) {
		ownership.handoverRefusedAt = world.now;
		ownership.handover = change.handover;
		reconcileTarget(world, ownership);
	}
}
