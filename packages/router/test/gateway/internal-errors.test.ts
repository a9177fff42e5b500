import {ServerResponse} from 'node:http';
import {RefusalKind} from '@shallotloom/core/refusal.ts';
import type {CallFormat} from '../../src/gateway/call-format.ts';
import {createGatewayMetrics} from '../../src/gateway/gateway-metrics.ts';
import type {LogLine} from '../../src/log.ts';
import {
	sendRequest, startTestRouter, testCallFormat, type TestRouter,
} from '../support/gateway-router.ts';
import {startRawTarget, type RawRequest, type RawTarget} from '../support/raw-target.ts';

let target: RawTarget;
let testRouter: TestRouter;
let lines: LogLine[] = [];
let stopCount = 0;
let metrics = createGatewayMetrics();

afterEach(async () => {
	await testRouter.stop();
	await target.stop();
});

async function start(format: Partial<CallFormat>, answer: (request: RawRequest) => void): Promise<string> {
	lines = [];
	stopCount = 0;
	metrics = createGatewayMetrics();
	target = await startRawTarget(answer);
	testRouter = await startTestRouter([target.address], 2000, {}, {
		format: {...testCallFormat, ...format},
		metrics,
		log: {
			write(line) {
				lines.push(line);
			},
			async close() {
				// Lines are kept in memory.
			},
		},
		onStopped() {
			stopCount += 1;
		},
	});
	return testRouter.callerAddress;
}

const stream = 'id: 1\ndata: a\n\n';

