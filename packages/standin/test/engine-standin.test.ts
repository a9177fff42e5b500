/*
The engine stand-in over HTTP: streams, resuming, cold start and faults.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {createEngineStandin, type EngineStandin} from '../src/engine-standin.ts';
import type {EngineSettings} from '../src/engine-settings.ts';

let engine: EngineStandin;
let url: string;

async function open(settings: Partial<EngineSettings> = {}) {
	engine = createEngineStandin({
		warm: true, firstTokenMs: 5, betweenTokensMs: 2, tickMs: 5, orphanMs: 100, loadLagMs: 0, ...settings,
	});
	({url} = await engine.start());
}

afterEach(async () => {
	await engine.stop();
});

async function complete(id: string, tokens: number, more: Record<string, unknown> = {}) {
	return fetch(`${url}/v1/chat/completions`, {
		method: 'POST',
		headers: {'content-type': 'application/json', 'x-request-id': id, 'idempotency-key': `key-${id}`},
		body: JSON.stringify({
			model: 'm', stream: true, messages: [], standin_output_tokens: tokens, ...more,
		}),
	});
}

/** Text that came before the stream ended or broke. */
async function read(response: Response): Promise<{text: string; broken: boolean}> {
	const decoder = new TextDecoder();
	let text = '';
	try {
		for await (const chunk of response.body!) {
			const bytes: Uint8Array = chunk;
			text += decoder.decode(bytes, {stream: true});
		}

		return {text, broken: false};
	} catch {
		return {text, broken: true};
	}
}

function offsets(text: string): number[] {
	return text.split('\n').filter(line => line.startsWith('id: ')).map(line => Number(line.slice('id: '.length)));
}

async function stats() {
	return getJson('/standin/stats');
}

async function getJson(path: string): Promise<Record<string, unknown>> {
	const response = await fetch(url + path);
	const body: Record<string, unknown> = JSON.parse(await response.text());
	return body;
}

async function readComplete(id: string, tokens: number): Promise<string> {
	const {text} = await read(await complete(id, tokens));
	return text;
}

const range = (from: number, to: number) => Array.from({length: to - from}, (_, index) => from + index);

test('streams one event a token, then usage and the end mark', async () => {
	await open();
	const response = await complete('r1', 12);
	expect(response.headers.get('x-request-id')).toBe('r1');
	const {text, broken} = await read(response);
	expect(broken).toBe(false);
	expect(offsets(text)).toEqual(range(0, 12));
	expect(text.split('"finish_reason":"stop"')).toHaveLength(2);
	expect(text).toContain('"completion_tokens":12');
	expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
	expect(await stats()).toMatchObject({running: 0, runs: {'key-r1': 1}, ends: {complete: 1}});
});

test('answers in one document, of a length that follows from the request', async () => {
	await open({betweenTokensMs: 0});
	const lengths = await Promise.all(['a', 'b'].map(async id => {
		const response = await complete(id, 0, {stream: false, standin_output_tokens: undefined, messages: ['same']});
		const body: {usage: {completion_tokens: number}} = JSON.parse(await response.text());
		return body.usage.completion_tokens;
	}));
	expect(lengths[0]).toBe(lengths[1]);
	const limited = await complete('c', 50, {stream: false, max_tokens: 3});
	expect(await limited.json()).toMatchObject({choices: [{finish_reason: 'stop'}], usage: {completion_tokens: 3}});
});

test('resumes a stream that broke, without a gap', async () => {
	await open();
	engine.setFaults({cutStreamAt: 5});
	const first = await read(await complete('r1', 20));
	expect(first.broken).toBe(true);
	expect(offsets(first.text)).toEqual(range(0, 5));
	const rest = await read(await fetch(`${url}/v1/streams/r1?offset=5`));
	expect(offsets(rest.text)).toEqual(range(5, 20));
	expect(rest.text).toContain('[DONE]');
	expect(await stats()).toMatchObject({admitted: 1, ends: {complete: 1}});
	const unknown = await fetch(`${url}/v1/streams/r2?offset=0`);
	expect(unknown.status).toBe(404);
});

