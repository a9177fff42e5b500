/*
Composes a router: the core's world and loop, and the edges that carry out its outbox.
*/
import {createServer, type Server} from 'node:http';
import {randomBytes} from 'node:crypto';
import {getRequestListener} from '@hono/node-server';
import {
	LogPart, type CallerRequest, type OutboundOf, type ReleaseAnswer, type StoreOperation,
} from '@shallotloom/core/ports.ts';
import type {RefusalKind, Refusal} from '@shallotloom/core/refusal.ts';
import {applyNote} from '@shallotloom/core/release.ts';
import type {ReleaseNote} from '@shallotloom/core/release-note.ts';
import {watchedPrefixes} from '@shallotloom/core/step.ts';
import {createWorld, type World} from '@shallotloom/core/world.ts';
import {createObjectStore} from '@shallotloom/platform/object-store.ts';
import type {RouterSettings} from '@shallotloom/settings/router-settings.ts';
import {createCallerApp} from './callers/app.ts';
import {createCoreLoop, type CoreLoop, type Edges} from './core-loop.ts';
import {endWithRefusal, type Exchange} from './exchange.ts';
import {createOperatorApp} from './operators/app.ts';
import {createPeerClient} from './peers/peer-client.ts';
import {startPeerServer} from './peers/peer-server.ts';
import {createAttempts, deliver} from './targets/attempt.ts';
import {startLoadPoll} from './targets/load-poll.ts';
import {createTargetAgents} from './targets/target-client.ts';
import {createTimer} from './timer.ts';
import {createTraffic} from './traffic.ts';

export type RouterOptions = {
	settings: RouterSettings;
	onLog: (item: OutboundOf<'log'>) => void;
	/** Called when a planned stop is done. */
	onStopped: () => void;
};

export type Router = {
	world: World;
	/** Starts the planned stop. */
	stop(): void;
	/** Ends at once, without handing anything over. */
	close(): Promise<void>;
};

/** Period at which the core hears of streamed tokens, in milliseconds. */
const tokenReportMs = 200;

type App = {fetch: Parameters<typeof getRequestListener>[0]};
type Listen = {host: string; port: number};

function parseListen(address: string): Listen {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}

function createSelf({router, advertise}: RouterSettings) {
	return {
		id: router.id,
		incarnation: randomBytes(4).toString('hex'),
		failureDomain: router.failureDomain,
		callerUrl: advertise.callers,
		peerUrl: advertise.peers,
	};
}

async function listen(app: App, {host, port}: Listen, limits: RouterSettings['limits']): Promise<Server> {
	const listener = getRequestListener(app.fetch);
	const server = createServer({
		maxHeaderSize: limits.headerBytes,
		headersTimeout: limits.headersTimeoutMs,
		requestTimeout: limits.requestTimeoutMs,
		noDelay: true,
	}, (incoming, outgoing) => {
		void listener(incoming, outgoing);
	});
	server.maxConnections = limits.connections;
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return server;
}