const answerWell = ({socket, id, head}: RawRequest) => {
	const [status, body] = head.startsWith('GET /plan/') || head.startsWith('GET /chat/') ? ['200 OK', stream] : ['500 Oops', 'bad'];
	socket.write(`HTTP/1.1 ${status}\r\nX-Request-Id: ${id}\r\nContent-Type: text/event-stream\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
};

function throwFault(): never {
	throw new Error('fault');
}

/** Format whose part throws for the requests with the id `bad`. */
function createFaultyFormat(part: keyof CallFormat): Partial<CallFormat> {
	let isBad = false;
	return {
		parseCall(head) {
			isBad = head.headers['x-request-id'] === 'bad';
			return part === 'parseCall' && isBad ? throwFault() : testCallFormat.parseCall(head);
		},
		...(part !== 'parseCall' && {
			[part](...args: Parameters<CallFormat[typeof part]>) {
				return isBad ? throwFault() : (testCallFormat[part] as (...values: unknown[]) => unknown)(...args);
			},
		}),
	};
}

const faults: Array<[string, keyof CallFormat, string, number, string]> = [
	['the head of its request is read', 'parseCall', '/book/x', 500, 'not-run'],
	['it is sent', 'createTargetHeaders', '/book/x', 500, 'not-run'],
	['the head of its answer is read', 'parseAnswerHead', '/book/x', 502, 'unknown'],
	['an event of its stream is passed on', 'parseEventId', '/plan/x', 502, 'unknown'],
];

// Guards against an exception that ends the process or leaves its call without an answer.
test.each(faults)('a call gets a final answer and frees its target when an exception is thrown while %s', async (_name, part, path, status, outcome) => {
	const callerAddress = await start(createFaultyFormat(part), answerWell);
	const bad = await sendRequest(callerAddress, path, {headers: {'x-request-id': 'bad'}});
	expect(bad).toMatchObject({status, isComplete: true});
	expect(JSON.parse(bad.body)).toMatchObject({error: {outcome}});
	expect(testRouter.router.gateway.calls.size).toBe(0);
	expect(testRouter.router.gateway.targets.get('t1')!.running).toBe(0);
	expect(JSON.stringify(lines.map(({text, fields}) => [text, fields]))).toContain('fault');
	expect(await sendRequest(callerAddress, '/plan/x')).toMatchObject({status: 200, body: stream});
});

const refusedHeads: Array<[string, string, number, string]> = [
	['a failure', '/book/x', 500, '"outcome":"unknown"'],
	['an answer', '/look/x', 502, '"outcome":"unknown"'],
	['a stream', '/plan/x', 502, '"outcome":"unknown"'],
	['a stream whose events are held back', '/chat/x', 502, '"outcome":"unknown"'],
	['a refusal', '/none', 0, ''],
];

// Guards against an answer that counts as delivered before its head is accepted, and against an exception that ends the process.
test.each(refusedHeads)('%s whose head node:http refuses is replaced by a refusal, or cut', async (_name, path, status, text) => {
	const callerAddress = await start({}, ({socket, id, head}) => {
		answerWell({
			socket, id, head: path === '/look/x' ? 'GET /plan/' : head,
		});
	});
	const original = ServerResponse.prototype.writeHead;
	let count = 0;
	const spy = jest.spyOn(ServerResponse.prototype, 'writeHead').mockImplementation(function (this: ServerResponse, ...args: unknown[]) {
		count += 1;
		return count === 1 ? throwFault() : original.apply(this, args as Parameters<typeof original>);
	});
	const answer = await sendRequest(callerAddress, path);
	spy.mockRestore();
	expect(answer.status).toBe(status);
	expect(answer.body).toContain(text);
	expect(testRouter.router.gateway.calls.size).toBe(0);
	expect(testRouter.router.gateway.targets.get('t1')!.running).toBe(0);
	expect(lines.some(line => /internal error: Error: fault\n +at /v.test(line.text))).toBe(true);
	expect(await sendRequest(callerAddress, '/plan/x')).toMatchObject({status: 200, body: stream});
});

test('an exception in a system of the core is logged and counted, and stops the instance as planned', async () => {
	const callerAddress = await start({}, answerWell);
	const {gateway} = testRouter.router;
	expect(await sendRequest(callerAddress, '/plan/x')).toMatchObject({status: 200});
	Object.defineProperty(gateway, 'unlistedTargets', {get: throwFault, configurable: true});
	expect(await sendRequest(callerAddress, '/plan/x')).toMatchObject({status: 200, headers: {connection: 'close'}});
	await waitUntil(() => stopCount > 0);
	expect(lines.some(line => /internal error: Error: fault\n +at /v.test(line.text))).toBe(true);
	Object.defineProperty(gateway, 'unlistedTargets', {value: new Map()});
	const {text} = await metrics.scrape(gateway, 0);
	expect(text).toMatch(/shallotloom_internal_errors_total\{part="\w+System"\} \d/v);
});

test('an exception that nothing owns lets running calls end, and stops the instance as planned', async () => {
	const callerAddress = await start({}, request => {
		setTimeout(() => {
			answerWell(request);
		}, 300);
	});
	const answer = sendRequest(callerAddress, '/plan/x');
	await waitUntil(() => target.requests.length === 1);
	testRouter.router.fail(new Error('fault'));
	expect(await answer).toMatchObject({status: 200, body: stream, isComplete: true});
	await waitUntil(() => stopCount > 0);
	const {text} = await metrics.scrape(testRouter.router.gateway, 0);
	expect(text).toContain('shallotloom_internal_errors_total{part="uncaught"} 1');
	// Until the listener closes, a late call gets a true answer and reaches no target.
	expect(await sendRequest(callerAddress, '/plan/x')).toMatchObject({status: 503});
	expect(target.requests).toHaveLength(1);
});

// Guards against a message whose handling throws and that takes the rest of its step along.
test('a message that cannot be handled is dropped, and its call refused', async () => {
	const callerAddress = await start({}, answerWell);
	const {router} = testRouter;
	router.push({
		kind: 'targetPause', target: 't1', startId: '', get pauseMs() {
			return throwFault();
		},
	});
	expect(await sendRequest(callerAddress, '/plan/x')).toMatchObject({status: 200});
	const call = {
		id: 'c9', requestId: 'r9', get host() {
			return throwFault();
		},
	};
	router.push({kind: 'callArrived', call: call as never});
	expect(await sendRequest(callerAddress, '/plan/x')).toMatchObject({status: 200});
	const {text} = await metrics.scrape(router.gateway, 0);
	expect(text).toContain('shallotloom_internal_errors_total{part="targetPause"} 1');
	expect(text).toContain(`shallotloom_calls_refused_total{reason="${RefusalKind.InternalError}",outcome="not-run"} 1`);
	expect(stopCount).toBe(0);
});

async function waitUntil(condition: () => boolean) {
	while (!condition()) {
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}
}