test('cancels on request, and on its own when the caller stays away', async () => {
	await open({betweenTokensMs: 20});
	const cancelled = await complete('r1', 1000);
	await fetch(`${url}/v1/streams/r1`, {method: 'DELETE'});
	expect(await read(cancelled)).toMatchObject({broken: true});
	const orphan = await complete('r2', 1000);
	await orphan.body!.cancel();
	for (let tries = 0; tries < 100; tries++) {
		const {running} = await stats();
		if (running === 0) {
			break;
		}

		await sleep(20);
	}

	expect(await stats()).toMatchObject({running: 0, ends: {cancelled: 1, orphaned: 1}});
});

test('falls over when a cold engine gets more than it carries', async () => {
	await open({
		warm: false, coldCapacity: 2, coldCompletions: 1, betweenTokensMs: 20,
	});
	const before = await stats();
	const streams = await Promise.all([complete('r1', 500), complete('r2', 500)]);
	await expect(complete('r3', 500)).rejects.toThrow();
	const cut = await Promise.all(streams.map(async stream => read(stream)));
	expect(cut.map(({broken}) => broken)).toEqual([true, true]);
	const after = await stats();
	expect(after).toMatchObject({
		coldOverruns: 1, running: 0, cold: true, ends: {cut: 3},
	});
	expect(after.startId).not.toBe(before.startId);
	await read(await complete('r4', 1));
	expect(await stats()).toMatchObject({cold: false, coldOverruns: 1});
});

test('crosses, truncates and duplicates answers as set', async () => {
	await open();
	engine.setFaults({crossAnswers: 1});
	const crossed = await complete('r1', 3);
	expect(crossed.headers.get('x-request-id')).not.toBe('r1');
	await read(crossed);
	engine.setFaults({truncate: 1});
	const truncated = await read(await complete('r2', 3));
	expect(truncated.broken).toBe(false);
	expect(truncated.text).not.toContain('"stop"');
	expect(truncated.text).not.toContain('[DONE]');
	engine.setFaults({duplicateAnswers: 1});
	const duplicated = await read(await complete('r3', 2));
	expect(offsets(duplicated.text)).toEqual([0, 0, 1, 1]);
	expect(await readComplete('r4', 2)).toContain('[DONE]');
});

test('is down and restarted over HTTP, and takes it back', async () => {
	await open();
	const post = async (faults: object) => fetch(`${url}/standin/faults`, {method: 'POST', body: JSON.stringify(faults)});
	const running = await complete('r1', 5000);
	await post({down: true});
	expect(await read(running)).toMatchObject({broken: true});
	await expect(complete('r2', 3)).rejects.toThrow();
	await fetch(`${url}/standin/faults`, {method: 'DELETE'});
	expect(await getJson('/load')).toMatchObject({running: 0, cold: true});
	await post({refuseMs: 50});
	await sleep(200);
	expect(await readComplete('r3', 3)).toContain('[DONE]');
});

test('holds late answers back while it runs them, and never answers when it hangs', async () => {
	await open({loadLagMs: 60_000});
	engine.setFaults({answerLateMs: 200});
	const late = complete('r1', 3);
	await sleep(100);
	expect(await stats()).toMatchObject({running: 0, ends: {complete: 1}});
	const {text} = await read(await late);
	expect(offsets(text)).toEqual([0, 1, 2]);

	engine.clearFaults();
	const running = await complete('r2', 5000);
	expect(await getJson('/load')).toMatchObject({running: 0, cold: false});
	engine.setFaults({hang: true});
	await expect(fetch(`${url}/load`, {signal: AbortSignal.timeout(100)})).rejects.toThrow('timeout');
	expect(await stats()).toMatchObject({running: 1, admitted: 2});
	await running.body!.cancel();
});

test.each([true, false])('refuses an order with an older epoch only when it fences: %s', async fences => {
	await open({fences});
	const statusOf = async (epoch: number) => {
		const response = await fetch(`${url}/orders`, {method: 'POST', body: JSON.stringify({kind: 'load-model', epoch})});
		return response.status;
	};

	expect(await statusOf(5)).toBe(200);
	expect(await statusOf(4)).toBe(fences ? 409 : 200);
});
