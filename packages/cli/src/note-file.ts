/*
Loads a release note from a file as a command result.
*/
import type {ReleaseNote} from '@shallotloom/core/release-note.ts';
import {loadReleaseNote} from '@shallotloom/settings/release-note.ts';
import {createFailure, type Result} from './errors.ts';

/** Reads a release note; the result contains key hashes in place of keys. */
export async function readNoteFile(file: string): Promise<Result<ReleaseNote>> {
	const result = await loadReleaseNote(file);
	return result.kind === 'ok'
		? {kind: 'ok', value: result.settings}
		: createFailure({kind: 'badFile', file, problems: result.problems});
}
