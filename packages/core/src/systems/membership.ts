/*
Knows the members: reads their leases, hears their digests, drops those whose lease has lapsed.
*/
import type {PeerMessageOf, HeardEntry} from '../messages.ts';
import type {StoredObject} from '../ports.ts';
import type {Member} from '../rows.ts';
import type {World} from '../world.ts';

export function membershipSystem(_world: World) {
	// Filled by the membership work.
}

/** Takes what a digest says of its sender and of the members that it heard. */
export function hearDigest(_world: World, _from: string, _incarnation: string, _digest: PeerMessageOf<'digest'>) {
	// Filled by the membership work.
}

/** What this router's next digest says of the members that it hears. */
export function heardEntries(_world: World): HeardEntry[] {
	return [];
}

/** Time since this router, or a member that it hears, reached the Object API; -1 when never. */
export function storeAge(_world: World): number {
	return -1;
}

export function onLeaseObject(_world: World, _object: StoredObject) {
	// Filled by the membership work.
}

/** Members that are active and not lapsed, this one included, by id. */
export function liveMembers(world: World): Member[] {
	return [...world.members.rows()];
}
