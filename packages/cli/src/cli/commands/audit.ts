/*
`audit`: who changed what, when and why.
*/
import type {ReleaseReply} from '@shallotloom/core/operator-api.ts';
import {describeNote, describePart} from '../../describe.ts';
import {failed} from '../../errors.ts';
import {reportOf, type Command} from '../command.ts';

/** Most releases that are looked through. */
const searchLimit = 1000;

export const audit: Command = {
	usage: 'audit',
	describe: 'Show who changed what, when and why',
	example: 'audit --since 24h --who duty --what suva',
	options: [
		{name: 'since', value: 'TIME', describe: 'From this time on: ISO 8601, or an age such as 30m, 24h or 7d'},
		{name: 'who', value: 'OPERATOR', describe: 'Changes of one operator'},
		{name: 'what', value: 'TEXT', describe: 'Changes whose action or entities contain the text'},
	],
	async run({options, client}) {
		const since = sinceTime(options.since);
		if (Number.isNaN(since)) {
			return failed({kind: 'usage', message: `--since is "${options.since}", expected a time such as 2026-01-31T08:00Z or an age such as 24h`});
		}

		const result = await client.releases(searchLimit);
		if (result.kind === 'failed') {
			return result;
		}

		const {who, what = ''} = options;
		const found = result.value.filter(release =>
			Date.parse(release.audit.at) >= since && (who === undefined || release.audit.operator === who) && mentions(release, what));
		return reportOf({kind: 'ok', value: found}, releases => releases.length === 0 ? 'no change found' : releases.map(release => entryText(release)).join('\n'));
	},
};

const unitMs: Record<string, number> = {
	s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000,
};

/** Wall-clock time in milliseconds from which entries count; NaN when the text is no time. */
function sinceTime(text: string | undefined): number {
	if (text === undefined) {
		return 0;
	}

	const age = /^(?<count>\d+)(?<unit>[dhms])$/v.exec(text)?.groups;
	return age ? Date.now() - (Number(age.count) * unitMs[age.unit!]!) : Date.parse(text);
}

function mentions({audit: entry, note}: ReleaseReply, text: string): boolean {
	return `${entry.action} ${describeNote(note)}`.includes(text);
}

function entryText({revision, audit: entry}: ReleaseReply): string {
	const reason = entry.reason === '' ? '' : `: ${entry.reason}`;
	return `${entry.at} revision ${revision} by ${entry.operator}, ${entry.action}${reason}\n${describePart(entry.before, entry.after)}`;
}
