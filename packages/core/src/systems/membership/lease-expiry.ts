/*
Ends the tenure of a member whose lease has expired, by a conditional delete of its lease object: a renewal that is still
in flight either takes effect first, so that the delete fails, or finds the lease deleted.
*/
import {LogPart} from '../../ports.ts';
import {decodeLease, getLeaseKey, type LeaseRecord} from '../../records.ts';
import {log, startStoreOperation, type World} from '../../world.ts';
import {recordTenureEnd, recordLease} from './peer-liveness.ts';
import {canEndLease} from './quorum.ts';

/** Reads whether a tenure has ended, and ends it if its lease may be ended; `onEnded` runs once it has ended. */
export function endLease(world: World, id: string, tenure: string, onEnded: () => void) {
	startStoreOperation(world, {kind: 'get', key: getLeaseKey(id)}, ({result}) => {
		if (result.kind === 'absent') {
			recordTenureEnd(world, id, tenure);
			onEnded();
			return;
		}

		const record = result.kind === 'ok' ? decodeLease(result.value) : undefined;
		if (result.kind !== 'ok' || record === undefined) {
			return;
		}

		recordLease(world, id, result.version, record);
		if (record.tenure === tenure) {
			deleteIfExpired(world, id, result.version, record, onEnded);
		} else {
			onEnded();
		}
	});
}

function deleteIfExpired(world: World, id: string, version: number, record: LeaseRecord, onEnded: () => void) {
	const member = world.members.get(id);
	if (member === undefined || !canEndLease(world, id, member.leaseSeenAt)) {
		return;
	}

	startStoreOperation(world, {kind: 'delete', key: getLeaseKey(id), ifVersion: version}, ({result}) => {
		if (result.kind === 'ok' || result.kind === 'absent') {
			log(world, LogPart.Membership, `deleted the expired lease of ${id}`);
			recordTenureEnd(world, id, record.tenure);
			onEnded();
		}
	});
}
