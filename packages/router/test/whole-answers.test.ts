import {setTimeout as sleep} from 'node:timers/promises';
import {
	call, looksComplete, createOffsets, type Call, type Reply,
} from './support/caller.ts';
import {
	Pool, startDeployment, waitUntil, type Deployment,
} from './support/deployment.ts';
import type {ScriptedCall} from './support/scripted-target.ts';

let deployment: Deployment;

beforeAll(async () => {
	deployment = await startDeployment();
});

afterEach(async () => {
	await deployment.reset();
});

afterAll(async () => {
	await deployment.stop();
});

const sendRequest = async (options: Call) => call(deployment.url, options);
const sendStreamRequest = async (options: Call = {}) => sendRequest({isStreamed: true, ...options});

type EngineStats = {requests: Array<{id: string; admissions: number; end: string}>; running: number};

async function fetchEngineStats(): Promise<EngineStats> {
	const response = await fetch(`${deployment.engineUrl}/standin/stats`);
	return await response.json() as EngineStats;
}

function expectOwnTokens(reply: Reply, tokens: number) {
	expect(reply.status).toBe(200);
	const id = String(reply.headers['x-request-id']);
	const content = createOffsets(tokens).map(offset => `${id}.${offset} `);
	const found = [...reply.text.matchAll(/"content":"(?<text>[^"]*)"/gv)].map(match => match.groups!.text!);
	expect(found.join('')).toBe(content.join(''));
}

describe.each([['streamed', true], ['unstreamed', false]])('%s answers of an engine', (_, streams) => {
	test.each<[string, Record<string, number>]>([
		['that arrive in time', {}],
		['that arrive late', {answerLateMs: 400}],
		['that are swapped with those of another request', {crossAnswers: 1}],
		['whose events are duplicated', {duplicateAnswers: 1}],
		['that end early without a finish', {truncate: 1}],
	])('%s are delivered complete', async (_name, faults) => {
		deployment.engine.setFaults(faults);
		const reply = await sendRequest({isStreamed: streams, tokens: 12});
		expectOwnTokens(reply, 12);
		expect(reply.isTruncated).toBe(false);
		if (streams) {
			expect(reply.offsets).toEqual(createOffsets(12));
			expect(looksComplete(reply)).toBe(true);
			expect(reply.text.match(/\[DONE\]/gv)).toHaveLength(1);
		}
	});
});

test.each([0, 1, 7, 11, 12])('a stream that breaks at token %i of 12 is resumed without a lost or duplicated token', async cutStreamAt => {
	deployment.engine.setFaults({cutStreamAt});
	const reply = await sendStreamRequest({tokens: 12});
	expectOwnTokens(reply, 12);
	expect(reply.offsets).toEqual(createOffsets(12));
	expect(looksComplete(reply)).toBe(true);
});

function expectTruncated(reply: Reply) {
	expect(reply.isTruncated).toBe(true);
	expect(reply.text).toContain('event: error');
	expect(reply.text).not.toContain('[DONE]');
	expect(reply.error).toMatchObject({kind: 'answer-broken', outcome: 'unknown', retryAfter: 1});
	expect(new Set(reply.offsets).size).toBe(reply.offsets.length);
}

test('a stream that its engine has lost ends with an error event and an aborted connection', async () => {
	const reply = await sendStreamRequest({
		tokens: 300,
		onText(text) {
			if (text.includes('id: 5\n')) {
				deployment.engine.setFaults({restart: true});
			}
		},
	});
	expectTruncated(reply);
});

const createTokenEvent = (offset: number, finish = false) => `id: ${offset}\ndata: {"choices":[{"delta":{"content":"t"},"finish_reason":${finish ? '"stop"' : 'null'}}]}\n\n`;
const doneMarker = 'data: [DONE]\n\n';
const eventStream = {contentType: 'text/event-stream'};

