/*
The engine stand-in over HTTP: streams, resumption, cold start, faults and fencing of orders.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {createEngineStandin, type EngineStandin} from '../src/engine-standin.ts';
import type {EngineSettings} from '../src/engine-settings.ts';

let engine: EngineStandin;
let url: string;

async function startEngine(settings: Partial<EngineSettings> = {}) {
	engine = createEngineStandin({
		warm: true, firstTokenMs: 5, betweenTokensMs: 2, tickMs: 5, orphanMs: 100, loadLagMs: 0, ...settings,
	});
	({url} = await engine.start());
}

afterEach(async () => {
	await engine.stop();
});

async function requestCompletion(id: string, tokens: number, overrides: Record<string, unknown> = {}) {
	return fetch(`${url}/v1/chat/completions`, {
		method: 'POST',
		headers: {'content-type': 'application/json', 'x-request-id': id, 'idempotency-key': `key-${id}`},
		body: JSON.stringify({
			model: 'm', stream: true, messages: [], standin_output_tokens: tokens, ...overrides,
		}),
	});
}

/** Reads the text that arrives before the stream ends or its connection breaks. */
async function readStream(response: Response): Promise<{text: string; broken: boolean}> {
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

function parseOffsets(text: string): number[] {
	return text.split('\n').filter(line => line.startsWith('id: ')).map(line => Number(line.slice('id: '.length)));
}

async function getStats() {
	return getJson('/standin/stats');
}

async function getJson(path: string): Promise<Record<string, unknown>> {
	const response = await fetch(url + path);
	const body: Record<string, unknown> = JSON.parse(await response.text());
	return body;
}

async function requestText(id: string, tokens: number): Promise<string> {
	const {text} = await readStream(await requestCompletion(id, tokens));
	return text;
}

const createRange = (from: number, to: number) => Array.from({length: to - from}, (_, index) => from + index);

test('streams one event per token, then the usage and the terminator', async () => {
	await startEngine();
	const response = await requestCompletion('r1', 12);
	expect(response.headers.get('x-request-id')).toBe('r1');
	const {text, broken} = await readStream(response);
	expect(broken).toBe(false);
	expect(parseOffsets(text)).toEqual(createRange(0, 12));
	expect(text.split('"finish_reason":"stop"')).toHaveLength(2);
	expect(text).toContain('"completion_tokens":12');
	expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
	expect(await getStats()).toMatchObject({running: 0, runs: {'key-r1': 1}, ends: {complete: 1}});
});

test('answers in one document, with an output length that the request determines', async () => {
	await startEngine({betweenTokensMs: 0});
	const lengths = await Promise.all(['a', 'b'].map(async id => {
		const response = await requestCompletion(id, 0, {stream: false, standin_output_tokens: undefined, messages: ['same']});
		const body: {usage: {completion_tokens: number}} = JSON.parse(await response.text());
		return body.usage.completion_tokens;
	}));
	expect(lengths[0]).toBe(lengths[1]);
	const limited = await requestCompletion('c', 50, {stream: false, max_tokens: 3});
	expect(await limited.json()).toMatchObject({choices: [{finish_reason: 'stop'}], usage: {completion_tokens: 3}});
});

test('resumes a stream without a gap after its connection broke', async () => {
	await startEngine();
	engine.setFaults({cutStreamAt: 5});
	const first = await readStream(await requestCompletion('r1', 20));
	expect(first.broken).toBe(true);
	expect(parseOffsets(first.text)).toEqual(createRange(0, 5));
	const rest = await readStream(await fetch(`${url}/v1/streams/r1?offset=5`));
	expect(parseOffsets(rest.text)).toEqual(createRange(5, 20));
	expect(rest.text).toContain('[DONE]');
	expect(await getStats()).toMatchObject({admitted: 1, ends: {complete: 1}});
	const unknown = await fetch(`${url}/v1/streams/r2?offset=0`);
	expect(unknown.status).toBe(404);
});

test('cancels a stream on request, and by itself when the caller disconnects and does not resume', async () => {
	await startEngine({betweenTokensMs: 20});
	const cancelled = await requestCompletion('r1', 1000);
	await fetch(`${url}/v1/streams/r1`, {method: 'DELETE'});
	expect(await readStream(cancelled)).toMatchObject({broken: true});
	const orphan = await requestCompletion('r2', 1000);
	await orphan.body!.cancel();
	for (let tries = 0; tries < 100; tries++) {
		const {running} = await getStats();
		if (running === 0) {
			break;
		}

		await sleep(20);
	}

	expect(await getStats()).toMatchObject({running: 0, ends: {cancelled: 1, orphaned: 1}});
});

test('crashes when a cold engine gets more requests than its cold capacity', async () => {
	await startEngine({
		warm: false, coldCapacity: 2, coldCompletions: 1, betweenTokensMs: 20,
	});
	const before = await getStats();
	const streams = await Promise.all([requestCompletion('r1', 500), requestCompletion('r2', 500)]);
	await expect(requestCompletion('r3', 500)).rejects.toThrow();
	const cut = await Promise.all(streams.map(async stream => readStream(stream)));
	expect(cut.map(({broken}) => broken)).toEqual([true, true]);
	const after = await getStats();
	expect(after).toMatchObject({
		coldOverruns: 1, running: 0, cold: true, ends: {cut: 3},
	});
	expect(after.startId).not.toBe(before.startId);
	await readStream(await requestCompletion('r4', 1));
	expect(await getStats()).toMatchObject({cold: false, coldOverruns: 1});
});

test('crosses, truncates and duplicates as many answers as the faults say', async () => {
	await startEngine();
	engine.setFaults({crossAnswers: 1});
	const crossed = await requestCompletion('r1', 3);
	expect(crossed.headers.get('x-request-id')).not.toBe('r1');
	await readStream(crossed);
	engine.setFaults({truncate: 1});
	const truncated = await readStream(await requestCompletion('r2', 3));
	expect(truncated.broken).toBe(false);
	expect(truncated.text).not.toContain('"stop"');
	expect(truncated.text).not.toContain('[DONE]');
	engine.setFaults({duplicateAnswers: 1});
	const duplicated = await readStream(await requestCompletion('r3', 2));
	expect(parseOffsets(duplicated.text)).toEqual([0, 0, 1, 1]);
	expect(await requestText('r4', 2)).toContain('[DONE]');
});

test('applies and clears an outage over HTTP, and listens again after refusing connections', async () => {
	await startEngine();
	const post = async (faults: object) => fetch(`${url}/standin/faults`, {method: 'POST', body: JSON.stringify(faults)});
	const running = await requestCompletion('r1', 5000);
	await post({down: true});
	expect(await readStream(running)).toMatchObject({broken: true});
	await expect(requestCompletion('r2', 3)).rejects.toThrow();
	await fetch(`${url}/standin/faults`, {method: 'DELETE'});
	expect(await getJson('/load')).toMatchObject({running: 0, cold: true});
	await post({refuseMs: 50});
	await sleep(200);
	expect(await requestText('r3', 3)).toContain('[DONE]');
});

test('runs a request while its late answer is held back, and does not answer while it hangs', async () => {
	await startEngine({loadLagMs: 60_000});
	engine.setFaults({answerLateMs: 200});
	const late = requestCompletion('r1', 3);
	await sleep(100);
	expect(await getStats()).toMatchObject({running: 0, ends: {complete: 1}});
	const {text} = await readStream(await late);
	expect(parseOffsets(text)).toEqual([0, 1, 2]);

	engine.clearFaults();
	const running = await requestCompletion('r2', 5000);
	expect(await getJson('/load')).toMatchObject({running: 0, cold: false});
	engine.setFaults({hang: true});
	await expect(fetch(`${url}/load`, {signal: AbortSignal.timeout(100)})).rejects.toThrow('timeout');
	expect(await getStats()).toMatchObject({running: 1, admitted: 2});
	await running.body!.cancel();
});

test.each([true, false])('refuses an order with an older epoch only when it fences: %s', async fences => {
	await startEngine({fences});
	const sendOrder = async (epoch: number) => {
		const response = await fetch(`${url}/orders`, {method: 'POST', body: JSON.stringify({kind: 'load-model', epoch})});
		return response.status;
	};

	expect(await sendOrder(5)).toBe(200);
	expect(await sendOrder(4)).toBe(fences ? 409 : 200);
});
