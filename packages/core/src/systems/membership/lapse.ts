/*
Ends the tenure of a member whose lease has lapsed: a conditional delete of its lease object, so that a renewal that is
still under way either comes first and wins, or finds the lease gone.
*/
import {LogPart} from '../../ports.ts';
import {decodeLease, getLeaseKey, type LeaseRecord} from '../../records.ts';
import {log, startStoreOperation, type World} from '../../world.ts';
import {noteEnded, noteLease} from './contacts.ts';
import {mayEndLease} from './quorum.ts';

/** Finds out whether a tenure has ended, and ends it when its lease may be ended; `then` runs once it has ended. */
export function endLease(world: World, id: string, tenure: string, then: () => void) {
	startStoreOperation(world, {kind: 'get', key: getLeaseKey(id)}, ({result}) => {
		if (result.kind === 'absent') {
			noteEnded(world, id, tenure);
			then();
			return;
		}

		const record = result.kind === 'ok' ? decodeLease(result.value) : undefined;
		if (result.kind !== 'ok' || record === undefined) {
			return;
		}

		noteLease(world, id, result.version, record);
		if (record.tenure === tenure) {
			deleteLapsed(world, id, result.version, record, then);
		} else {
			then();
		}
	});
}

function deleteLapsed(world: World, id: string, version: number, record: LeaseRecord, then: () => void) {
	const member = world.members.get(id);
	if (member === undefined || !mayEndLease(world, id, member.leaseSeenAt)) {
		return;
	}

	startStoreOperation(world, {kind: 'delete', key: getLeaseKey(id), ifVersion: version}, ({result}) => {
		if (result.kind === 'ok' || result.kind === 'absent') {
			log(world, LogPart.Membership, `ended the lapsed lease of ${id}`);
			noteEnded(world, id, record.tenure);
			then();
		}
	});
}