function writeAndCut(text: string) {
	return ({answer, socket}: ScriptedCall) => {
		answer(text, {...eventStream, missingBytes: 10});
		setTimeout(() => {
			socket.destroy();
		}, 30);
	};
}

const writeTwoTokensAndCut = writeAndCut(createTokenEvent(0) + createTokenEvent(1));

test.each<[string, (call: ScriptedCall) => void]>([
	['with a JSON error', ({answer}) => {
		answer('{"error":{"message":"stream not kept"}}', {status: 404});
	}],
	['as overloaded', ({answer}) => {
		answer('{"error":"busy"}', {status: 503});
	}],
	['with a JSON document', ({answer}) => {
		answer('{"choices":[{"finish_reason":"stop"}],"usage":{"completion_tokens":3}}');
	}],
	['with another request\'s stream', ({answer}) => {
		answer(createTokenEvent(2, true) + doneMarker, {...eventStream, id: 'other'});
	}],
	['with a gap', ({answer}) => {
		answer(createTokenEvent(3) + createTokenEvent(4, true) + doneMarker, eventStream);
	}],
	['with an end marker but no finish reason', ({answer}) => {
		answer(createTokenEvent(2) + doneMarker, eventStream);
	}],
	['by breaking', ({socket}) => {
		socket.destroy();
	}],
])('a stream whose resumption is answered %s ends with an error event and a broken connection', async (_, resumed) => {
	deployment.scripted.script(writeTwoTokensAndCut, resumed);
	expectTruncated(await sendStreamRequest({pool: Pool.ScriptedEngine}));
	expect(deployment.scripted.calls.filter(({request}) => request.method === 'POST')).toHaveLength(1);
});

test('a stream that broke after its finish reason is resumed for the end marker alone', async () => {
	deployment.scripted.script(writeAndCut(createTokenEvent(0) + createTokenEvent(1, true)), ({answer}) => {
		answer(doneMarker, eventStream);
	});
	const reply = await sendStreamRequest({pool: Pool.ScriptedEngine});
	expect(reply.offsets).toEqual([0, 1]);
	expect(looksComplete(reply)).toBe(true);
});

const document = '{"choices":[{"message":{"content":"whole"},"finish_reason":"stop"}],"usage":{"completion_tokens":3}}';

test.each<[string, (call: ScriptedCall) => void]>([
	['cut within its body', ({answer, socket}) => {
		answer(document.slice(0, 40), {missingBytes: 100});
		setTimeout(() => {
			socket.destroy();
		}, 30);
	}],
	['cut within its head', ({socket}) => {
		socket.end('HTTP/1.1 200 OK\r\ncontent-ty');
	}],
	['truncated but of matching content length', ({answer}) => {
		answer(document.slice(0, 40));
	}],
	['without a finish reason', ({answer}) => {
		answer(document.replace('"stop"', 'null'));
	}],
	['of another request', ({answer}) => {
		answer('{"choices":[{"message":{"content":"other"},"finish_reason":"stop"}]}', {id: 'other'});
	}],
])('an unstreamed answer that is %s is not delivered', async (_, script) => {
	deployment.scripted.script(script);
	const reply = await sendRequest({pool: Pool.ScriptedEngine});
	expect(reply.status).toBe(502);
	expect(reply.error).toMatchObject({kind: 'target-failed', outcome: 'unknown'});
});

test('a duplicate answer on a connection is not taken for the answer of the next request', async () => {
	deployment.scripted.script(({answer}) => {
		answer(document.replace('whole', 'first'));
		answer(document.replace('whole', 'again'));
	}, ({answer, id}) => {
		answer(document.replace('whole', id));
	});
	const first = await sendRequest({pool: Pool.ScriptedEngine});
	expect(first.text).toContain('first');
	for (let count = 0; count < 4; count++) {
		const reply = await sendRequest({pool: Pool.ScriptedEngine});
		expect(reply.text).toContain(String(reply.headers['x-request-id']));
	}
});

