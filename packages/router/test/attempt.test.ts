import {Buffer} from 'node:buffer';
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {TargetKind} from '@shallotloom/core/configuration.ts';
import {AttemptEnd} from '@shallotloom/core/messages.ts';
import type {InboundOf} from '@shallotloom/core/ports.ts';
import type {Exchange} from '../src/exchange.ts';
import {createAttempts} from '../src/targets/attempt.ts';
import {createTargetAgents} from '../src/targets/target-agents.ts';

const cases = [
	{
		name: 'a stream that the engine no longer has', isResumed: true, status: 404, end: AttemptEnd.Broken,
	},
	{
		name: 'an engine failure', isResumed: false, status: 500, end: AttemptEnd.Broken,
	},
	{
		name: 'an overloaded engine', isResumed: false, status: 503, end: AttemptEnd.Refused,
	},
	{
		name: 'an error in the caller\'s request', isResumed: false, status: 400, end: AttemptEnd.Whole,
	},
];

test.each(cases)('$name ends the attempt as $end and is not written into an answer that has begun', async ({isResumed, status, end}) => {
	const engine = createServer((_request, response) => {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end('{"error":"no"}');
	});
	const url = await listen(engine);
	const agents = createTargetAgents();
	const written: string[] = [];
	try {
		const ended = await new Promise<InboundOf<'answerEnded'>>(resolve => {
			const attempts = createAttempts({
				agents, now: () => performance.now(), onEnded: resolve, onStarted() {
					// Not needed by this test.
				},
			});
			const exchange = createTestExchange(isResumed, written);
			attempts[isResumed ? 'resume' : 'start'](exchange, {target: 't1', url});
		});
		expect(ended.end).toBe(end);
		expect(written).toEqual(end === AttemptEnd.Whole ? ['400', '{"error":"no"}'] : []);
	} finally {
		await agents.close();
		engine.close();
	}
});

async function listen(server: Server): Promise<string> {
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function createTestExchange(headersSent: boolean, written: string[]): Exchange {
	const response = {
		headersSent,
		writeHead(code: number) {
			written.push(String(code));
		},
		write(text: string) {
			written.push(text);
			return true;
		},
		end(text: string) {
			written.push(text);
		},
	};
	return {
		requestId: 'a/1', kind: TargetKind.Engine, path: '/v1/chat/completions', method: 'POST', body: Buffer.from('{}').toString(),
		contentType: 'application/json', idempotencyKey: '', prefixHash: 0, wantsStream: true, once: false,
		response: response as unknown as ServerResponse, abortController: new AbortController(), isAborted: false, nextOffset: headersSent ? 3 : 0, hasFinishReason: false,
		isFinished: false, hasDelivered: headersSent, reportedTokens: 0, attemptStartedAt: 0, firstByteAt: 0, lastTokenAt: 0,
	};
}
