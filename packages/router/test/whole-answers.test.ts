import {setTimeout as sleep} from 'node:timers/promises';
import {
	call, looksWhole, offsetsTo, type Call, type Reply,
} from './support/caller.ts';
import {
	Pool, startDeployment, until, type Deployment,
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

const ask = async (options: Call) => call(deployment.url, options);
const stream = async (options: Call = {}) => ask({streams: true, ...options});

type EngineStats = {requests: Array<{id: string; admissions: number; end: string}>; running: number};

async function engineStats(): Promise<EngineStats> {
	const response = await fetch(`${deployment.engineUrl}/standin/stats`);
	return await response.json() as EngineStats;
}

function expectOwn(reply: Reply, tokens: number) {
	expect(reply.status).toBe(200);
	const id = String(reply.headers['x-request-id']);
	const content = offsetsTo(tokens).map(offset => `${id}.${offset} `);
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
		const reply = await ask({streams, tokens: 12});
		expectOwn(reply, 12);
		expect(reply.isBroken).toBe(false);
		if (streams) {
			expect(reply.offsets).toEqual(offsetsTo(12));
			expect(looksWhole(reply)).toBe(true);
			expect(reply.text.match(/\[DONE\]/gv)).toHaveLength(1);
		}
	});
});

test.each([0, 1, 7, 11, 12])('a stream that breaks at token %i of 12 is resumed without a lost or duplicated token', async cutStreamAt => {
	deployment.engine.setFaults({cutStreamAt});
	const reply = await stream({tokens: 12});
	expectOwn(reply, 12);
	expect(reply.offsets).toEqual(offsetsTo(12));
	expect(looksWhole(reply)).toBe(true);
});

function expectBrokenOff(reply: Reply) {
	expect(reply.isBroken).toBe(true);
	expect(reply.text).toContain('event: error');
	expect(reply.text).not.toContain('[DONE]');
	expect(reply.error).toMatchObject({kind: 'answer-broken', outcome: 'unknown', retryAfter: 1});
	expect(new Set(reply.offsets).size).toBe(reply.offsets.length);
}

test('a stream that its engine has lost ends with an error event and an aborted connection', async () => {
	const reply = await stream({
		tokens: 300,
		onText(text) {
			if (text.includes('id: 5\n')) {
				deployment.engine.setFaults({restart: true});
			}
		},
	});
	expectBrokenOff(reply);
});

const event = (offset: number, finish = false) => `id: ${offset}\ndata: {"choices":[{"delta":{"content":"t"},"finish_reason":${finish ? '"stop"' : 'null'}}]}\n\n`;
const done = 'data: [DONE]\n\n';
const eventStream = {contentType: 'text/event-stream'};

function cut(text: string) {
	return ({answer, socket}: ScriptedCall) => {
		answer(text, {...eventStream, missing: 10});
		setTimeout(() => {
			socket.destroy();
		}, 30);
	};
}

const begin = cut(event(0) + event(1));

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
		answer(event(2, true) + done, {...eventStream, id: 'other'});
	}],
	['with a gap', ({answer}) => {
		answer(event(3) + event(4, true) + done, eventStream);
	}],
	['with an end mark but no finish', ({answer}) => {
		answer(event(2) + done, eventStream);
	}],
	['by breaking', ({socket}) => {
		socket.destroy();
	}],
])('a stream whose resumption is answered %s is broken off', async (_, resumed) => {
	deployment.scripted.script(begin, resumed);
	expectBrokenOff(await stream({pool: Pool.ScriptedEngine}));
	expect(deployment.scripted.calls.filter(({request}) => request.method === 'POST')).toHaveLength(1);
});

test('a stream that broke after its finish is resumed for the end mark alone', async () => {
	deployment.scripted.script(cut(event(0) + event(1, true)), ({answer}) => {
		answer(done, eventStream);
	});
	const reply = await stream({pool: Pool.ScriptedEngine});
	expect(reply.offsets).toEqual([0, 1]);
	expect(looksWhole(reply)).toBe(true);
});

const document = '{"choices":[{"message":{"content":"whole"},"finish_reason":"stop"}],"usage":{"completion_tokens":3}}';

test.each<[string, (call: ScriptedCall) => void]>([
	['cut within its body', ({answer, socket}) => {
		answer(document.slice(0, 40), {missing: 100});
		setTimeout(() => {
			socket.destroy();
		}, 30);
	}],
	['cut within its head', ({socket}) => {
		socket.end('HTTP/1.1 200 OK\r\ncontent-ty');
	}],
	['shortened', ({answer}) => {
		answer(document.slice(0, 40));
	}],
	['without a finish', ({answer}) => {
		answer(document.replace('"stop"', 'null'));
	}],
	['of another request', ({answer}) => {
		answer('{"choices":[{"message":{"content":"other"},"finish_reason":"stop"}]}', {id: 'other'});
	}],
])('an unstreamed answer that is %s is not delivered', async (_, script) => {
	deployment.scripted.script(script);
	const reply = await ask({pool: Pool.ScriptedEngine});
	expect(reply.status).toBe(502);
	expect(reply.error).toMatchObject({kind: 'target-failed', outcome: 'unknown'});
});

