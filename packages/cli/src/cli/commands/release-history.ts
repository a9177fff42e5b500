/*
`release history`: lists the last releases, newest first.
*/
import {describeNote} from '../../describe.ts';
import {createFailure} from '../../errors.ts';
import {formatTable} from '../../table-text.ts';
import {mapToReport, type Command} from '../command.ts';

const defaultLimit = 20;

export const releaseHistory: Command = {
	usage: 'release history',
	describe: 'List the last releases, newest first',
	example: 'release history --limit 5',
	options: [{name: 'limit', placeholder: 'N', describe: `Number of releases (default ${defaultLimit})`}],
	async run({options, client, terminal}) {
		const limit = Number(options.limit ?? defaultLimit);
		if (!Number.isSafeInteger(limit) || limit <= 0) {
			return createFailure({kind: 'usage', message: `--limit is "${options.limit}", expected a whole number above 0`});
		}

		return mapToReport(await client.getReleases(limit), releases => formatTable(
			['REVISION', 'AT', 'OPERATOR', 'REASON', 'NOTE'],
			releases.map(({revision, note, audit}) => [revision, audit.at, audit.operator, audit.reason, describeNote(note)]),
			terminal.hasColour,
		));
	},
};
