/*
Starts a router for routed calls with a simple call format, and sends requests to it as a caller.
*/
import {request as httpRequest, type IncomingHttpHeaders} from 'node:http';
import {
	CallKind, createCatalogue, type CallRoute,
} from '@shallotloom/core/gateway/catalogue.ts';
import type {Registration} from '@shallotloom/core/gateway/ports.ts';
import {TargetStanding} from '@shallotloom/core/gateway/rows.ts';
import {MemberState} from '@shallotloom/core/messages.ts';
import {allocatePort} from '@shallotloom/standin/free-port.ts';
import {AnsweredRequest, type CallFormat} from '../../src/gateway/call-format.ts';
import {
	startGatewayRouter, type GatewayRouter, type GatewayRouterOptions, type StreamStore,
} from '../../src/gateway/gateway-router.ts';
import {createGatewayMetrics, type GatewayMetrics} from '../../src/gateway/gateway-metrics.ts';
import {createLog} from '../../src/log.ts';
import {createTimer} from '../../src/timer.ts';

const host = '127.0.0.1';

function findAnsweredRequest(headers: IncomingHttpHeaders, requestId: string): AnsweredRequest {
	if (headers['x-request-id'] === undefined && headers['x-not-run'] !== undefined) {
		return AnsweredRequest.Unnamed;
	}

	return headers['x-request-id'] === requestId ? AnsweredRequest.Sent : AnsweredRequest.Other;
}

/** Call format of the tests; targets report that a call was not run with the header X-Not-Run. */
export const testCallFormat: CallFormat = {
	parseCall({url, headers}) {
		return headers['x-request-id'] === ''
			? {kind: 'malformed', detail: 'no id'}
			: {
				kind: 'ok',
				requestId: String(headers['x-request-id']),
				call: {
					host: 'desk', path: url.split('?', 1)[0]!, key: '', remainingMs: Number(headers['x-remaining'] ?? 2000), prompt: undefined, resumption: undefined,
				},
			};
	},
	createTargetHeaders: (rawHeaders, {target, lastEventId}) => [...rawHeaders, 'X-Target', target, ...(lastEventId === undefined ? [] : ['Last-Event-Id', lastEventId])],
	parseAnswerHead: (_status, headers, requestId) => ({
		answeredRequest: findAnsweredRequest(headers, requestId), isNotRun: headers['x-not-run'] !== undefined, isWrongTarget: false, load: undefined,
		isLeaving: headers['x-leaving'] !== undefined,
		requestsPerSecond: headers['x-limit'] === undefined ? undefined : Number(headers['x-limit']),
		pauseMs: headers['x-pause'] === undefined ? undefined : Number(headers['x-pause']),
		malformedHeaders: headers['x-bad'] === undefined ? [] : ['x-bad'],
	}),
	parseEventId: event => /^id: (?<id>.*)$/mv.exec(String(event))?.groups!.id,
};

const routes: Array<Pick<CallRoute, 'pathPrefix' | 'kind' | 'isResumable' | 'maxAttempts'>> = [
	{
		pathPrefix: '/look/', kind: CallKind.Repeatable, isResumable: false, maxAttempts: 2,
	},
	{
		pathPrefix: '/book/', kind: CallKind.Once, isResumable: false, maxAttempts: 1,
	},
	{
		pathPrefix: '/move/', kind: CallKind.Once, isResumable: false, maxAttempts: 2,
	},
	{
		pathPrefix: '/chat/', kind: CallKind.Streamed, isResumable: true, maxAttempts: 2,
	},
	{
		pathPrefix: '/plan/', kind: CallKind.Streamed, isResumable: false, maxAttempts: 1,
	},
];

export type TestRouter = {
	metrics: GatewayMetrics;
	/** Withdrawals of the registration wait for these. */
	withdrawals: Array<Promise<unknown>>;
	router: GatewayRouter;
	/** Metrics in the text format of a scrape. */
	scrape: () => Promise<string>;
	callerAddress: string;
	stop: () => Promise<void>;
};

