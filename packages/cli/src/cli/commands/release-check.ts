/*
`release check`: checks whether a note can be applied to the configuration in force, without applying it.
*/
import {createFailure} from '../../errors.ts';
import {readNoteFile} from '../../note-file.ts';
import {createReport, type Command} from '../command.ts';

export const releaseCheck: Command = {
	usage: 'release check <file>',
	describe: 'Check a release note against the configuration in force',
	example: 'release check release-7.yaml',
	async run({positionals: [file = ''], client}) {
		const note = await readNoteFile(file);
		if (note.kind === 'failed') {
			return note;
		}

		const result = await client.checkNote(note.value);
		if (result.kind === 'failed') {
			return result;
		}

		const {revision, problems} = result.value;
		return problems.length > 0
			? createFailure({kind: 'invalidNote', problems})
			: createReport(`${file} fits revision ${revision}`, result.value);
	},
};
