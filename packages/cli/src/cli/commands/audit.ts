/*
`audit`: shows who changed what, when and why.
*/
import type {ReleaseReply} from '@shallotloom/core/operator-api.ts';
import {describeNote, describeChanges} from '../../describe.ts';
import {createFailure} from '../../errors.ts';
import {mapToReport, type Command} from '../command.ts';

/** Number of the newest releases that are searched. */
const maxSearchedReleases = 1000;

export const audit: Command = {
	usage: 'audit',
	describe: 'Show who changed what, when and why',
	example: 'audit --since 24h --who duty --what suva',
	options: [
		{name: 'since', placeholder: 'TIME', describe: 'From this time on: ISO 8601, or an age such as 30m, 24h or 7d'},
		{name: 'who', placeholder: 'OPERATOR', describe: 'Changes of one operator'},
		{name: 'what', placeholder: 'TEXT', describe: 'Changes whose action or entities contain the text'},
	],
	async run({options, client}) {
		const since = parseSince(options.since);
		if (Number.isNaN(since)) {
			return createFailure({kind: 'usage', message: `--since is "${options.since}", expected a time such as 2026-01-31T08:00Z or an age such as 24h`});
		}

		const result = await client.getReleases(maxSearchedReleases);
		if (result.kind === 'failed') {
			return result;
		}

		const {who, what = ''} = options;
		const found = result.value.filter(release =>
			Date.parse(release.audit.at) >= since && (who === undefined || release.audit.operator === who) && matchesText(release, what));
		return mapToReport({kind: 'ok', value: found}, releases => releases.length === 0 ? 'no change found' : releases.map(release => formatEntry(release)).join('\n'));
	},
};

const msPerUnit: Record<string, number> = {
	s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000,
};

/** Parses --since to the epoch time in milliseconds of the earliest entry to show; NaN when the text is not a time. */
function parseSince(text: string | undefined): number {
	if (text === undefined) {
		return 0;
	}

	const age = /^(?<count>\d+)(?<unit>[dhms])$/v.exec(text)?.groups;
	return age ? Date.now() - (Number(age.count) * msPerUnit[age.unit!]!) : Date.parse(text);
}

function matchesText({audit: entry, note}: ReleaseReply, text: string): boolean {
	return `${entry.action} ${describeNote(note)}`.includes(text);
}

function formatEntry({revision, audit: entry}: ReleaseReply): string {
	const reason = entry.reason === '' ? '' : `: ${entry.reason}`;
	return `${entry.at} revision ${revision} by ${entry.operator}, ${entry.action}${reason}\n${describeChanges(entry.before, entry.after)}`;
}