/** Starts a router in front of targets at these addresses. */
export async function startTestRouter(addresses: string[], timeoutMs = 2000, streamStore: Partial<StreamStore> = {}, options: Partial<GatewayRouterOptions> = {}): Promise<TestRouter> {
	const [callers, peers] = [`${host}:${await allocatePort(host)}`, `${host}:${await allocatePort(host)}`];
	const withdrawals: Array<Promise<unknown>> = [];
	const metrics = createGatewayMetrics();
	const router = await startGatewayRouter({
		self: {
			id: 'self', failureDomain: 'suva', callerAddress: callers, peerUrl: `http://${peers}`, capacity: 1,
		},
		callerListenAddress: callers,
		peerListenAddress: peers,
		limits: {lingerMs: 100, maxStopMs: 3000},
		isFirstStart: true,
		format: testCallFormat,
		quarantineStore: {
			put: async () => true,
			remove: async () => true,
		},
		streamStore: {
			putStreams: async () => true,
			putVersions: async () => true,
			...streamStore,
		},
		registry: {
			register() {
				// The tests use a fixed set of instances.
			},
			async withdraw() {
				await Promise.all(withdrawals);
			},
			remove() {
				// See register.
			},
		},
		log: createLog({level: 'error'}),
		metrics,
		timer: createTimer(),
		onRefreshData() {
			// The tests push all data themselves.
		},
		onStopped() {
			// Tests close the router explicitly.
		},
		...options,
	});
	const {self} = router.gateway;
	const registration: Registration = {...self, state: MemberState.Active};
	const pushInbound = router.push;
	pushInbound({kind: 'registrations', registrations: [registration]});
	pushInbound({
		kind: 'targets',
		targets: addresses.map((address, index) => ({
			id: `t${index + 1}`, pool: 'desk', address, softwareVersion: 'v1', failureDomain: 'suva',
			standing: TargetStanding.Ready, slots: 8, coldForMs: 0, startId: '', revision: 1, isRestored: false,
		})),
	});
	pushInbound({
		kind: 'catalogue',
		catalogue: createCatalogue({
			version: 1,
			routes: routes.map(route => ({
				...route, name: route.pathPrefix, host: 'desk', weightedPools: [{pool: 'desk', weight: 1}], timeoutMs, objectiveMs: 1000, priority: 1, needsKey: false,
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
		metrics,
		withdrawals,
		router,
		async scrape() {
			const {text} = await metrics.scrape(router.gateway, 0);
			return text;
		},
		callerAddress: callers,
		async stop() {
			await router.close();
		},
	};
}

export type CallerAnswer = {
	status: number;
	headers: IncomingHttpHeaders;
	body: string;
	/** Whether the answer was received completely. */
	isComplete: boolean;
};

/** Sends one request and waits until the answer ends, complete or truncated; status 0 when no answer arrived. */
export async function sendRequest(address: string, path: string, {method = 'GET', headers = {}, body}: {method?: string; headers?: Record<string, string>; body?: string} = {}): Promise<CallerAnswer> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const answer: CallerAnswer = {
			status: 0, headers: {}, body: '', isComplete: false,
		};
		const request = httpRequest({
			host, port, path, method, headers: {'x-request-id': 'r1', ...headers}, agent: false,
		}, response => {
			Object.assign(answer, {status: response.statusCode, headers: response.headers});
			response.setEncoding('utf8');
			response.on('data', (chunk: string) => {
				answer.body += chunk;
			});
			response.on('error', () => {
				resolve(answer);
			});
			response.on('end', () => {
				resolve({...answer, isComplete: response.complete});
			});
		});
		request.on('error', () => {
			resolve(answer);
		});
		request.end(body);
	});
}

/** Sends one request, waits until the answer ends and returns its status; 0 when no answer arrived. */
export async function requestStatus(...request: Parameters<typeof sendRequest>): Promise<number> {
	const {status} = await sendRequest(...request);
	return status;
}
