/*
Accepts releases that operators propose: a conditional create of the next revision, with its audit entry in the same
value. Of two operators that race for a revision one wins; the other's note is applied on top, or is refused when it
was made for the revision before.
*/
import type {Configuration} from '../configuration.ts';
import type {InboundOf, ReleaseAnswer} from '../ports.ts';
import {decodeRelease, encodeRelease, releaseKey} from '../release-codec.ts';
import {readNote, type ReleaseNote} from '../release-note.ts';
import {applyNote, partTouched, type Release} from '../release.ts';
import {nonce, store, type World} from '../world.ts';
import {catchUp, takeRelease, writeSnapshot} from './releases.ts';

/** Writes that are tried before the Object API counts as unavailable. */
const maxWrites = 5;

type Proposal = InboundOf<'releaseProposed'>;

/** Takes an operator's release note. */
export function proposeRelease(world: World, proposal: Proposal) {
	const reading = readNote(proposal.note);
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
				write(world, proposal, releaseOf(world, proposal, note, result.configuration), writesLeft);
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
			before: partTouched(world.configuration, note),
			after: partTouched(after, note),
			reason,
		},
		nonce: nonce(world),
	};
}

/** Writes a release; the same write may be repeated, since only one value can ever be created under its key. */
function write(world: World, proposal: Proposal, release: Release, writesLeft: number) {
	const value = encodeRelease(release);
	store(world, {
		kind: 'put', key: releaseKey(release.revision), value, ifVersion: 0,
	}, ({result}) => {
		if (result.kind === 'ok') {
			accept(world, proposal, value, release.revision);
		} else if (result.kind === 'unavailable') {
			answer(world, proposal, {kind: 'unavailable'});
		} else {
			lookUp(world, proposal, release, writesLeft - 1);
		}
	});
}

/** Reads what came under the key: this release after a lost answer, another one, or none yet. */
function lookUp(world: World, proposal: Proposal, release: Release, writesLeft: number) {
	store(world, {kind: 'get', key: releaseKey(release.revision)}, ({result}) => {
		const current = result.kind === 'ok' ? decodeRelease(result.value) : undefined;
		if (result.kind === 'ok' && current?.kind === 'ok') {
			if (current.value.nonce === release.nonce) {
				accept(world, proposal, result.value, release.revision);
			} else {
				attempt(world, proposal, release.note, writesLeft);
			}
		} else if (result.kind !== 'unavailable' && writesLeft > 0) {
			write(world, proposal, release, writesLeft);
		} else {
			answer(world, proposal, {kind: 'unavailable'});
		}
	});
}

function accept(world: World, proposal: Proposal, text: string, revision: number) {
	takeRelease(world, text);
	writeSnapshot(world);
	answer(world, proposal, {kind: 'accepted', revision});
}

/** Audit entry of a release, if it is kept here. */
function auditOf(world: World, revision: number): unknown {
	const text = world.releases.texts.get(revision);
	const decoded = text === undefined ? undefined : decodeRelease(text);
	return decoded?.kind === 'ok' ? decoded.value.audit : undefined;
}

function answer(world: World, proposal: Proposal, result: ReleaseAnswer) {
	world.outbox.push({kind: 'releaseAnswered', proposal: proposal.proposal, answer: result});
}
