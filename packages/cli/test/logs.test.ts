import {writeFile, mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describeCause} from '../src/cli/commands/explain.ts';
import {createSummary} from '../src/cli/commands/summary.ts';
import {runProgram} from '../src/cli/program.ts';
import {ExitCode} from '../src/errors.ts';
import {parseLogLines} from '../src/log-lines.ts';

function createLine(ms: number, part: string, text: string, fields: Record<string, unknown> = {}): string {
	return JSON.stringify({
		at: `2026-12-04T02:00:00.${String(ms).padStart(3, '0')}Z`, level: 'info', part, text, ...fields,
	});
}

const lines = [
	createLine(100, 'request', 'sent', {
		request: 'r1', target: 'i-1', pool: 'desk', send: 1, load: 3, loadAgeMs: 40, version: 7,
	}),
	createLine(120, 'target', 'set aside', {
		target: 'i-1', reason: 'broken answers', failuresInRow: 3, pauseMs: 500,
	}),
	createLine(121, 'target', 'set aside', {target: 'i-9', reason: 'broken answers'}),
	createLine(122, 'request', 'sent again', {
		request: 'r1', target: 'i-1', reason: 'UND_ERR_SOCKET', attempts: 1, isResumed: false,
	}),
	createLine(123, 'request', 'sent', {
		request: 'r1', target: 'i-2', pool: 'desk', send: 2, version: 7,
	}),
	createLine(180, 'request', 'served', {
		request: 'r1', target: 'i-2', sends: 2, tookMs: 80,
	}),
	createLine(300, 'request', 'refused', {
		request: 'r2', reason: 'no-capacity', outcome: 'not-run', pool: 'engines', workspace: 'a', sends: 0, afterMs: 204, used: 900, share: 500, version: 7,
	}),
];

const streamLines = [
	createLine(400, 'request', 'sent', {request: 's1', target: 'i-1', softwareVersion: 'v1'}),
	createLine(430, 'request', 'stream located', {
		request: 's2', resumes: 's1', pool: 'engines', softwareVersion: 'v1', source: 'own record',
	}),
	createLine(440, 'request', 'served', {
		request: 's2', target: 'i-3', sends: 1, tookMs: 10,
	}),
	createLine(450, 'request', 'sent', {request: 's3', resumes: 'unnamed', target: 'i-1'}),
];

let directory: string;

beforeAll(async () => {
	directory = await mkdtemp(path.join(tmpdir(), 'shallotloom-logs-'));
	await writeFile(path.join(directory, 'one.log'), `${lines.slice(3).join('\n')}\nnot a line\n`);
	await writeFile(path.join(directory, 'streams.log'), streamLines.join('\n'));
	await writeFile(path.join(directory, 'two.log'), `  12.5 edge-1 ${lines.slice(0, 3).join('\n  12.6 edge-1 ')}\n`);
});

afterAll(async () => {
	await rm(directory, {recursive: true});
});

async function run(...args: string[]) {
	const output = {text: '', error: ''};
	const code = await runProgram(args, {
		environment: {},
		version: '0',
		terminal: {
			isInteractive: false, hasColour: false, signal: new AbortController().signal, write(text) {
				output.text += text;
			},
		},
		writeError(text) {
			output.error += text;
		},
	});
	return {code, ...output};
}

test('a line is parsed with any prefix of a log collector; other lines are counted', () => {
	const {entries, unreadable} = parseLogLines(`   1.5 edge-1 ${lines[0]!}\n{"at": 1}\n\nplain\n${lines[1]!}`, 'file.log');
	expect(entries.map(({source, text}) => [source, text])).toEqual([['edge-1', 'sent'], ['file.log', 'set aside']]);
	expect(entries[0]).toMatchObject({request: 'r1', fields: {target: 'i-1', loadAgeMs: 40}});
	expect(unreadable).toBe(2);
});

test('explain shows the lines of a request and its targets from all files in the order of time, and the cause of its end', async () => {
	const {code, text} = await run('explain', 'r1', path.join(directory, 'one.log'), path.join(directory, 'two.log'));
	expect(code).toBe(ExitCode.Ok);
	expect(text.split('\n').map(line => /\] (?<words>[a-z ]+)/v.exec(line)?.groups!.words)).toEqual(['sent', 'set aside', 'sent again', 'sent', 'served', undefined, undefined, undefined]);
	expect(text).toMatch(/r1: served by i-2 after 80 ms, in 2 sends/v);
	expect(text).not.toMatch(/i-9/v);
});

test.each(['s1', 's2'])('explain follows a stream over all attempts of its caller: %s', async request => {
	const {text} = await run('explain', request, path.join(directory, 'streams.log'));
	expect(text.split('\n').map(line => /\] (?<words>[a-z ]+)/v.exec(line)?.groups!.words!.trim())).toEqual(['sent', 'stream located', 'served', undefined, undefined]);
});

test('the cause of a refusal contains its inputs', () => {
	expect(describeCause(parseLogLines(lines.at(-1)!, '').entries)).toBe('refused (no-capacity, not-run): engines had no free slot within 204 ms, and its workspace had used 900 of a share of 500');
});

test('an unknown request ID and an unreadable file are reported', async () => {
	const unknown = await run('explain', 'r7', path.join(directory, 'one.log'));
	expect(unknown).toMatchObject({code: ExitCode.Failed});
	expect(unknown.error).toMatch(/no log line has the request ID r7: 4 log lines read, 1 other lines skipped/v);
	expect(await run('summary', path.join(directory, 'none.log'))).toMatchObject({code: ExitCode.Usage});
	expect(await run('explain', 'r1')).toMatchObject({code: ExitCode.Usage});
});

test('the summary counts by second and reason', () => {
	const rows = createSummary(parseLogLines(lines.join('\n'), 'a').entries);
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
