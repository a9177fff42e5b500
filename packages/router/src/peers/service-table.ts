/*
Wire form of a digest's service entries: columns by pool, which are smaller and faster to decode than one message per entry.
A digest is sent to every member with the same entries, so they are encoded only once.
*/
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import type {ServiceEntry} from '@shallotloom/core/messages.ts';
import {PoolServicesSchema, ServiceTableSchema, type PoolServices} from '@shallotloom/protocol/gen/peer_pb.ts';

const encoded = new WeakMap<readonly ServiceEntry[], Uint8Array>();

/** Encodes service entries. The result is cached by the identity of the list, which therefore must not be mutated. */
export function encodeServiceTable(entries: readonly ServiceEntry[]): Uint8Array {
	const cached = encoded.get(entries);
	if (cached) {
		return cached;
	}

	const bytes = toBinary(ServiceTableSchema, create(ServiceTableSchema, {pools: createColumns(entries)}));
	encoded.set(entries, bytes);
	return bytes;
}

/** Decodes service entries; throws when the bytes aren't a valid service table. */
export function decodeServiceTable(bytes: Uint8Array): ServiceEntry[] {
	return fromBinary(ServiceTableSchema, bytes).pools.flatMap(({pool, workspaces, services, waiting, virtualTimes, asked, started}) =>
		workspaces.map((workspace, index) => ({
			workspace,
			pool,
			service: services[index] ?? 0,
			waiting: waiting[index] ?? 0,
			virtualTime: virtualTimes[index] ?? 0,
			...(asked.length > 0 && {asked: asked[index] ?? 0}),
			...(started.length > 0 && {started: started[index] ?? 0}),
		})));
}

function createColumns(entries: readonly ServiceEntry[]): PoolServices[] {
	const pools = new Map<string, PoolServices>();
	for (const {
		pool, workspace, service, waiting, virtualTime, asked, started,
	} of entries) {
		const columns = pools.get(pool) ?? create(PoolServicesSchema, {pool});
		pools.set(pool, columns);
		columns.workspaces.push(workspace);
		columns.services.push(service);
		columns.waiting.push(waiting);
		columns.virtualTimes.push(virtualTime);
		if (asked !== undefined) {
			columns.asked.push(asked);
		}

		if (started !== undefined) {
			columns.started.push(started);
		}
	}

	return [...pools.values()];
}
