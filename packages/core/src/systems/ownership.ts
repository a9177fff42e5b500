/*
Claims targets for this router, hands them over and gives them up. `owner/TARGET` in the Object API holds the owner and
its epoch.
*/
import type {PeerMessageOf} from '../messages.ts';
import type {StoredObject} from '../ports.ts';
import type {World} from '../world.ts';

export function ownershipSystem(_world: World) {
	// Filled by the membership work.
}

export function onOwnerObject(_world: World, _object: StoredObject) {
	// Filled by the membership work.
}

export function onTargetHandover(_world: World, _from: string, _message: PeerMessageOf<'targetHandover'>) {
	// Filled by the membership work.
}
