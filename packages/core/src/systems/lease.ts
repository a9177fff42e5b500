/*
Renews this router's lease and tells whether it may dispatch.
*/
import type {PeerMessageOf} from '../messages.ts';
import type {World} from '../world.ts';

/** Renews the lease when it is due. */
export function leaseSystem(_world: World) {
	// Filled by the membership work.
}

/** Whether this router may start new work at the targets that it owns, at this very moment. */
export function mayDispatch(_world: World): boolean {
	return true;
}

export function onLeaseRelay(_world: World, _from: string, _message: PeerMessageOf<'leaseRelay'>) {
	// Filled by the membership work.
}

export function onLeaseRelayResult(_world: World, _from: string, _message: PeerMessageOf<'leaseRelayResult'>) {
	// Filled by the membership work.
}
