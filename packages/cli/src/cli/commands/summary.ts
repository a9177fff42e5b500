/*
`summary`: counts refusals, failures and lost dependencies in the routers' logs, by reason and second.
*/
import {readLogs, type LogEntry} from '../../log-lines.ts';
import {createReport, type Command} from '../command.ts';
import {formatTable} from '../../table-text.ts';

/** What a log line is counted as, by its text; lines with other texts are not counted. */
const countedEvents: Record<string, (entry: LogEntry) => string> = {
	refused: ({fields: {reason, outcome}}) => `refused: ${String(reason)}, ${String(outcome)}`,
	'failed by its target': ({fields: {reason}}) => `failed by its target: ${String(reason)}`,
	'sent again': ({fields: {reason}}) => `sent again: ${String(reason)}`,
	'set aside': ({fields: {reason}}) => `target set aside: ${String(reason)}`,
	'platform lost': () => 'platform lost',
	'platform reached again': () => 'platform reached again',
	'catalogue in force': ({fields: {version}}) => `configuration ${String(version)} in force`,
	'taken out': ({fields: {domain}}) => `failure domain ${String(domain)} taken out`,
	'taken back': ({part, fields: {domain}}) => part === 'domain' ? `failure domain ${String(domain)} taken back` : 'target taken back',
	'lines left out': () => 'lines left out',
};

type SummaryRow = {second: string; what: string; count: number; sources: number};

/** Counts entries per second and event, in the order of first occurrence. */
export function createSummary(entries: readonly LogEntry[]): SummaryRow[] {
	const secondLength = 19;
	const rows = new Map<string, SummaryRow & {sourceNames: Set<string>}>();
	for (const entry of entries) {
		const what = countedEvents[entry.text]?.(entry);
		if (what === undefined) {
			continue;
		}

		const second = entry.at.slice(0, secondLength);
		const key = `${second} ${what}`;
		const row = rows.get(key) ?? {
			second, what, count: 0, sources: 0, sourceNames: new Set<string>(),
		};
		rows.set(key, row);
		row.count += 1;
		row.sourceNames.add(entry.source);
	}

	return [...rows.values()].map(({sourceNames, ...row}) => ({...row, sources: sourceNames.size}));
}

export const summary: Command = {
	usage: 'summary <file...>',
	describe: 'Count refusals, failures and lost dependencies in the routers\' logs, by reason and second',
	example: 'summary router-1.log router-2.log',
	isLocal: true,
	async run({positionals: files, terminal}) {
		const logs = await readLogs(files);
		if (logs.kind === 'failed') {
			return logs;
		}

		const {entries, unreadable} = logs.value;
		const rows = createSummary(entries);
		const table = formatTable(['second', 'count', 'routers', 'what'], rows.map(({second, count, sources, what}) => [second, count, sources, what]), terminal.hasColour);
		return createReport(`${table}\n${entries.length} log lines read, ${unreadable} other lines skipped`, {rows, lines: entries.length, unreadable});
	},
};
