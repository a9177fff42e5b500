/*
Accepts releases that operators propose: a conditional create of the next revision, which also holds its audit entry. When
two operators race for a revision, one wins. The other's note is applied to the configuration that results, or is refused
when the operator made it for the revision before.
*/
import type {Configuration} from '../../configuration.ts';
import type {InboundOf, ReleaseAnswer} from '../../ports.ts';
import {
	checkEncodedSize, decodeRelease, encodeRelease, getReleaseKey,
} from '../../release-codec.ts';
import {validateNote, type ReleaseNote} from '../../release-note.ts';
import {applyNote, getAffectedEntities, type Release} from '../../release.ts';
import {createNonce, startStoreOperation, type World} from '../../world.ts';
import {loadNewReleases, receiveRelease, writeSnapshotIfDue} from './releases.ts';

/** Write attempts after which the Object API counts as unavailable. */
const maxWriteAttempts = 5;

type Proposal = InboundOf<'releaseProposed'>;

/** A release that is being written to the Object API. */
type PendingRelease = {
	proposal: Proposal;
	release: Release;
	/** Stored form. */
	encoded: string;
	writesLeft: number;
	/** A write of it got no answer, so it may have taken effect or may still do so. */
	isWriteUnconfirmed: boolean;
};

/** Handles an operator's release note. */
export function onReleaseProposed(world: World, proposal: Proposal) {
	const validation = validateNote(proposal.note);
	if (validation.kind === 'malformed') {
		sendAnswer(world, proposal, {kind: 'invalid', problems: validation.problems});
		return;
	}

	applyProposal(world, proposal, validation.note, maxWriteAttempts);
}

/** Applies the note to the newest configuration and writes the release. */
function applyProposal(world: World, proposal: Proposal, note: ReleaseNote, writesLeft: number) {
	if (writesLeft === 0) {
		sendAnswer(world, proposal, {kind: 'unavailable'});
		return;
	}

	const expectedRevision = proposal.ifRevision;
	loadNewReleases(world, isLoaded => {
		const {configuration} = world;
		if (!isLoaded) {
			sendAnswer(world, proposal, {kind: 'unavailable'});
		} else if (expectedRevision !== undefined && expectedRevision !== configuration.revision) {
			sendAnswer(world, proposal, {kind: 'superseded', revision: configuration.revision, audit: findAuditEntry(world, configuration.revision)});
		} else {
			const result = applyNote(configuration, note);
			if (result.kind === 'ok') {
				startWrite(world, proposal, createRelease(world, proposal, note, result.configuration), writesLeft);
			} else {
				sendAnswer(world, proposal, {kind: 'invalid', problems: result.problems});
			}
		}
	});
}

function createRelease(world: World, proposal: Proposal, note: ReleaseNote, after: Configuration): Release {
	const {
		at, operator, action, reason,
	} = proposal;
	return {
		revision: after.revision,
		note,
		audit: {
			at,
			operator,
			action,
			before: getAffectedEntities(world.configuration, note),
			after: getAffectedEntities(after, note),
			reason,
		},
		nonce: createNonce(world),
	};
}

function startWrite(world: World, proposal: Proposal, release: Release, writesLeft: number) {
	const encoded = encodeRelease(release);
	const problems = checkEncodedSize(encoded);
	if (problems.length > 0) {
		sendAnswer(world, proposal, {kind: 'invalid', problems});
		return;
	}

	writeRelease(world, {
		proposal, release, encoded, writesLeft, isWriteUnconfirmed: false,
	});
}

/** Writes a release. The write may be repeated safely, since a key can be created only once. */
function writeRelease(world: World, pending: PendingRelease) {
	const {release, encoded} = pending;
	startStoreOperation(world, {
		kind: 'put', key: getReleaseKey(release.revision), value: encoded, ifVersion: 0,
	}, ({result}) => {
		if (result.kind === 'ok') {
			answerAccepted(world, pending.proposal, encoded, release.revision);
		} else if (result.kind === 'unavailable') {
			answerFailed(world, pending);
		} else {
			pending.writesLeft -= 1;
			pending.isWriteUnconfirmed ||= result.kind === 'unknown';
			lookUpRelease(world, pending);
		}
	});
}

/** Reads the key after a conflict or a lost answer: it may hold this release, another one, or nothing yet. */
function lookUpRelease(world: World, pending: PendingRelease) {
	const {proposal, release, writesLeft} = pending;
	startStoreOperation(world, {kind: 'get', key: getReleaseKey(release.revision)}, ({result}) => {
		const current = result.kind === 'ok' ? decodeRelease(result.value) : undefined;
		if (result.kind === 'ok' && current?.kind === 'ok') {
			if (current.value.nonce === release.nonce) {
				answerAccepted(world, proposal, result.value, release.revision);
			} else {
				// The key holds another release, so no write of this one can take effect any more.
				applyProposal(world, proposal, release.note, writesLeft);
			}
		} else if (result.kind !== 'unavailable' && writesLeft > 0) {
			writeRelease(world, pending);
		} else {
			answerFailed(world, pending);
		}
	});
}

/** Answers that nothing was changed, or that the outcome is unknown when a write may still take effect. */
function answerFailed(world: World, {proposal, release, isWriteUnconfirmed}: PendingRelease) {
	sendAnswer(world, proposal, isWriteUnconfirmed ? {kind: 'unknown', revision: release.revision} : {kind: 'unavailable'});
}

function answerAccepted(world: World, proposal: Proposal, encoded: string, revision: number) {
	receiveRelease(world, encoded);
	writeSnapshotIfDue(world);
	sendAnswer(world, proposal, {kind: 'accepted', revision});
}

/** Audit entry of a release; undefined when this router doesn't keep the release. */
function findAuditEntry(world: World, revision: number): unknown {
	const encoded = world.releases.encoded.get(revision);
	const decoded = encoded === undefined ? undefined : decodeRelease(encoded);
	return decoded?.kind === 'ok' ? decoded.value.audit : undefined;
}

function sendAnswer(world: World, proposal: Proposal, result: ReleaseAnswer) {
	world.outbox.push({kind: 'releaseAnswered', proposal: proposal.proposal, answer: result});
}
