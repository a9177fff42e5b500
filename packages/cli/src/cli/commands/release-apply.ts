/*
`release apply`: makes a note the next release. The note is first checked, then applied only if the revision is still the
one that it was checked against, so that a concurrent release of another operator is detected.
*/
import {AuditAction} from '@shallotloom/core/release.ts';
import {describeNote} from '../../describe.ts';
import {createFailure} from '../../errors.ts';
import {readNoteFile} from '../../note-file.ts';
import {createReport, type Command} from '../command.ts';

export const releaseApply: Command = {
	usage: 'release apply <file>',
	describe: 'Make a release note the next release',
	example: 'release apply release-7.yaml --reason "two engines more"',
	options: [
		{name: 'reason', placeholder: 'TEXT', describe: 'Why, for the audit trail'},
		{name: 'if-revision', placeholder: 'N', describe: 'Apply only if this is the revision in force (default: that of the check)'},
	],
	async run({positionals: [file = ''], options, client}) {
		const ifRevision = options['if-revision'];
		if (ifRevision !== undefined && !/^\d+$/v.test(ifRevision)) {
			return createFailure({kind: 'usage', message: `--if-revision is "${ifRevision}", expected a whole number`});
		}

		const note = await readNoteFile(file);
		if (note.kind === 'failed') {
			return note;
		}

		const check = await client.checkNote(note.value);
		if (check.kind === 'failed') {
			return check;
		}

		if (check.value.problems.length > 0) {
			return createFailure({kind: 'invalidNote', problems: check.value.problems});
		}

		const result = await client.applyNote({
			note: note.value,
			reason: options.reason ?? '',
			action: AuditAction.ReleaseApply,
			ifRevision: ifRevision === undefined ? check.value.revision : Number(ifRevision),
		});
		return result.kind === 'failed'
			? result
			: createReport(`revision ${result.value.revision} is accepted: ${describeNote(note.value)}`, result.value);
	},
};
