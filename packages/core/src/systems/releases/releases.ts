/*
Learns releases from the Object API and from peers, and puts them in force in order. A revision is never lowered: what
was read late, out of order or not at all leaves the configuration as it is until the next revision is here.
*/
import type {PeerMessageOf} from '../../messages.ts';
import {LogPart, type InboundOf, type StoredObject} from '../../ports.ts';
import {
	decodeRelease, decodeSnapshot, encodeSnapshot, getReleaseKey, getSnapshotKey,
} from '../../release-codec.ts';
import {applyNote, type Release} from '../../release.ts';
import {second} from '../../units.ts';
import {
	startPeriodIfDue, log, pickRandom, send, startStoreOperation, type World,
} from '../../world.ts';
import {listObjects} from '../membership/store-listing.ts';

const releasePrefix = 'release/';
const snapshotPrefix = 'snapshot/';

/** Period at which missing releases are asked for. */
const catchUpMs = second / 2;

/** Period at which releases are listed although none is known to be missing, since watches may lose events. */
const relistMs = 30 * second;

/** Least time between two complaints of a release that can't be read. */
const undecodableMs = 10 * second;

/** Releases between two snapshots. */
const snapshotEvery = 100;

/** Releases that a router keeps for peers and operators. */
const releasesKept = 1000;

/** Most releases in one message to a peer. */
const releasesPerMessage = 50;

/** Reads the configuration at the start and fills gaps. */
export function releasesSystem(world: World) {
	if (!world.releases.isRead) {
		if (startPeriodIfDue(world, 'releases.start', catchUpMs)) {
			readConfiguration(world);
		}
	} else if (startPeriodIfDue(world, 'releases.list', relistMs)) {
		catchUp(world, () => undefined);
	}

	if (highestKnown(world) > world.configuration.revision && startPeriodIfDue(world, 'releases.gap', catchUpMs)) {
		askPeer(world);
		catchUp(world, () => undefined);
	}
}

/** Takes a release object from the Object API. Releases are never deleted, so a deletion says nothing. */
export function onReleaseObject(world: World, object: StoredObject) {
	if (object.value !== '') {
		takeRelease(world, object.value);
	}
}

/** Sends a peer the releases that follow a revision, as far as they are kept. */
export function onReleaseRequest(world: World, from: string, {after}: PeerMessageOf<'releaseRequest'>) {
	const releases: string[] = [];
	for (let revision = after + 1; releases.length < releasesPerMessage; revision += 1) {
		const text = world.releases.encoded.get(revision);
		if (text === undefined) {
			break;
		}

		releases.push(text);
	}

	if (releases.length > 0) {
		send(world, from, {kind: 'releaseNotes', releases});
	}
}

/** Takes releases that a peer has in force. */
export function onReleaseNotes(world: World, _from: string, {releases}: PeerMessageOf<'releaseNotes'>) {
	for (const text of releases) {
		takeRelease(world, text);
	}
}

/** The latest releases in force that are kept here, newest first. */
export function releaseHistory(world: World, limit: number): Release[] {
	const releases: Release[] = [];
	for (let {revision} = world.configuration; releases.length < limit; revision -= 1) {
		const decoded = decodeRelease(world.releases.encoded.get(revision) ?? '');
		if (decoded.kind !== 'ok') {
			break;
		}

		releases.push(decoded.value);
	}

	return releases;
}

/** Lists the releases that follow the one in force, and applies them; `then` is told whether all were read. */
export function catchUp(world: World, then: (isRead: boolean) => void) {
	const after = getReleaseKey(world.configuration.revision);
	listObjects(world, releasePrefix, objects => {
		for (const object of objects) {
			takeRelease(world, object.value);
		}

		then(true);
	}, {
		after,
		onFailed() {
			then(false);
		},
	});
}

/** Takes the stored form of a release, and puts in force what follows the revision in force without a gap. */
export function takeRelease(world: World, text: string) {
	const decoded = decodeRelease(text);
	if (decoded.kind !== 'ok') {
		if (startPeriodIfDue(world, 'releases.undecodable', undecodableMs)) {
			log(world, LogPart.Release, `a stored release can't be read (${decoded.kind}); this router stays behind`, 'error');
		}

		return;
	}

	const {revision} = decoded.value;
	if (revision > world.configuration.revision) {
		world.releases.encoded.set(revision, text);
		applyPending(world);
	}
}

/** Writes a snapshot after every hundredth release, so that a new router needn't read them all. */
export function writeSnapshot(world: World) {
	const {revision} = world.configuration;
	if (revision % snapshotEvery === 0) {
		// A snapshot is the same whoever writes it, so a conflict or a lost answer needs nothing more.
		startStoreOperation(world, {
			kind: 'put', key: getSnapshotKey(revision), value: encodeSnapshot(world.configuration), ifVersion: 0,
		}, () => undefined);
	}
}

function applyPending(world: World) {
	const {encoded: texts} = world.releases;
	for (;;) {
		const next = world.configuration.revision + 1;
		const text = texts.get(next);
		const decoded = text === undefined ? undefined : decodeRelease(text);
		if (decoded?.kind !== 'ok') {
			return;
		}

		const result = applyNote(world.configuration, decoded.value.note);
		if (result.kind !== 'ok') {
			log(world, LogPart.Release, `revision ${next} doesn't fit the configuration; this router stays behind`, 'error');
			texts.delete(next);
			return;
		}

		world.configuration = result.configuration;
		texts.delete(next - releasesKept);
		log(world, LogPart.Release, `revision ${next} is in force`);
	}
}

function readConfiguration(world: World) {
	listObjects(world, snapshotPrefix, objects => {
		const latest = objects.at(-1);
		const decoded = latest === undefined ? undefined : decodeSnapshot(latest.value);
		if (decoded?.kind === 'ok' && decoded.value.revision > world.configuration.revision) {
			world.configuration = decoded.value;
		}

		catchUp(world, isRead => {
			world.releases.isRead = isRead;
		});
	});
}

/** Highest revision that is known to exist. */
function highestKnown(world: World): number {
	let highest = 0;
	for (const member of world.members.rows()) {
		highest = Math.max(highest, member.revision);
	}

	for (const revision of world.releases.encoded.keys()) {
		highest = Math.max(highest, revision);
	}

	return highest;
}

function askPeer(world: World) {
	const {revision} = world.configuration;
	const peer = pickRandom(world, [...world.members.rows()].filter(member => member.revision > revision));
	if (peer !== undefined) {
		send(world, peer.id, {kind: 'releaseRequest', after: revision});
	}
}