test('an answer that comes twice on one connection is not taken for the next request\'s', async () => {
	deployment.scripted.script(({answer}) => {
		answer(document.replace('whole', 'first'));
		answer(document.replace('whole', 'again'));
	}, ({answer, id}) => {
		answer(document.replace('whole', id));
	});
	const first = await ask({pool: Pool.ScriptedEngine});
	expect(first.text).toContain('first');
	for (let count = 0; count < 4; count++) {
		const reply = await ask({pool: Pool.ScriptedEngine});
		expect(reply.text).toContain(String(reply.headers['x-request-id']));
	}
});

async function expectCancelled(before: number) {
	await until('the cancellation', async () => {
		const {requests} = await engineStats();
		return requests.slice(before).some(({end}) => end === 'cancelled');
	});
	await until('the free permit', async () => deployment.router.world.permits.size === 0);
}

test('a caller that leaves its stream cancels it at the engine and frees its permit', async () => {
	const {requests: {length: before}} = await engineStats();
	const reply = await stream({
		tokens: 2000,
		onText(_text, leave) {
			leave();
		},
	});
	expect(reply.isBroken).toBe(true);
	await expectCancelled(before);
});

test('a caller that leaves before its unstreamed answer cancels it at the engine and frees its permit', async () => {
	const {requests: {length: before}} = await engineStats();
	const leaving = new AbortController();
	const reply = ask({tokens: 2000, signal: leaving.signal});
	await until('the start', async () => {
		const {requests} = await engineStats();
		return requests.length > before;
	});
	leaving.abort();
	expect(await reply).toMatchObject({status: 0, isBroken: true});
	await expectCancelled(before);
});

test('an unstreamed answer that isn\'t there at the deadline is cancelled and refused as unknown', async () => {
	const {requests: {length: before}} = await engineStats();
	const reply = await ask({tokens: 2000, deadlineMs: 300});
	expect(reply.status).toBe(504);
	expect(reply.error).toMatchObject({kind: 'deadline-passed', outcome: 'unknown'});
	await expectCancelled(before);
});

/** Writes 40 MB of events and, if asked to, the end of the stream. */
function flood({socket, id}: ScriptedCall, isWhole: boolean) {
	socket.write(`HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: ${id}\r\ntransfer-encoding: chunked\r\n\r\n`);
	const padding = 'x'.repeat(100_000);
	const write = (text: string) => socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
	for (let offset = 0; offset < 400; offset++) {
		write(`id: ${offset}\ndata: {"choices":[{"delta":{"content":"${padding}"}}]}\n\n`);
	}

	if (isWhole) {
		write(event(400, true) + done);
		socket.write('0\r\n\r\n');
	}
}

async function openSlow(options: Call) {
	const leaving = new AbortController();
	const reply = stream({
		pool: Pool.ScriptedEngine, signal: leaving.signal, isSlow: true, ...options,
	});
	await until('the stream', async () => deployment.scripted.calls.length > 0);
	return {
		async leave() {
			leaving.abort();
			await reply;
		},
	};
}

test('a slow caller holds back only its own stream', async () => {
	const {scripted} = deployment;
	scripted.script(scriptedCall => {
		flood(scriptedCall, false);
	});
	const slow = await openSlow({});
	const fast = await Promise.all(offsetsTo(5).map(async () => stream({tokens: 20})));
	expect(fast.every(reply => looksWhole(reply))).toBe(true);
	await sleep(300);
	const {socket} = scripted.calls[0]!;
	// The router stopped reading: the target still holds most of the 40 MB.
	expect(socket.writableLength).toBeGreaterThan(10_000_000);
	await slow.leave();
	socket.destroy();
});

test('a once stream whose slow caller leaves runs to its end and is recorded', async () => {
	deployment.scripted.script(scriptedCall => {
		flood(scriptedCall, true);
	});
	const slow = await openSlow({once: 'slow'});
	await sleep(300);
	await slow.leave();
	await until('the end of the run', async () => deployment.router.world.requests.size === 0);
	const again = await stream({pool: Pool.ScriptedEngine, once: 'slow'});
	expect(again).toMatchObject({status: 410, error: {kind: 'answer-not-kept', outcome: 'ran'}});
	expect(deployment.scripted.calls).toHaveLength(1);
});
