/*
One step of the core: takes the inbox in order, runs the systems in order, and returns the outbox. Deterministic: the
same world, times and inboxes give the same outboxes. A step runs on each tick and at once when a message arrives.
*/
import type {PeerMessage, PeerMessageOf} from './messages.ts';
import type {
	Inbound, InboundOf, Outbound, StoredObject,
} from './ports.ts';
import {onLeaseRelay, onLeaseRelayResult, leaseSystem} from './systems/lease.ts';
import {membershipSystem, onLeaseObject} from './systems/membership.ts';
import {onOwnerObject, onTargetHandover, ownershipSystem} from './systems/ownership.ts';
import {
	onReleaseNotes, onReleaseObject, onReleaseProposed, onReleaseRequest, releasesSystem,
} from './systems/releases.ts';
import type {World} from './world.ts';

type InboundHandlers = {[Kind in Inbound['kind']]: (world: World, inbound: InboundOf<Kind>) => void};
type PeerHandlers = {[Kind in PeerMessage['kind']]: (world: World, from: string, message: PeerMessageOf<Kind>, incarnation: string) => void};

/** Watched prefixes of the Object API and who reads their objects. */
export const watchedPrefixes: Record<string, (world: World, object: StoredObject) => void> = {
	'lease/': onLeaseObject,
	'owner/': onOwnerObject,
	'release/': onReleaseObject,
};

/** Systems in the order in which they run at the end of each step. */
const systems: Array<(world: World) => void> = [
	leaseSystem,
	membershipSystem,
	releasesSystem,
	ownershipSystem,
];

function onStoreEvent(world: World, {object}: InboundOf<'storeEvent'>) {
	const prefix = object.key.slice(0, object.key.indexOf('/') + 1);
	watchedPrefixes[prefix]?.(world, object);
}

function onStoreReply(world: World, reply: InboundOf<'storeReply'>) {
	const then = world.operations.get(reply.operation);
	world.operations.delete(reply.operation);
	if (reply.result.kind !== 'unknown' && reply.result.kind !== 'unavailable') {
		world.storeReachedAt = world.now;
	}

	then?.({result: reply.result, objects: reply.objects ?? []});
}
