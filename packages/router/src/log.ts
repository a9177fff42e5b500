/*
The router's log: JSON lines for programs, or short text for people such as `12:00:01 info [lease] renewed`. Each line
has the fixed prefix of its part; keys are redacted and line breaks escaped before anything is written.
*/
import process from 'node:process';
import type {LogPart} from '@shallotloom/core/ports.ts';
import {createLogger, format, transports} from 'winston';
import {redact} from './redaction.ts';

/** Fixed prefixes of the edges, beside those of the core. */
export enum AdapterPart {
	Callers = 'callers',
	Peers = 'peers',
	Operators = 'operators',
	Platform = 'platform',
	Settings = 'settings',
}

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** One line of the log. */
export type LogLine = {
	part: LogPart | AdapterPart;
	level: LogLevel;
	/** A short sentence. */
	text: string;
	/** Id of the request that the line is about. */
	request?: string | undefined;
	/** What decided it: inputs with their age or version, and the outcome. */
	fields?: Record<string, unknown> | undefined;
};

export type Log = {
	write(line: LogLine): void;
	/** Resolves when every line has been handed to the destination. */
	close(): Promise<void>;
};

export type LogOptions = {
	format: 'json' | 'text';
	/** Least severe level that is written. */
	level: LogLevel;
	destination: NodeJS.WritableStream;
};

/** Options of a log when the settings name none. */
export const defaultLogOptions: LogOptions = {format: 'json', level: 'info', destination: process.stdout};

/** Creates a log. */
export function createLog(options: Partial<LogOptions> = {}): Log {
	const {format: outputFormat, level, destination} = {...defaultLogOptions, ...options};
	// `write` below is the only caller and gives every field.
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

/** What winston hands to the format. */
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
		// A field must not take the place of what every line has.
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

/** Time of day in UTC, for example `12:00:01`. */
function formatTimeOfDay(at: Date): string {
	const timeStart = 11;
	const timeEnd = 19;
	return at.toISOString().slice(timeStart, timeEnd);
}
