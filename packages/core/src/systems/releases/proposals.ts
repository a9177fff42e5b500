/*
Accepts releases that operators propose: a conditional create of the next revision, with its audit entry in the same
value. Of two operators that race for a revision one wins; the other's note is applied on top, or is refused when it
was made for the revision before.
*/
import type {Configuration} from '../../configuration.ts';
import type {InboundOf, ReleaseAnswer} from '../../ports.ts';
import {
	checkEncodedSize, decodeRelease, encodeRelease, getReleaseKey,
} from '../../release-codec.ts';
import {validateNote, type ReleaseNote} from '../../release-note.ts';
import {applyNote, getAffectedEntities, type Release} from '../../release.ts';
import {createNonce, startStoreOperation, type World} from '../../world.ts';
import {catchUp, takeRelease, writeSnapshot} from './releases.ts';

/** Writes that are tried before the Object API counts as unavailable. */
const maxWrites = 5;

type Proposal = InboundOf<'releaseProposed'>;

/** A release on its way into the Object API. */
type Draft = {
	proposal: Proposal;
	release: Release;
	/** Stored form. */
	text: string;
	writesLeft: number;
	/** A write of it got no answer, so that it may be accepted, or still be. */
	isDoubtful: boolean;
};

/** Takes an operator's release note. */
export function proposeRelease(world: World, proposal: Proposal) {
	const reading = validateNote(proposal.note);
	if (reading.kind === 'malformed') {
		answer(world, proposal, {kind: 'invalid', problems: reading.problems});
		return;
	}

	attempt(world, proposal, reading.note, maxWrites);
}

/** Applies the note to the newest configuration and writes the release. */
function attempt(world: World, proposal: Proposal, note: ReleaseNote, writesLeft: number) {
	if (writesLeft === 0) {
		answer(world, proposal, {kind: 'unavailable'});
		return;
	}

	const askedFor = proposal.ifRevision;
	catchUp(world, isRead => {
		const {configuration} = world;
		if (!isRead) {
			answer(world, proposal, {kind: 'unavailable'});
		} else if (askedFor !== undefined && askedFor !== configuration.revision) {
			answer(world, proposal, {kind: 'superseded', revision: configuration.revision, audit: auditOf(world, configuration.revision)});
		} else {
			const result = applyNote(configuration, note);
			if (result.kind === 'ok') {
				draft(world, proposal, releaseOf(world, proposal, note, result.configuration), writesLeft);
			} else {
				answer(world, proposal, {kind: 'invalid', problems: result.problems});
			}
		}
	});
}

function releaseOf(world: World, proposal: Proposal, note: ReleaseNote, after: Configuration): Release {
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

function draft(world: World, proposal: Proposal, release: Release, writesLeft: number) {
	const text = encodeRelease(release);
	const problems = checkEncodedSize(text);
	if (problems.length > 0) {
		answer(world, proposal, {kind: 'invalid', problems});
		return;
	}

	write(world, {
		proposal, release, text, writesLeft, isDoubtful: false,
	});
}

/** Writes a release; the same write may be repeated, since only one value can ever be created under its key. */
function write(world: World, drafted: Draft) {
	const {release, text} = drafted;
	startStoreOperation(world, {
		kind: 'put', key: getReleaseKey(release.revision), value: text, ifVersion: 0,
	}, ({result}) => {
		if (result.kind === 'ok') {
			accept(world, drafted.proposal, text, release.revision);
		} else if (result.kind === 'unavailable') {
			fail(world, drafted);
		} else {
			drafted.writesLeft -= 1;
			drafted.isDoubtful ||= result.kind === 'unknown';
			lookUp(world, drafted);
		}
	});
}

/** Reads what came under the key: this release after a lost answer, another one, or none yet. */
function lookUp(world: World, drafted: Draft) {
	const {proposal, release, writesLeft} = drafted;
	startStoreOperation(world, {kind: 'get', key: getReleaseKey(release.revision)}, ({result}) => {
		const current = result.kind === 'ok' ? decodeRelease(result.value) : undefined;
		if (result.kind === 'ok' && current?.kind === 'ok') {
			if (current.value.nonce === release.nonce) {
				accept(world, proposal, result.value, release.revision);
			} else {
				// No write of this draft can take effect any more.
				attempt(world, proposal, release.note, writesLeft);
			}
		} else if (result.kind !== 'unavailable' && writesLeft > 0) {
			write(world, drafted);
		} else {
			fail(world, drafted);
		}
	});
}

/** Answers truly that nothing was changed, or that this isn't known. */
function fail(world: World, {proposal, release, isDoubtful}: Draft) {
	answer(world, proposal, isDoubtful ? {kind: 'unknown', revision: release.revision} : {kind: 'unavailable'});
}

function accept(world: World, proposal: Proposal, text: string, revision: number) {
	takeRelease(world, text);
	writeSnapshot(world);
	answer(world, proposal, {kind: 'accepted', revision});
}

/** Audit entry of a release, if it is kept here. */
function auditOf(world: World, revision: number): unknown {
	const text = world.releases.encoded.get(revision);
	const decoded = text === undefined ? undefined : decodeRelease(text);
	return decoded?.kind === 'ok' ? decoded.value.audit : undefined;
}

function answer(world: World, proposal: Proposal, result: ReleaseAnswer) {
	world.outbox.push({kind: 'releaseAnswered', proposal: proposal.proposal, answer: result});
}
