/*
Accepts releases, learns them from the Object API and from peers, and puts them in force in order.
*/
import type {PeerMessageOf} from '../messages.ts';
import type {InboundOf, StoredObject} from '../ports.ts';
import type {World} from '../world.ts';

export function releasesSystem(_world: World) {
	// Filled by the membership work.
}

export function onReleaseObject(_world: World, _object: StoredObject) {
	// Filled by the membership work.
}

export function onReleaseProposed(_world: World, _proposed: InboundOf<'releaseProposed'>) {
	// Filled by the membership work.
}

export function onReleaseRequest(_world: World, _from: string, _message: PeerMessageOf<'releaseRequest'>) {
	// Filled by the membership work.
}

export function onReleaseNotes(_world: World, _from: string, _message: PeerMessageOf<'releaseNotes'>) {
	// Filled by the membership work.
}
