/*
`release apply`: makes a note the next release. It is checked first and applied only on the revision that it was checked
against, so that a release of another operator in between is noticed.
*/
import {AuditAction} from '@shallotloom/core/release.ts';
import {describeNote} from '../../describe.ts';
import {failed} from '../../errors.ts';
import {readNoteFile} from '../../note-file.ts';
import {report, type Command} from '../command.ts';

export const releaseApply: Command = {
	usage: 'release apply <file>',
	describe: 'Make a release note the next release',
	example: 'release apply release-7.yaml --reason "two engines more"',
	options: [
		{name: 'reason', value: 'TEXT', describe: 'Why, for the audit trail'},
		{name: 'if-revision', value: 'N', describe: 'Apply only on this revision; that of the check when absent'},
	],
	async run({positionals: [file = ''], options, client}) {
		const ifRevision = options['if-revision'];
		if (ifRevision !== undefined && !/^\d+$/v.test(ifRevision)) {
			return failed({kind: 'usage', message: `--if-revision is "${ifRevision}", expected a whole number`});
		}

		const note = await readNoteFile(file);
		if (note.kind === 'failed') {
			return note;
		}

		const check = await client.check(note.value);
		if (check.kind === 'failed') {
			return check;
		}

		if (check.value.problems.length > 0) {
			return failed({kind: 'invalidNote', problems: check.value.problems});
		}

		const result = await client.apply({
			note: note.value,
			reason: options.reason ?? '',
			action: AuditAction.ReleaseApply,
			ifRevision: ifRevision === undefined ? check.value.revision : Number(ifRevision),
		});
		return result.kind === 'failed'
			? result
			: report(`revision ${result.value.revision} is accepted: ${describeNote(note.value)}`, result.value);
	},
};
