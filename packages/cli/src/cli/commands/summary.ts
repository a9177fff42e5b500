/*
`summary`: refusals, failures and lost dependencies by reason and second, from the routers' logs.
*/
import {readLogs, type LogEntry} from '../../log-lines.ts';
import {report, type Command} from '../command.ts';
import {tableText} from '../../table-text.ts';

/** What is counted of each text; others are not. */
const counted: Record<string, (entry: LogEntry) => string> = {
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

type Row = {second: string; what: string; count: number; sources: number};

/** Counts by second and by what happened, in the order of time. */
export function summaryOf(entries: readonly LogEntry[]): Row[] {
	const secondEnd = 19;
	const rows = new Map<string, Row & {seen: Set<string>}>();
	for (const entry of entries) {
		const what = counted[entry.text]?.(entry);
		if (what === undefined) {
			continue;
		}

		const second = entry.at.slice(0, secondEnd);
		const key = `${second} ${what}`;
		const row = rows.get(key) ?? {
			second, what, count: 0, sources: 0, seen: new Set<string>(),
		};
		rows.set(key, row);
		row.count += 1;
		row.seen.add(entry.source);
	}

	return [...rows.values()].map(({seen, ...row}) => ({...row, sources: seen.size}));
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
		const rows = summaryOf(entries);
		const table = tableText(['second', 'count', 'routers', 'what'], rows.map(({second, count, sources, what}) => [second, count, sources, what]), terminal.colour);
		return report(`${table}\n${entries.length} lines read, ${unreadable} were none of the log`, {rows, lines: entries.length, unreadable});
	},
};
