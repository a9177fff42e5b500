/*
A router of routed calls for tests, with a plain format of headers, and callers that use it.
*/
import {request as httpRequest, type IncomingHttpHeaders} from 'node:http';
import {
	CallKind, createCatalogue, type CallRoute,
} from '@shallotloom/core/gateway/catalogue.ts';
import type {Registration} from '@shallotloom/core/gateway/ports.ts';
import {TargetStanding} from '@shallotloom/core/gateway/rows.ts';
import {MemberState} from '@shallotloom/core/messages.ts';
import type {CallFormat} from '../../src/gateway/call-format.ts';
import {startGatewayRouter, type GatewayRouter} from '../../src/gateway/gateway-router.ts';
import {createGatewayMetrics} from '../../src/gateway/gateway-metrics.ts';
import {createLog} from '../../src/log.ts';
import {createTimer} from '../../src/timer.ts';
import {freePort} from './deployment.ts';

/** Headers of the tests' callers and targets. */
export const plainFormat: CallFormat = {
	readCall({url, headers}) {
		return headers['x-request-id'] === ''
			? {kind: 'malformed', detail: 'no id'}
			: {
				kind: 'ok',
				requestId: String(headers['x-request-id']),
				call: {
					host: 'desk', path: url.split('?', 1)[0]!, key: '', remainingMs: Number(headers['x-remaining'] ?? 2000), prompt: undefined,
				},
			};
	},
	targetHeaders: (rawHeaders, {target, lastEventId}) => [...rawHeaders, 'X-Target', target, ...(lastEventId === undefined ? [] : ['Last-Event-Id', lastEventId])],
	readAnswer: (_status, headers, requestId) => ({
		isOwn: headers['x-request-id'] === requestId, isNotRun: headers['x-not-run'] !== undefined, isWrongTarget: false, load: undefined,
	}),
	eventId: event => /^id: (?<id>.*)$/mv.exec(String(event))?.groups!.id,
};

const kinds: Array<Pick<CallRoute, 'pathPrefix' | 'kind' | 'isResumable' | 'maxAttempts'>> = [
	{
		pathPrefix: '/look/', kind: CallKind.Repeatable, isResumable: false, maxAttempts: 2,
	},
	{
		pathPrefix: '/book/', kind: CallKind.Once, isResumable: false, maxAttempts: 1,
	},
	{
		pathPrefix: '/chat/', kind: CallKind.Streamed, isResumable: true, maxAttempts: 2,
	},
	{
		pathPrefix: '/plan/', kind: CallKind.Streamed, isResumable: false, maxAttempts: 1,
	},
];

export type TestRouter = {
	router: GatewayRouter;
	callers: string;
	stop: () => Promise<void>;
};

/** Starts a router in front of targets at these addresses. */
export async function startTestRouter(addresses: string[], timeoutMs = 2000): Promise<TestRouter> {
	const [callers, peers] = [`127.0.0.1:${await freePort()}`, `127.0.0.1:${await freePort()}`];
	const router = await startGatewayRouter({
		self: {
			id: 'self', failureDomain: 'suva', callerAddress: callers, peerUrl: `http://${peers}`,
		},
		listenCallers: callers,
		listenPeers: peers,
		limits: {lingerMs: 100, maxStopMs: 3000},
		format: plainFormat,
		registry: {
			register() {
				// The fleet of these tests is fixed.
			},
			async withdraw() {
				// As above.
			},
			remove() {
				// As above.
			},
		},
		log: createLog({level: 'error'}),
		metrics: createGatewayMetrics(),
		timer: createTimer(),
		onStopped() {
			// Tests close the router themselves.
		},
	});
	const {self} = router.gateway;
	const registration: Registration = {...self, state: MemberState.Active};
	const tell = router.push;
	tell({kind: 'registrations', registrations: [registration]});
	tell({
		kind: 'targets',
		targets: addresses.map((address, index) => ({
			id: `t${index + 1}`, pool: 'desk', address, failureDomain: 'suva', standing: TargetStanding.Ready, slots: 8, coldForMs: 0, startId: '', revision: 1,
		})),
	});
	tell({
		kind: 'catalogue',
		catalogue: createCatalogue({
			version: 1,
			routes: kinds.map(kind => ({
				...kind, name: kind.pathPrefix, host: 'desk', weightedPools: [{pool: 'desk', weight: 1}], timeoutMs, objectiveMs: 1000, priority: 1, needsKey: false,
			})),
			pools: [{
				name: 'desk', coldPerSecond: 0, coldMs: 0, maxConnections: 100, isEngine: false,
			}],
			keys: undefined,
			limits: {
				headerBytes: 4096, bodyBytes: 1000, headersTimeoutMs: 3000, idleTimeoutMs: 5000,
			},
			tokensPerSecond: 0,
		}),
	});
	return {
		router,
		callers,
		async stop() {
			await router.close();
		},
	};
}

export type CallerAnswer = {
	status: number;
	headers: IncomingHttpHeaders;
	body: string;
	/** Whether the answer ended as a whole one. */
	isWhole: boolean;
};

/** Sends one request and waits for its end, whole or not; status 0 when none came. */
export async function ask(address: string, path: string, {method = 'GET', headers = {}, body}: {method?: string; headers?: Record<string, string>; body?: string} = {}): Promise<CallerAnswer> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const answer: CallerAnswer = {
			status: 0, headers: {}, body: '', isWhole: false,
		};
		const request = httpRequest({
			host, port, path, method, headers: {'x-request-id': 'r1', ...headers}, agent: false,
		}, response => {
			Object.assign(answer, {status: response.statusCode, headers: response.headers});
			response.setEncoding('utf8');
			response.on('data', (piece: string) => {
				answer.body += piece;
			});
			response.on('error', () => {
				resolve(answer);
			});
			response.on('end', () => {
				resolve({...answer, isWhole: response.complete});
			});
		});
		request.on('error', () => {
			resolve(answer);
		});
		request.end(body);
	});
}

/** Sends one request and waits for the end of its answer; 0 when none came. */
export async function statusOf(...request: Parameters<typeof ask>): Promise<number> {
	const {status} = await ask(...request);
	return status;
}
