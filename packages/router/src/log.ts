/*
The router's log: JSON lines for programs, or short text for people such as `12:00:01 info [lease] renewed`. Each line
names the part of the router that wrote it. Keys are redacted from the text, and line breaks escaped, before a line is written.
*/
import process from 'node:process';
import type {LogPart} from '@shallotloom/core/ports.ts';
import {createLogger, format, transports} from 'winston';
import {redact} from './redaction.ts';

/** Log prefixes of the adapters around the core; those of the core are in `LogPart`. */
export enum AdapterPart {
	Callers = 'callers',
	Peers = 'peers',
	Operators = 'operators',
	Platform = 'platform',
	Settings = 'settings',
	Process = 'process',
	Internal = 'internal',
}

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export type LogLine = {
	part: LogPart | AdapterPart;
	level: LogLevel;
	/** Short message. */
	text: string;
	/** Id of the request that the line is about. */
	request?: string | undefined;
	/** Inputs of the logged decision with their age or version, and its outcome. */
	fields?: Record<string, unknown> | undefined;
};

export type Log = {
	write(line: LogLine): void;
	/** Resolves when every line has been passed to the destination. */
	close(): Promise<void>;
};

export type LogOptions = {
	format: 'json' | 'text';
	/** Minimum severity of the lines that are written. */
	level: LogLevel;
	destination: NodeJS.WritableStream;
};

export const defaultLogOptions: LogOptions = {format: 'json', level: 'info', destination: process.stdout};

export function createLog(options: Partial<LogOptions> = {}): Log {
	const {format: outputFormat, level, destination} = {...defaultLogOptions, ...options};
	// The cast is safe: only `write` below calls the logger, and it sets every field of `LogRecord`.
	const lineFormat = format.printf(info => formatters[outputFormat](info as unknown as LogRecord));
	const logger = createLogger({
		level,
		levels: {
			error: 0, warn: 1, info: 2, debug: 3,
		},
		format: lineFormat,
		transports: [new transports.Stream({stream: destination, eol: '\n'})],
	});
	return {
		write({
			part, level: severity, text, request, fields,
		}) {
			logger.log({
				level: severity, message: redact(text), part, request, fields, at: new Date(),
			});
		},
		async close() {
			return new Promise(resolve => {
				logger.once('finish', resolve);
				logger.end();
			});
		},
	};
}

/** Record that winston passes to the formatter. */
type LogRecord = {
	level: LogLevel;
	message: string;
	part: string;
	request?: string;
	fields?: Record<string, unknown>;
	at: Date;
};

const formatters: Record<LogOptions['format'], (record: LogRecord) => string> = {
	json({
		at, level, part, message, request, fields,
	}) {
		const head = {
			at: at.toISOString(), level, part, text: message, request,
		};
		// The standard keys are spread again last, so that a field of the same name can't overwrite them.
		return JSON.stringify({...head, ...fields, ...head});
	},
	text({
		at, level, part, message, request, fields,
	}) {
		const suffix = request === undefined ? '' : ` (${request})`;
		const inputs = fields === undefined ? '' : ` ${JSON.stringify(fields)}`;
		return `${formatTimeOfDay(at)} ${level} [${part}] ${message}${inputs}${suffix}`.replaceAll('\r', String.raw`\r`).replaceAll('\n', String.raw`\n`);
	},
};

/** Formats the time of day in UTC, for example `12:00:01`. */
function formatTimeOfDay(at: Date): string {
	const timeStart = 11;
	const timeEnd = 19;
	return at.toISOString().slice(timeStart, timeEnd);
}
