/*
Composes a router of routed calls: the core, its loop, the callers' listener, targets and peers. What it learns from the
platform comes through `push`; what it keeps there goes through `registry`.
*/
import type {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createGateway, type Gateway, type GatewaySelf} from '@shallotloom/core/gateway/gateway.ts';
import type {GatewayLimits} from '@shallotloom/core/gateway/limits.ts';
import type {GatewayInbound, GatewayOutbound, Registration} from '@shallotloom/core/gateway/ports.ts';
import {runGatewayStep} from '@shallotloom/core/gateway/step.ts';
import {MemberState} from '@shallotloom/core/messages.ts';
import {Outcome, RefusalKind, type Refusal} from '@shallotloom/core/refusal.ts';
import {createCoreLoop, type CoreLoop} from '../core-loop.ts';
import {parsePlace} from '../listener.ts';
import {EdgePart, type Log} from '../log.ts';
import {createPeerClient} from '../peers/peer-client.ts';
import {startPeerServer} from '../peers/peer-server.ts';
import type {Timer} from '../timer.ts';
import {createTraffic} from '../traffic.ts';
import {
	deliver, endRefused, writeRefusal, type CallExchange,
} from './call-exchange.ts';
import type {CallFormat} from './call-format.ts';
import {listenForCallers} from './caller-listener.ts';
import {requestHeaders} from './connection-headers.ts';
import type {GatewayMetrics} from './gateway-metrics.ts';
import {createTargetPools} from './target-pools.ts';
import {cancelSend, sendToTarget} from './target-send.ts';

/** Where this instance is registered for the others. */
export type Registry = {
	register(registration: Registration): void;
	withdraw(): Promise<void>;
	remove(instance: string, incarnation: string): void;
};

export type GatewayRouterOptions = {
	self: Omit<GatewaySelf, 'incarnation'>;
	/** IP number and port for callers. */
	listenCallers: string;
	/** IP number and port for peers. */
	listenPeers: string;
	limits: Partial<GatewayLimits>;
	format: CallFormat;
	registry: Registry;
	log: Log;
	metrics: GatewayMetrics;
	timer: Timer;
	onStopped: () => void;
};

export type GatewayRouter = {
	gateway: Gateway;
	/** Tells the core. */
	push(inbound: GatewayInbound): void;
	stop(): void;
	/** Ends what is left once the stop is done. */
	close(): Promise<void>;
};

/** Period of the core's steps while nothing arrives, in milliseconds: the precision of timeouts. */
export const tickMs = 20;

/** Starts a router; rejects when one of its addresses can't be bound. */
export async function startGatewayRouter(options: GatewayRouterOptions): Promise<GatewayRouter> {
	const {
		format, registry, log, metrics, timer,
	} = options;
	const gateway = createGateway({
		self: {...options.self, incarnation: randomBytes(4).toString('hex')},
		seed: randomBytes(4).readInt32LE(),
		now: timer.now(),
		limits: options.limits,
	});
	const exchanges = new Map<string, CallExchange>();
	const pools = createTargetPools();
	const traffic = createTraffic();
	let nextCall = 1;
	let closing: Promise<void> | undefined;
	let withdrawal: Promise<void> | undefined;
	const push = (inbound: GatewayInbound) => {
		metrics.countInbound(inbound, timer.now());
		loop.push(inbound);
	};

	const peers = createPeerClient({
		sender: gateway.self.id,
		incarnation: gateway.self.incarnation,
		traffic,
		now: timer.now,
		onLost() {
			// An instance counts as lost when its digests stop.
		},
		onError(member, reason) {
			log.write({
				part: EdgePart.Peers, level: 'warn', text: 'stream broke', fields: {member, reason},
			});
		},
	});

	const loop: CoreLoop<GatewayInbound> = createCoreLoop<GatewayInbound, GatewayOutbound>({
		step: (now, inbox) => runGatewayStep(gateway, now, inbox),
		timer,
		tickMs,
		onStep() {
			// Steps are timed by the bench of the core.
		},
		edges: {
			send(order) {
				const exchange = exchanges.get(order.call);
				if (exchange) {
					sendToTarget(exchange, order, {pools, format, push});
				}
			},
			cancel({call}) {
				const exchange = exchanges.get(call);
				if (exchange) {
					cancelSend(exchange);
				}
			},
			deliverFailure({call}) {
				const exchange = exchanges.get(call);
				if (exchange?.failure && !exchange.isFinished) {
					deliver(exchange, exchange.failure);
				}
			},
			refuse({call, refusal}) {
				const exchange = exchanges.get(call);
				metrics.countRefusal(refusal);
				if (exchange) {
					cancelSend(exchange);
					endRefused(exchange, refusal);
				}
			},
			closed({call}) {
				exchanges.delete(call);
			},
			targetGone({address}) {
				pools.drop(address);
			},
			sendDigest({to, peerUrl, digest}) {
				peers.send(to, peerUrl, digest);
			},
			register({registration}) {
				registry.register(registration);
			},
			closeListener() {
				closing = listener.close();
			},
			withdraw() {
				withdrawal = registry.withdraw();
			},
			remove({instance, incarnation}) {
				registry.remove(instance, incarnation);
			},
			catalogueInForce({catalogue}) {
				listener.setLimits(catalogue.limits);
			},
			log({
				part, level, text, request, fields,
			}) {
				log.write({
					part, level, text, request: request === undefined ? undefined : (exchanges.get(request)?.requestId ?? request), fields,
				});
			},
			stopped: options.onStopped,
		},
	});

	function open(request: IncomingMessage, response: ServerResponse, body: Buffer | undefined) {
		const reading = format.readCall({url: request.url ?? '/', headers: request.headers});
		if (reading.kind === 'malformed') {
			const refusal: Refusal = {kind: RefusalKind.MalformedBody, outcome: Outcome.NotRun, detail: reading.detail};
			metrics.countRefusal(refusal);
			writeRefusal(response, refusal);
			return;
		}

		const id = String(nextCall);
		nextCall += 1;
		const exchange: CallExchange = {
			id,
			requestId: reading.requestId,
			method: request.method ?? 'GET',
			url: request.url ?? '/',
			headers: requestHeaders(request.rawHeaders),
			body,
			response,
			isFinished: false,
			lastEventId: undefined,
			send: 0,
			controller: undefined,
			failure: undefined,
		};
		exchanges.set(id, exchange);
		response.once('close', () => {
			if (!exchange.isFinished) {
				exchange.isFinished = true;
				push({kind: 'callerGone', call: id});
			}
		});
		push({kind: 'callArrived', call: {...reading.call, id}});
	}

	const listener = await listenForCallers({
		place: parsePlace(options.listenCallers),
		onCall: open,
		isLeaving: () => gateway.state === MemberState.Leaving,
	});
	const peerServer = await startPeerServer({
		...parsePlace(options.listenPeers),
		traffic,
		onMessage(from, incarnation, message) {
			if (message.kind === 'digest') {
				push({
					kind: 'digest', from, incarnation, digest: message,
				});
			}
		},
	});
	loop.start();

	return {
		gateway,
		push,
		stop() {
			push({kind: 'stopRequested'});
		},
		async close() {
			await Promise.race([closing ?? listener.close(), sleep(closeMs)]);
			listener.closeAll();
			await withdrawal;
			loop.stop();
			timer.stop();
			peers.close();
			await Promise.all([peerServer.close(), pools.close()]);
		},
	};
}

/** Time for the last answers to reach their callers, in milliseconds. */
const closeMs = 200;

async function sleep(ms: number) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
