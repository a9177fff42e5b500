import {writeFile, mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {causeOf} from '../src/cli/commands/explain.ts';
import {summaryOf} from '../src/cli/commands/summary.ts';
import {runProgram} from '../src/cli/program.ts';
import {ExitCode} from '../src/errors.ts';
import {readLogLines} from '../src/log-lines.ts';

function lineOf(ms: number, part: string, text: string, fields: Record<string, unknown> = {}): string {
	return JSON.stringify({
		at: `2026-12-04T02:00:00.${String(ms).padStart(3, '0')}Z`, level: 'info', part, text, ...fields,
	});
}

const lines = [
	lineOf(100, 'request', 'sent', {
		request: 'r1', target: 'i-1', pool: 'desk', send: 1, load: 3, loadAgeMs: 40, version: 7,
	}),
	lineOf(120, 'target', 'set aside', {
		target: 'i-1', reason: 'broken answers', failuresInRow: 3, pauseMs: 500,
	}),
	lineOf(121, 'target', 'set aside', {target: 'i-9', reason: 'broken answers'}),
	lineOf(122, 'request', 'sent again', {
		request: 'r1', target: 'i-1', reason: 'UND_ERR_SOCKET', attempts: 1, isResumed: false,
	}),
	lineOf(123, 'request', 'sent', {
		request: 'r1', target: 'i-2', pool: 'desk', send: 2, version: 7,
	}),
	lineOf(180, 'request', 'served', {
		request: 'r1', target: 'i-2', sends: 2, tookMs: 80,
	}),
	lineOf(300, 'request', 'refused', {
		request: 'r2', reason: 'no-capacity', outcome: 'not-run', pool: 'engines', workspace: 'a', sends: 0, afterMs: 204, used: 900, share: 500, version: 7,
	}),
];

let folder: string;

beforeAll(async () => {
	folder = await mkdtemp(path.join(tmpdir(), 'shallotloom-logs-'));
	await writeFile(path.join(folder, 'one.log'), `${lines.slice(3).join('\n')}\nnot a line\n`);
	await writeFile(path.join(folder, 'two.log'), `  12.5 edge-1 ${lines.slice(0, 3).join('\n  12.6 edge-1 ')}\n`);
});

afterAll(async () => {
	await rm(folder, {recursive: true});
});

async function run(...args: string[]) {
	const output = {text: '', error: ''};
	const code = await runProgram(args, {
		environment: {},
		version: '0',
		terminal: {
			interactive: false, colour: false, signal: new AbortController().signal, write(text) {
				output.text += text;
			},
		},
		writeError(text) {
			output.error += text;
		},
	});
	return {code, ...output};
}

test('a line is read whatever its collector wrote before it; others are counted', () => {
	const {entries, unreadable} = readLogLines(`   1.5 edge-1 ${lines[0]!}\n{"at": 1}\n\nplain\n${lines[1]!}`, 'file.log');
	expect(entries.map(({source, text}) => [source, text])).toEqual([['edge-1', 'sent'], ['file.log', 'set aside']]);
	expect(entries[0]).toMatchObject({request: 'r1', fields: {target: 'i-1', loadAgeMs: 40}});
	expect(unreadable).toBe(2);
});

test('the way of a request is told in order over all files, with what was said of its targets, and its cause', async () => {
	const {code, text} = await run('explain', 'r1', path.join(folder, 'one.log'), path.join(folder, 'two.log'));
	expect(code).toBe(ExitCode.Ok);
	expect(text.split('\n').map(line => /\] (?<words>[a-z ]+)/v.exec(line)?.groups!.words)).toEqual(['sent', 'set aside', 'sent again', 'sent', 'served', undefined, undefined, undefined]);
	expect(text).toMatch(/r1: served by i-2 after 80 ms, in 2 sends/v);
	expect(text).not.toMatch(/i-9/v);
});

test('a refusal names its inputs', () => {
	expect(causeOf(readLogLines(lines.at(-1)!, '').entries)).toBe('refused (no-capacity, not-run): engines had no place within 204 ms, and its workspace had used 900 of a share of 500');
});

test('a request that no line names, and a file that can\'t be read, are told', async () => {
	const unknown = await run('explain', 'r7', path.join(folder, 'one.log'));
	expect(unknown).toMatchObject({code: ExitCode.Failed});
	expect(unknown.error).toMatch(/no line names the request r7; 4 lines were read, 1 were none of the log/v);
	expect(await run('summary', path.join(folder, 'none.log'))).toMatchObject({code: ExitCode.Usage});
	expect(await run('explain', 'r1')).toMatchObject({code: ExitCode.Usage});
});

test('the summary counts by second and reason', () => {
	const rows = summaryOf(readLogLines(lines.join('\n'), 'a').entries);
	expect(rows).toEqual([
		{
			second: '2026-12-04T02:00:00', what: 'target set aside: broken answers', count: 2, sources: 1,
		},
		{
			second: '2026-12-04T02:00:00', what: 'sent again: UND_ERR_SOCKET', count: 1, sources: 1,
		},
		{
			second: '2026-12-04T02:00:00', what: 'refused: no-capacity, not-run', count: 1, sources: 1,
		},
	]);
});