async function expectCancelled(before: number) {
	await waitUntil('the cancellation', async () => {
		const {requests} = await fetchEngineStats();
		return requests.slice(before).some(({end}) => end === 'cancelled');
	});
	await waitUntil('the return of the permit', async () => deployment.router.world.permits.size === 0);
}

test('when a caller disconnects from its stream, the stream is cancelled at the engine and its permit freed', async () => {
	const {requests: {length: before}} = await fetchEngineStats();
	const reply = await sendStreamRequest({
		tokens: 2000,
		onText(_text, disconnect) {
			disconnect();
		},
	});
	expect(reply.isTruncated).toBe(true);
	await expectCancelled(before);
});

test('when a caller disconnects before its unstreamed answer, the request is cancelled at the engine and its permit freed', async () => {
	const {requests: {length: before}} = await fetchEngineStats();
	const callerAbort = new AbortController();
	const reply = sendRequest({tokens: 2000, signal: callerAbort.signal});
	await waitUntil('the start of the request', async () => {
		const {requests} = await fetchEngineStats();
		return requests.length > before;
	});
	callerAbort.abort();
	expect(await reply).toMatchObject({status: 0, isTruncated: true});
	await expectCancelled(before);
});

test('an unstreamed answer that hasn\'t arrived by the deadline is cancelled and refused with the outcome unknown', async () => {
	const {requests: {length: before}} = await fetchEngineStats();
	const reply = await sendRequest({tokens: 2000, deadlineMs: 300});
	expect(reply.status).toBe(504);
	expect(reply.error).toMatchObject({kind: 'deadline-passed', outcome: 'unknown'});
	await expectCancelled(before);
});

/** Writes 40 MB of events and, if `isComplete`, the end of the stream. */
function flood({socket, id}: ScriptedCall, isComplete: boolean) {
	socket.write(`HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n`);
	const padding = 'x'.repeat(100_000);
	const write = (text: string) => socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
	for (let offset = 0; offset < 400; offset++) {
		write(`id: ${offset}\ndata: {"choices":[{"delta":{"content":"${padding}"}}]}\n\n`);
	}

	if (isComplete) {
		write(createTokenEvent(400, true) + doneMarker);
		socket.write('0\r\n\r\n');
	}
}

async function openSlowStream(options: Call) {
	const leaving = new AbortController();
	const reply = sendStreamRequest({
		pool: Pool.ScriptedEngine, signal: leaving.signal, readsNothing: true, ...options,
	});
	await waitUntil('the stream', async () => deployment.scripted.calls.length > 0);
	return {
		async disconnect() {
			leaving.abort();
			await reply;
		},
	};
}

test('a slow caller delays only its own stream', async () => {
	const {scripted} = deployment;
	scripted.script(scriptedCall => {
		flood(scriptedCall, false);
	});
	const slow = await openSlowStream({});
	const fast = await Promise.all(createOffsets(5).map(async () => sendStreamRequest({tokens: 20})));
	expect(fast.every(reply => looksComplete(reply))).toBe(true);
	await sleep(300);
	const {socket} = scripted.calls[0]!;
	// The router has stopped reading, so most of the 40 MB is still buffered at the target.
	expect(socket.writableLength).toBeGreaterThan(10_000_000);
	await slow.disconnect();
	socket.destroy();
});

test('a once stream whose slow caller disconnects runs to its end and is recorded', async () => {
	deployment.scripted.script(scriptedCall => {
		flood(scriptedCall, true);
	});
	const slow = await openSlowStream({once: 'slow'});
	await sleep(300);
	await slow.disconnect();
	await waitUntil('the end of the run', async () => deployment.router.world.requests.size === 0);
	const again = await sendStreamRequest({pool: Pool.ScriptedEngine, once: 'slow'});
	expect(again).toMatchObject({status: 410, error: {kind: 'answer-not-kept', outcome: 'ran'}});
	expect(deployment.scripted.calls).toHaveLength(1);
});
