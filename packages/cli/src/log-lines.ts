/*
Reads the routers' logs: JSON lines, with whatever a collector wrote before them. What isn't a log line is counted, not lost
in silence.
*/
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text as textOf} from 'node:stream/consumers';
import {failed, type Result} from './errors.ts';

type Line = Record<string, unknown> & {at: string; level: string; part: string; text: string; request?: string};

function isLine(value: unknown): value is Line {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {at, level, part, text, request = ''} = value as Record<string, unknown>;
	return [at, level, part, text, request].every(field => typeof field === 'string');
}

/** One line of a log. */
export type LogEntry = {
	/** Where it was written: the last word before the line, or the file. */
	source: string;
	/** As in the line: ISO 8601. */
	at: string;
	level: string;
	part: string;
	text: string;
	/** Id of the caller's request; undefined for what concerns none. */
	request: string | undefined;
	/** Inputs and outcome of the decision. */
	fields: Record<string, unknown>;
};

export type LogText = {entries: LogEntry[]; unreadable: number};

/** Reads the lines of one text. */
export function readLogLines(text: string, file: string): LogText {
	const entries: LogEntry[] = [];
	let unreadable = 0;
	for (const line of text.split('\n')) {
		const start = line.indexOf('{');
		const parsed = start === -1 ? undefined : jsonOf(line.slice(start));
		if (isLine(parsed)) {
			const {
				at, level, part, text: words, request, ...fields
			} = parsed;
			const source = line.slice(0, start).trim().split(/\s+/v).at(-1)!;
			entries.push({
				source: source === '' ? file : source, at, level, part, text: words, request, fields,
			});
		} else if (line.trim() !== '') {
			unreadable += 1;
		}
	}

	return {entries, unreadable};
}

function jsonOf(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		// Counted as unreadable by the caller.
		return undefined;
	}
}

/** Lines in the order of their times; those of one time as they were. */
export function inOrder(entries: readonly LogEntry[]): LogEntry[] {
	return entries.toSorted((a, b) => a.at < b.at ? -1 : Number(a.at > b.at));
}

/** Reads files, or standard input for `-`; all lines in the order of their times. */
export async function readLogs(files: readonly string[]): Promise<Result<LogText>> {
	const texts: LogText[] = [];
	for (const file of files) {
		try {
			texts.push(readLogLines(file === '-' ? await textOf(process.stdin) : await readFile(file, 'utf8'), file));
		} catch (error) {
			return failed({kind: 'unreadableFile', file, reason: error instanceof Error ? error.message : String(error)});
		}
	}

	return {
		kind: 'ok',
		value: {
			entries: inOrder(texts.flatMap(({entries}) => entries)),
			unreadable: texts.reduce((sum, {unreadable}) => sum + unreadable, 0),
		},
	};
}
