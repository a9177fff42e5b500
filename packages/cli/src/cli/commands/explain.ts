/*
`explain`: shows the decisions about one request from the routers' logs in the order of time, and the cause of its end in
one sentence. A stream is followed over all attempts of its caller.
*/
import {createFailure} from '../../errors.ts';
import {sortByTime, readLogs, type LogEntry} from '../../log-lines.ts';
import {createReport, type Command} from '../command.ts';

/** Inputs of a logged decision, formatted for output. */
type FormattedFields = Record<string, string>;

/** Explanations of refusals from the inputs of their log lines, by reason. */
const refusalDescriptions: Record<string, (fields: FormattedFields) => string> = {
	'no-capacity': ({pool, afterMs, sends, used, share, rateLimitedTargets}) => Number(sends) > 0
		? `every eligible target of ${pool} had refused or failed the request`
		: [
			`${pool} had no free slot within ${afterMs} ms`,
			Number(used) > Number(share) ? `, and its workspace had used ${used} of a share of ${share}` : '',
			rateLimitedTargets === undefined ? '' : `; ${rateLimitedTargets} of its targets name rate limits`,
		].join(''),
	'unknown-route': ({host, path, version}) => `version ${version} of the configuration has no route for ${host}${path}`,
	'unknown-workspace': ({version}) => `version ${version} of the configuration has no such key`,
	'prompt-quarantined': ({segment, crashes}) => `part ${segment} of its prompt is in quarantine, since ${crashes} targets crashed under it`,
	'request-quarantined': ({fingerprint, crashes}) => `requests with its content (${fingerprint}) are in quarantine, since ${crashes} targets crashed under them`,
	'stream-unknown': ({pool, asked, replies}) => `no instance knew at which software version of ${pool} the stream began (${replies} of ${asked} replied)`,
	'stream-version-gone': ({pool, softwareVersion}) => `no target of ${pool} had version ${softwareVersion} of its software, at which the stream began`,
	'not-ready': () => 'the instance had no configuration yet',
	'deadline-passed': ({target, afterMs}) => `${target === '' ? 'it had not been sent to a target' : `${target} had not answered`} when its deadline passed, after ${afterMs} ms`,
	'target-failed': ({target}) => `${target} failed and may have run the request, which may not run again`,
	'answer-broken': ({target}) => `the answer of ${target} was truncated and could not be resumed at another target`,
};

function formatValue(value: unknown): string {
	return typeof value === 'string' ? value : JSON.stringify(value) ?? '';
}

function formatFields(fields: Record<string, unknown>): FormattedFields {
	return Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, formatValue(value)]));
}

/** Descriptions of how a request ended, by the text of its last log line. */
const endDescriptions: Record<string, (fields: FormattedFields) => string> = {
	served: ({target, tookMs, sends}) => `served by ${target} after ${tookMs} ms, in ${sends} ${sends === '1' ? 'send' : 'sends'}`,
	refused(fields) {
		const {reason, outcome} = fields;
		return `refused (${reason}, ${outcome}): ${refusalDescriptions[reason ?? '']?.(fields) ?? 'docs/OPERATIONS.md explains the reason'}`;
	},
	'failed by its target': ({target, reason, afterMs}) => `failed: ${target} answered with ${reason} after ${afterMs} ms, and the request may not run again`,
	'caller left': ({state, target, afterMs}) => `the caller disconnected after ${afterMs} ms, while the request was ${state}${target === '' ? '' : ` to ${target}`}`,
};

/** Describes the cause of the request's end in one sentence. */
export function describeCause(entries: readonly LogEntry[]): string {
	const lastEntry = entries.findLast(({text}) => text in endDescriptions);
	return lastEntry ? endDescriptions[lastEntry.text]!(formatFields(lastEntry.fields)) : 'no log line records its end: the instance may have been stopped, or omitted log lines';
}

/** Returns the targets named in the request's lines; other lines about them may show why they failed it. */
function getTargets(entries: readonly LogEntry[]): Set<unknown> {
	return new Set(entries.map(({fields}) => fields.target).filter(target => target !== undefined && target !== ''));
}

/** Lines about the request's targets are included from this long before the request's first line. */
const contextBeforeMs = 2000;

/** Returns the lines of the same instances about the request's targets, from shortly before the request until its end. */
function getContext(all: readonly LogEntry[], requestEntries: readonly LogEntry[]): LogEntry[] {
	const targets = getTargets(requestEntries);
	const sources = new Set(requestEntries.map(({source}) => source));
	const from = new Date(Date.parse(requestEntries[0]!.at) - contextBeforeMs).toISOString();
	const to = requestEntries.at(-1)!.at;
	return all.filter(({part, fields, source, at}) => part === 'target' && sources.has(source) && targets.has(fields.target) && at >= from && at <= to);
}

/** Value of `resumes` in the lines of attempts that don't name the stream that they resume. */
const unnamedStream = 'unnamed';

/** Returns the lines of the other attempts with which the caller of a request began or resumed the same stream. */
function getOtherAttempts(entries: readonly LogEntry[], request: string): LogEntry[] {
	const resumed = entries.find(entry => entry.request === request && entry.fields.resumes !== undefined)?.fields.resumes;
	if (resumed === unnamedStream) {
		return [];
	}

	const first = resumed ?? request;
	const attempts = new Set(entries.filter(({fields}) => fields.resumes === first).map(entry => entry.request));
	return entries.filter(entry => entry.request !== undefined && entry.request !== request && (entry.request === first || attempts.has(entry.request)));
}

/** Formats a line; the request is named where it is another one than the one to explain. */
function formatLine({at, source, part, text, request, fields}: LogEntry, explained: string): string {
	const timeOffset = 11;
	const attempt = request === undefined || request === explained ? '' : ` (attempt ${request})`;
	const inputs = Object.entries(formatFields(fields)).map(([name, value]) => `${name} ${value}`);
	return `${at.slice(timeOffset)}  ${source}  [${part}] ${text}${attempt}${inputs.length > 0 ? `: ${inputs.join(', ')}` : ''}`;
}

export const explain: Command = {
	usage: 'explain <request> <file...>',
	describe: 'Show the decisions about one request from the routers\' logs, and the cause of its end',
	example: 'explain e40dfd3a1e9d0068 router-1.log router-2.log',
	isLocal: true,
	async run({positionals: [request = '', ...files]}) {
		const logs = await readLogs(files);
		if (logs.kind === 'failed') {
			return logs;
		}

		const {entries, unreadable} = logs.value;
		const requestEntries = entries.filter(entry => entry.request === request);
		if (requestEntries.length === 0) {
			return createFailure({
				kind: 'notLogged', request, lines: entries.length, unreadable,
			});
		}

		const cause = describeCause(requestEntries);
		const context = getContext(entries, requestEntries);
		const timeline = sortByTime([...requestEntries, ...getOtherAttempts(entries, request), ...context]);
		return createReport([...timeline.map(entry => formatLine(entry, request)), '', `${request}: ${cause}`].join('\n'), {request, cause, lines: timeline});
	},
};