/** Starts a router; rejects when one of its addresses can't be bound. */
export async function startRouter({settings, onLog, onStopped}: RouterOptions): Promise<Router> {
	const timer = createTimer();
	const traffic = createTraffic();
	const self = createSelf(settings);
	const world = createWorld({
		self,
		seed: randomBytes(4).readInt32LE(),
		now: timer.now(),
		limits: {
			leaseDurationMs: settings.lease.durationMs,
			leaseRenewMs: settings.lease.renewMs,
			digestMs: settings.control.digestMs,
			progressMs: settings.control.progressMs,
			exchange: settings.fairness.exchange,
			discipline: settings.fairness.discipline,
		},
	});
	const exchanges = new Map<string, Exchange>();
	const proposals = new Map<string, (answer: ReleaseAnswer) => void>();
	const refused = new Map<RefusalKind, number>();
	const agents = createTargetAgents(settings.bindAddress);
	const store = createObjectStore({url: settings.platform.url, callTimeoutMs: settings.platform.callTimeoutMs});
	const peers = createPeerClient({
		sender: self.id,
		incarnation: self.incarnation,
		bindAddress: settings.bindAddress,
		traffic,
		now: timer.now,
		onLost(member) {
			loop.push({kind: 'peerLost', member});
		},
		onError(member, reason) {
			onLog({
				kind: 'log', part: LogPart.Membership, level: 'warn', text: `stream to ${member} broke: ${reason}`,
			});
		},
	});
	const attempts = createAttempts({
		agents,
		now: timer.now,
		onStarted({request}, firstByteMs) {
			loop.note({kind: 'answerStarted', request, firstByteMs});
		},
		onEnded(ended) {
			const exchange = exchanges.get(ended.request);
			if (exchange?.isFinished) {
				exchanges.delete(ended.request);
			}

			loop.push(ended);
		},
	});

	function countRefusal({kind}: Refusal) {
		refused.set(kind, (refused.get(kind) ?? 0) + 1);
	}

	function closeExchange(request: string, finish: (exchange: Exchange) => void) {
		const exchange = exchanges.get(request);
		exchanges.delete(request);
		if (exchange) {
			finish(exchange);
		}
	}

	async function runStore(operation: number, action: StoreOperation) {
		const {result, objects} = await store.run(action);
		loop.push({
			kind: 'storeReply', operation, result, ...(objects && {objects}),
		});
	}

	const edges: Edges = {
		send({to, peerUrl, message}) {
			peers.send(to, peerUrl, message);
		},
		startAnswer({request, target, url}) {
			const exchange = exchanges.get(request);
			if (exchange) {
				attempts.start(exchange, {target, url});
			}
		},
		resumeAnswer({request, target, url}) {
			const exchange = exchanges.get(request);
			if (exchange) {
				attempts.resume(exchange, {target, url});
			}
		},
		abortAnswer({request}) {
			const exchange = exchanges.get(request);
			const target = world.requests.get(request)?.target ?? '';
			const url = world.configuration.targets.get(target)?.url;
			if (exchange && url !== undefined) {
				void attempts.cancel(exchange, {target, url});
			}
		},
		refuse({request, refusal}) {
			countRefusal(refusal);
			closeExchange(request, exchange => {
				endWithRefusal(exchange, refusal);
			});
		},
		closed({request}) {
			exchanges.delete(request);
		},
		replay({request, answer}) {
			closeExchange(request, exchange => {
				deliver(exchange, JSON.parse(answer) as Parameters<typeof deliver>[1]);
			});
		},
		store({operation, action}) {
			void runStore(operation, action);
		},
		log: onLog,
		releaseAnswered({proposal, answer}) {
			proposals.get(proposal)?.(answer);
			proposals.delete(proposal);
		},
		stopped: onStopped,
	};
	const loop: CoreLoop = createCoreLoop({
		world, timer, tickMs: settings.control.tickMs, edges,
	});

	function open(exchange: Exchange, request: CallerRequest) {
		exchanges.set(request.id, exchange);
		exchange.response.once('close', () => {
			if (!exchange.isFinished) {
				loop.push({kind: 'callerGone', request: request.id});
			}
		});
		loop.push({kind: 'callerRequest', request});
	}

	timer.subscribe(tokenReportMs, () => {
		for (const exchange of exchanges.values()) {
			if (exchange.offset !== exchange.reported) {
				exchange.reported = exchange.offset;
				loop.note({kind: 'answerProgress', request: exchange.request, outputTokens: exchange.offset});
			}
		}
	});
	startLoadPoll({
		world, timer, periodMs: settings.control.loadPollMs, agents,
		onReport(report) {
			loop.push(report);
		},
	});
	const watch = store.watch({
		prefixes: Object.keys(watchedPrefixes),
		onObject(object) {
			loop.push({kind: 'storeEvent', object});
		},
		onError() {
			// The core judges the store by its replies.
		},
	});

	const callerApp = createCallerApp({
		world, now: timer.now, open, onRefused: countRefusal, ...settings.limits,
	});
	const operatorApp = createOperatorApp({
		world,
		operators: settings.operators,
		async propose(proposed) {
			const proposal = randomBytes(8).toString('hex');
			return new Promise(resolve => {
				proposals.set(proposal, resolve);
				loop.push({kind: 'releaseProposed', proposal, ...proposed});
			});
		},
		check(note) {
			const result = applyNote(world.configuration, note as ReleaseNote);
			return {revision: world.configuration.revision, problems: result.kind === 'ok' ? [] : result.problems};
		},
		releases: () => [],
		metrics: async () => ({contentType: 'text/plain', text: ''}),
	});
	const peerServer = await startPeerServer({
		...parseListen(settings.listen.peers),
		traffic,
		onMessage(from, incarnation, message) {
			loop.push({
				kind: 'peerMessage', from, incarnation, message,
			});
		},
	});
	const callerServer = await listen(callerApp, parseListen(settings.listen.callers), settings.limits);
	const operatorServer = await listen(operatorApp, parseListen(settings.listen.operators), settings.limits);

	return {
		world,
		stop() {
			loop.push({kind: 'stopRequested'});
		},
		async close() {
			loop.stop();
			timer.stop();
			watch.stop();
			peers.close();
			callerServer.close();
			callerServer.closeAllConnections();
			operatorServer.close();
			operatorServer.closeAllConnections();
			await peerServer.close();
			await agents.close();
			await store.close();
		},
	};
}
