/*
Parses the routers' logs: JSON lines, each of which may have a prefix added by a log collector. Lines that aren't log lines
are counted, so that skipped input doesn't go unnoticed.
*/
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text as readText} from 'node:stream/consumers';
import {createFailure, type Result} from './errors.ts';

type LogLine = Record<string, unknown> & {at: string; level: string; part: string; text: string; request?: string};

function isLogLine(value: unknown): value is LogLine {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {at, level, part, text, request = ''} = value as Record<string, unknown>;
	return [at, level, part, text, request].every(field => typeof field === 'string');
}

/** Parsed log line. */
export type LogEntry = {
	/** Instance that wrote the line: the last word of the collector's prefix, or the file without a prefix. */
	source: string;
	/** Time as in the line, in ISO 8601. */
	at: string;
	level: string;
	part: string;
	text: string;
	/** ID of the caller's request; undefined for lines about no request. */
	request: string | undefined;
	/** Inputs and outcome of the logged decision. */
	fields: Record<string, unknown>;
};

/** Log lines, and the number of other lines that aren't blank. */
export type ParsedLog = {entries: LogEntry[]; unreadable: number};

/** Parses the text of one file; `file` is the source of lines without a prefix. */
export function parseLogLines(text: string, file: string): ParsedLog {
	const entries: LogEntry[] = [];
	let unreadable = 0;
	for (const line of text.split('\n')) {
		const start = line.indexOf('{');
		const parsed = start === -1 ? undefined : parseJson(line.slice(start));
		if (isLogLine(parsed)) {
			const {
				at, level, part, text: message, request, ...fields
			} = parsed;
			const source = line.slice(0, start).trim().split(/\s+/v).at(-1)!;
			entries.push({
				source: source === '' ? file : source, at, level, part, text: message, request, fields,
			});
		} else if (line.trim() !== '') {
			unreadable += 1;
		}
	}

	return {entries, unreadable};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		// The line is counted as unreadable in `parseLogLines`.
		return undefined;
	}
}

/** Sorts lines by time; lines of the same time keep their order. */
export function sortByTime(entries: readonly LogEntry[]): LogEntry[] {
	return entries.toSorted((a, b) => a.at < b.at ? -1 : Number(a.at > b.at));
}

/** Reads files, or standard input for `-`; the lines of all are sorted by time. */
export async function readLogs(files: readonly string[]): Promise<Result<ParsedLog>> {
	const logs: ParsedLog[] = [];
	for (const file of files) {
		try {
			logs.push(parseLogLines(file === '-' ? await readText(process.stdin) : await readFile(file, 'utf8'), file));
		} catch (error) {
			return createFailure({kind: 'unreadableFile', file, reason: error instanceof Error ? error.message : String(error)});
		}
	}

	return {
		kind: 'ok',
		value: {
			entries: sortByTime(logs.flatMap(({entries}) => entries)),
			unreadable: logs.reduce((sum, {unreadable}) => sum + unreadable, 0),
		},
	};
}
