/*
`release check`: whether a note fits the configuration in force; nothing is changed.
*/
import {failed} from '../../errors.ts';
import {readNoteFile} from '../../note-file.ts';
import {report, type Command} from '../command.ts';

export const releaseCheck: Command = {
	usage: 'release check <file>',
	describe: 'Check a release note against the configuration in force',
	example: 'release check release-7.yaml',
	async run({positionals: [file = ''], client}) {
		const note = await readNoteFile(file);
		if (note.kind === 'failed') {
			return note;
		}

		const result = await client.check(note.value);
		if (result.kind === 'failed') {
			return result;
		}

		const {revision, problems} = result.value;
		return problems.length > 0
			? failed({kind: 'invalidNote', problems})
			: report(`${file} fits revision ${revision}`, result.value);
	},
};
