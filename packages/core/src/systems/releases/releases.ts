/*
Receives releases from the Object API and from peers, and puts them in force in the order of their revisions. The revision
in force never decreases: a release that arrives late or out of order, or is missing, leaves the configuration unchanged
until the next revision is available.
*/
import type {PeerMessageOf} from '../../messages.ts';
import {LogPart, type StoredObject} from '../../ports.ts';
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

/** Period at which missing releases are requested, in milliseconds. */
const loadRetryMs = second / 2;

/** Period in milliseconds at which releases are listed although none is known to be missing: watches may lose events. */
const relistMs = 30 * second;

/** Minimum time between two log lines about releases that can't be decoded, in milliseconds. */
const undecodableLogMs = 10 * second;

/** Number of releases between two snapshots. */
const releasesPerSnapshot = 100;

/** Maximum number of releases that a router keeps for peers and operators. */
const maxKeptReleases = 1000;

/** Maximum number of releases in one message to a peer. */
const maxReleasesPerMessage = 50;

/** Loads the configuration at the start, and requests missing releases. */
export function releasesSystem(world: World) {
	if (!world.releases.isRead) {
		if (startPeriodIfDue(world, 'releases.start', loadRetryMs)) {
			loadConfiguration(world);
		}
	} else if (startPeriodIfDue(world, 'releases.list', relistMs)) {
		loadNewReleases(world, () => undefined);
	}

	if (getHighestKnownRevision(world) > world.configuration.revision && startPeriodIfDue(world, 'releases.gap', loadRetryMs)) {
		requestReleasesFromPeer(world);
		loadNewReleases(world, () => undefined);
	}
}

/** Handles a changed release object of the Object API. Releases are never deleted, so a deletion event is ignored. */
export function onReleaseObject(world: World, object: StoredObject) {
	if (object.value !== '') {
		receiveRelease(world, object.value);
	}
}

/** Sends a peer the kept releases that directly follow a revision. */
export function onReleaseRequest(world: World, from: string, {after}: PeerMessageOf<'releaseRequest'>) {
	const releases: string[] = [];
	for (let revision = after + 1; releases.length < maxReleasesPerMessage; revision += 1) {
		const encoded = world.releases.encoded.get(revision);
		if (encoded === undefined) {
			break;
		}

		releases.push(encoded);
	}

	if (releases.length > 0) {
		send(world, from, {kind: 'releaseNotes', releases});
	}
}

/** Receives releases in force at a peer, in reply to a `releaseRequest`. */
export function onReleaseNotes(world: World, _from: string, {releases}: PeerMessageOf<'releaseNotes'>) {
	for (const encoded of releases) {
		receiveRelease(world, encoded);
	}
}

/** The latest releases in force that this router keeps, newest first. */
export function getReleaseHistory(world: World, limit: number): Release[] {
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

/** Lists the releases that follow the one in force, and applies them; `onEnd` is called with whether the list was read. */
export function loadNewReleases(world: World, onEnd: (isLoaded: boolean) => void) {
	const after = getReleaseKey(world.configuration.revision);
	listObjects(world, releasePrefix, objects => {
		for (const object of objects) {
			receiveRelease(world, object.value);
		}

		onEnd(true);
	}, {
		after,
		onFailed() {
			onEnd(false);
		},
	});
}

/** Stores a received release, and puts in force all releases that follow the revision in force without a gap. */
export function receiveRelease(world: World, encoded: string) {
	const decoded = decodeRelease(encoded);
	if (decoded.kind !== 'ok') {
		if (startPeriodIfDue(world, 'releases.undecodable', undecodableLogMs)) {
			log(world, LogPart.Release, `a stored release can't be decoded (${decoded.kind}); this router keeps an older revision`, 'error');
		}

		return;
	}

	const {revision} = decoded.value;
	if (revision > world.configuration.revision) {
		world.releases.encoded.set(revision, encoded);
		applyPendingReleases(world);
	}
}

/** Writes a snapshot after every hundredth release, so that a new router needn't read all releases. */
export function writeSnapshotIfDue(world: World) {
	const {revision} = world.configuration;
	if (revision % releasesPerSnapshot === 0) {
		// All routers write the same snapshot of a revision, so a conflict or a lost answer needs no handling.
		startStoreOperation(world, {
			kind: 'put', key: getSnapshotKey(revision), value: encodeSnapshot(world.configuration), ifVersion: 0,
		}, () => undefined);
	}
}

function applyPendingReleases(world: World) {
	const {encoded: releases} = world.releases;
	for (;;) {
		const next = world.configuration.revision + 1;
		const encoded = releases.get(next);
		const decoded = encoded === undefined ? undefined : decodeRelease(encoded);
		if (decoded?.kind !== 'ok') {
			return;
		}

		const result = applyNote(world.configuration, decoded.value.note);
		if (result.kind !== 'ok') {
			log(world, LogPart.Release, `revision ${next} can't be applied to the configuration in force; this router keeps the older revision`, 'error');
			releases.delete(next);
			return;
		}

		world.configuration = result.configuration;
		releases.delete(next - maxKeptReleases);
		log(world, LogPart.Release, `revision ${next} is in force`);
	}
}

/** Loads the latest snapshot and the releases that follow it. */
function loadConfiguration(world: World) {
	listObjects(world, snapshotPrefix, objects => {
		const latest = objects.at(-1);
		const decoded = latest === undefined ? undefined : decodeSnapshot(latest.value);
		if (decoded?.kind === 'ok' && decoded.value.revision > world.configuration.revision) {
			world.configuration = decoded.value;
		}

		loadNewReleases(world, isLoaded => {
			world.releases.isRead = isLoaded;
		});
	});
}

/** Highest revision that a member or a received release is known to have. */
function getHighestKnownRevision(world: World): number {
	let highest = 0;
	for (const member of world.members.rows()) {
		highest = Math.max(highest, member.revision);
	}

	for (const revision of world.releases.encoded.keys()) {
		highest = Math.max(highest, revision);
	}

	return highest;
}

/** Requests the following releases from a random member that has a higher revision. */
function requestReleasesFromPeer(world: World) {
	const {revision} = world.configuration;
	const peer = pickRandom(world, [...world.members.rows()].filter(member => member.revision > revision));
	if (peer !== undefined) {
		send(world, peer.id, {kind: 'releaseRequest', after: revision});
	}
}
