/*
`explain`: the way of one request through the logs of the routers, decision by decision, and its cause in one sentence.
*/
import {failed} from '../../errors.ts';
import {inOrder, readLogs, type LogEntry} from '../../log-lines.ts';
import {report, type Command} from '../command.ts';

/** Inputs of a decision, as they are printed. */
type Fields = Record<string, string>;

/** What a refusal with a reason means, by its inputs. */
const reasons: Record<string, (fields: Fields) => string> = {
	'no-capacity': ({pool, afterMs, sends, used, share}) => Number(sends) > 0
		? `every target of ${pool} that it could go to had refused or failed it`
		: `${pool} had no place within ${afterMs} ms${Number(used) > Number(share) ? `, and its workspace had used ${used} of a share of ${share}` : ''}`,
	'unknown-route': ({host, path, version}) => `version ${version} of the configuration has no route for ${host}${path}`,
	'unknown-workspace': ({version}) => `version ${version} of the configuration has no such key`,
	'not-ready': () => 'the instance had no configuration yet',
	'deadline-passed': ({target, afterMs}) => `${target === '' ? 'no target had it' : `${target} had not answered`} when its time was over, after ${afterMs} ms`,
	'target-failed': ({target}) => `${target} may have run it and failed, and it may not run again`,
	'answer-broken': ({target}) => `the answer of ${target} broke off, and the rest could not be asked for elsewhere`,
};

function printed(value: unknown): string {
	return typeof value === 'string' ? value : JSON.stringify(value) ?? '';
}

function printedFields(fields: Record<string, unknown>): Fields {
	return Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, printed(value)]));
}

/** What a request's last line says of how it ended. */
const endings: Record<string, (fields: Fields) => string> = {
	served: ({target, tookMs, sends}) => `served by ${target} after ${tookMs} ms, in ${sends} ${sends === '1' ? 'send' : 'sends'}`,
	refused(fields) {
		const {reason, outcome} = fields;
		return `refused (${reason}, ${outcome}): ${reasons[reason ?? '']?.(fields) ?? 'docs/OPERATIONS.md names the reason'}`;
	},
	'failed by its target': ({target, reason, afterMs}) => `failed: ${target} answered with ${reason} after ${afterMs} ms, and it may not run again`,
	'caller left': ({state, target, afterMs}) => `its caller left after ${afterMs} ms, while it was ${state}${target === '' ? '' : ` to ${target}`}`,
};

/** Cause of the request's end in one sentence. */
export function causeOf(entries: readonly LogEntry[]): string {
	const last = entries.findLast(({text}) => text in endings);
	return last ? endings[last.text]!(printedFields(last.fields)) : 'no line tells how it ended: the instance may have been stopped, or left lines out';
}

/** Targets that the request was sent to, about which other lines may say why they failed it. */
function targetsOf(entries: readonly LogEntry[]): Set<unknown> {
	return new Set(entries.map(({fields}) => fields.target).filter(target => target !== undefined && target !== ''));
}

/** How long before the request's first line lines about its targets are of use, in milliseconds. */
const contextMs = 2000;

/** Lines of the same instances about the request's targets, a little before and during the request. */
function contextOf(all: readonly LogEntry[], own: readonly LogEntry[]): LogEntry[] {
	const targets = targetsOf(own);
	const sources = new Set(own.map(({source}) => source));
	const from = new Date(Date.parse(own[0]!.at) - contextMs).toISOString();
	const to = own.at(-1)!.at;
	return all.filter(({part, fields, source, at}) => part === 'target' && sources.has(source) && targets.has(fields.target) && at >= from && at <= to);
}

function lineOf({at, source, part, text, fields}: LogEntry): string {
	const timeStart = 11;
	const inputs = Object.entries(printedFields(fields)).map(([name, value]) => `${name} ${value}`);
	return `${at.slice(timeStart)}  ${source}  [${part}] ${text}${inputs.length > 0 ? `: ${inputs.join(', ')}` : ''}`;
}

export const explain: Command = {
	usage: 'explain <request> <file...>',
	describe: 'Tell the way of one request from the routers\' logs, and why it ended as it did',
	example: 'explain e40dfd3a1e9d0068 router-1.log router-2.log',
	isLocal: true,
	async run({positionals: [request = '', ...files]}) {
		const logs = await readLogs(files);
		if (logs.kind === 'failed') {
			return logs;
		}

		const {entries, unreadable} = logs.value;
		const own = entries.filter(entry => entry.request === request);
		if (own.length === 0) {
			return failed({
				kind: 'notLogged', request, lines: entries.length, unreadable,
			});
		}

		const cause = causeOf(own);
		const context = contextOf(entries, own);
		const way = inOrder([...own, ...context]);
		return report([...way.map(entry => lineOf(entry)), '', `${request}: ${cause}`].join('\n'), {request, cause, lines: way});
	},
};
