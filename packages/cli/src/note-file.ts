/*
Reads a release note from a file, with keys already hashed.
*/
import type {ReleaseNote} from '@shallotloom/core/release-note.ts';
import {loadReleaseNote} from '@shallotloom/settings/release-note.ts';
import {failed, type Result} from './errors.ts';

/** Reads the note of a file. */
export async function readNoteFile(file: string): Promise<Result<ReleaseNote>> {
	const result = await loadReleaseNote(file);
	return result.kind === 'ok'
		? {kind: 'ok', value: result.settings}
		: failed({kind: 'badFile', file, problems: result.problems});
}
