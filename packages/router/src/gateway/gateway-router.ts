/*
Assembles a router for routed calls from the core, its loop, the listener for callers and the connections to targets and
peers. Input from the platform arrives through `push`; registrations are written through `registry`.
*/
import type {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {DataKind} from '@shallotloom/core/gateway/data-sources.ts';
import {
	beginGateway, createGateway, type Gateway, type GatewaySelf, type PlannedStop,
} from '@shallotloom/core/gateway/gateway.ts';
import type {GatewayLimits} from '@shallotloom/core/gateway/limits.ts';
import type {
	GatewayInbound, GatewayOutbound, GatewayOutboundOf, Registration,
} from '@shallotloom/core/gateway/ports.ts';
import {isRateLimited} from '@shallotloom/core/gateway/rate-limits.ts';
import {runGatewayStep} from '@shallotloom/core/gateway/step.ts';
import {
	MemberState, type PeerMessage, type PeerMessageOf, type QuarantineEntry, type StoredVersions, type StreamGroup,
} from '@shallotloom/core/messages.ts';
import {LogPart} from '@shallotloom/core/ports.ts';
import {Outcome, RefusalKind, type Refusal} from '@shallotloom/core/refusal.ts';
import {createCoreLoop, type CoreLoop} from '../core-loop.ts';
import {bindDefaults, parseAddress, type BindOptions} from '../listener.ts';
import {AdapterPart, type Log} from '../log.ts';
import {createPeerClient} from '../peers/peer-client.ts';
import {startPeerServer} from '../peers/peer-server.ts';
import type {Timer} from '../timer.ts';
import {createControlTraffic} from '../control-traffic.ts';
import {runAfterNextPoll, watchProcessorUse, watchStalls} from '../loop-stalls.ts';
import {
	sendBufferedAnswer, endWithRefusal, writeRefusal, type CallExchange,
} from './call-exchange.ts';
import {createBufferedBytes, type BufferedBytes, type BufferHold} from './buffered-bytes.ts';
import type {CallFormat} from './call-format.ts';
import {listenForCallers} from './caller-listener.ts';
import {createInternalErrors, createInternalRefusal} from './internal-errors.ts';
import {filterRequestHeaders} from './hop-by-hop-headers.ts';
import type {GatewayMetrics} from './gateway-metrics.ts';
import {computeFingerprint} from './request-fingerprint.ts';
import {createConnectionPools} from './connection-pools.ts';
import {cancelSend, sendToTarget} from './target-send.ts';

/** Store of the registrations by which instances find each other. */
export type InstanceRegistry = {
	register(registration: Registration): void;
	withdraw(): Promise<void>;
	remove(instance: string, incarnation: string): void;
};

/** Store of the quarantines, which outlast the processes. Each write resolves to whether it succeeded. */
export type QuarantineStore = {
	put(entry: QuarantineEntry): Promise<boolean>;
	remove(suspect: string): Promise<boolean>;
};

/** Store of what is known of streams, which outlasts the processes. Each write resolves to whether it succeeded. */
export type StreamStore = {
	putStreams(groups: StreamGroup[]): Promise<boolean>;
	putVersions(versions: StoredVersions): Promise<boolean>;
};

export type GatewayRouterOptions = {
	self: Omit<GatewaySelf, 'incarnation'>;
	/** IP number and port for callers. */
	callerListenAddress: string;
	/** IP number and port for peers. */
	peerListenAddress: string;
	/** How to wait for addresses that other sockets hold. */
	bind?: BindOptions;
	/** Called before callers can connect; the start fails when it rejects. */
	beforeCallers?: (gateway: Gateway) => Promise<void>;
	limits: Partial<GatewayLimits>;
	/** Whether the whole fleet starts for the first time. */
	isFirstStart: boolean;
	format: CallFormat;
	registry: InstanceRegistry;
	quarantineStore: QuarantineStore;
	streamStore: StreamStore;
	log: Log;
	metrics: GatewayMetrics;
	timer: Timer;
	/** Called when changes of a kind of data are to be read from the platform at once. */
	onRefreshData: (data: DataKind) => void;
	onStopped: () => void;
};

export type GatewayRouter = {
	gateway: Gateway;
	bufferedBytes: Pick<BufferedBytes, 'total'>;
	/** Passes a message to the core. */
	push(inbound: GatewayInbound): void;
	/** Starts a planned stop; `onStopped` is called when it is complete. */
	stop(): void;
	/**
	Handles an exception that nothing else has caught: logs it and starts a planned stop, so that the running calls end. `onStopped` is
	called in any case, even if the core can't complete the stop.
	*/
	fail(error: unknown): void;
	/** Closes listeners, connections and timers; call it after the planned stop is complete. */
	close(): Promise<void>;
};

export const gatewayRouterDefaults = {
	bind: bindDefaults,
	async beforeCallers() {
		// Nothing has to be bound before callers can connect.
	},
} satisfies Partial<GatewayRouterOptions>;

/** Interval of the core's steps while no messages arrive, in milliseconds; it bounds the precision of timeouts. */
export const tickMs = 20;

/** How much later than planned a stop after an exception may be complete, in milliseconds. */
const failedStopMarginMs = 500;

/** Maximum number of malformed headers that are logged, each once a target. */
const maxLoggedHeaders = 1000;

/** Starts a router; rejects when one of its addresses can't be bound. */
export async function startGatewayRouter(options: GatewayRouterOptions): Promise<GatewayRouter> {
	const {
		format, registry, quarantineStore, streamStore, log, metrics, timer, bind, beforeCallers,
	} = {...gatewayRouterDefaults, ...options};
	const gateway = createGateway({
		self: {...options.self, incarnation: randomBytes(4).toString('hex')},
		seed: randomBytes(4).readInt32LE(),
		now: timer.now(),
		limits: options.limits,
		isFirstStart: options.isFirstStart,
	});
	const exchanges = new Map<string, CallExchange>();
	const bufferedBytes = createBufferedBytes(gateway.limits);
	metrics.observeBuffers(bufferedBytes);
	const connectionPools = createConnectionPools();
	const traffic = createControlTraffic();
	let nextCallId = 1;
	let isFailing = false;
	let isStarted = false;
	let withdrawal: Promise<void> | undefined;
	const push = (inbound: GatewayInbound) => {
		metrics.countInbound(inbound, timer.now());
		loop.push(inbound);
	};

	const internalErrors = createInternalErrors({
		exchanges, metrics, log, push, onSystemFailure: stopAfterFailure,
	});

	/** Targets and headers whose malformed values have been logged. */
	const loggedHeaders = new Set<string>();

	function onMalformedHeader(target: string, header: string) {
		const key = `${target} ${header}`;
		if (!loggedHeaders.has(key) && loggedHeaders.size < maxLoggedHeaders) {
			loggedHeaders.add(key);
			log.write({
				part: LogPart.Target, level: 'warn', text: 'header malformed', fields: {target, header},
			});
		}
	}

	function isTargetRateLimited(target: string, startId: string): boolean {
		const row = gateway.targets.get(target);
		return row?.startId === startId && isRateLimited(row);
	}

	function stop() {
		// A process that stood still handles the signal late, but is killed at the end of the grace period all the same.
		push({kind: 'stopRequested', at: stallWatch.getPolledAt()});
		listener.leave();
	}

	function stopAfterFailure() {
		if (!isFailing) {
			isFailing = true;
			stop();
			setTimeout(options.onStopped, gateway.limits.maxStopMs + failedStopMarginMs).unref();
		}
	}

	/** Reports to the core how a write to the store of quarantines ended. */
	async function reportWrite(suspect: string, isRemoval: boolean, write: Promise<boolean>) {
		push({
			kind: 'quarantineWritten', suspect, isRemoval, isSuccessful: await write,
		});
	}

	async function reportStreamWrite(kind: 'streamsWritten' | 'versionsWritten', write: Promise<boolean>) {
		push({kind, isSuccessful: await write});
	}

	const stallWatch = watchStalls({
		timer,
		tickMs,
		onStall(ms) {
			push({kind: 'stalled', ms});
		},
	});

	const stopWatchingUse = watchProcessorUse(timer, fraction => {
		push({kind: 'processorUse', fraction});
	});

	const peers = createPeerClient({
		sender: gateway.self.id,
		incarnation: gateway.self.incarnation,
		traffic,
		now: timer.now,
		onLost() {
			// An instance is considered lost when its digests stop arriving, not when a connection to it closes.
		},
		onError(member, reason) {
			log.write({
				part: AdapterPart.Peers, level: 'warn', text: 'stream broke', fields: {member, reason},
			});
		},
		onInvalid(kind, reason) {
			metrics.countInternalError('encode');
			log.write({
				part: AdapterPart.Peers, level: 'error', text: 'message or row left out', fields: {message: kind, reason},
			});
		},
	});

	const loop: CoreLoop<GatewayInbound> = createCoreLoop<GatewayInbound, GatewayOutbound>({
		step: (now, inbox) => runGatewayStep(gateway, now, inbox, internalErrors.handleStepFailure),
		timer,
		tickMs,
		onStep() {
			// Step durations are measured by the benchmark of the core, not here.
		},
		onHandlerError: internalErrors.handleActionError,
		handlers: {
			send(command) {
				const exchange = exchanges.get(command.call);
				if (exchange) {
					metrics.countSend(command);
					sendToTarget(exchange, command, {
						connectionPools,
						format,
						push,
						onMalformedHeader,
						onInternalError(error) {
							internalErrors.report('answer', error, {request: exchange.requestId, target: command.target});
						},
						isRateLimited: isTargetRateLimited,
					});
				}
			},
			releaseEvents({call, send}) {
				const exchange = exchanges.get(call);
				if (exchange?.currentSend === send) {
					exchange.releaseEvents?.();
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
				if (exchange?.failedAnswer && !exchange.isFinished) {
					sendBufferedAnswer(exchange, exchange.failedAnswer);
				}
			},
			refuse({call, refusal, pool, cause}) {
				const exchange = exchanges.get(call);
				metrics.countRefusal(refusal, {pool, cause});
				if (exchange) {
					if (!exchange.isFinished && exchange.response.headersSent) {
						metrics.countCutAnswer(cause ?? refusal.kind);
					}

					cancelSend(exchange);
					endWithRefusal(exchange, refusal);
				}
			},
			closed({call}) {
				exchanges.delete(call);
				metrics.forgetCall(call);
			},
			targetGone({address}) {
				connectionPools.closePool(address);
			},
			sendDigest({to, peerUrl, digest}) {
				peers.send(to, peerUrl, digest);
			},
			sendStreamMessage({to, peerUrl, message}) {
				peers.send(to, peerUrl, message);
			},
			register({registration}) {
				registry.register(registration);
			},
			withdraw() {
				withdrawal = registry.withdraw();
			},
			remove({instance, incarnation}) {
				registry.remove(instance, incarnation);
			},
			storeQuarantine({entry}) {
				void reportWrite(entry.suspect, false, quarantineStore.put(entry));
			},
			removeQuarantine({suspect}) {
				void reportWrite(suspect, true, quarantineStore.remove(suspect));
			},
			storeStreams({groups}) {
				void reportStreamWrite('streamsWritten', streamStore.putStreams(groups));
			},
			storeVersions({versions}) {
				void reportStreamWrite('versionsWritten', streamStore.putVersions(versions));
			},
			refreshData({data}) {
				options.onRefreshData(data);
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

	function handleBuffersFull({url, headers}: IncomingMessage, bytes: number): Refusal {
		const {maxBufferedBytes, buffersFullRetryAfterMs: retryAfterMs} = gateway.limits;
		const parsed = format.parseCall({url: url ?? '/', headers});
		const refusal: Refusal = {
			kind: RefusalKind.BuffersFull, outcome: Outcome.NotRun, detail: '', retryAfterMs,
		};
		metrics.countRefusal(refusal);
		log.write({
			part: LogPart.Request,
			level: 'warn',
			text: 'refused',
			request: parsed.kind === 'ok' ? parsed.requestId : undefined,
			fields: {
				reason: refusal.kind, outcome: refusal.outcome, retryAfterMs, bytes, bufferedBytes: bufferedBytes.total, maxBufferedBytes,
			},
		});
		return refusal;
	}

	function handleCall(request: IncomingMessage, response: ServerResponse, body: Buffer | undefined, hold: BufferHold) {
		const parsed = format.parseCall({url: request.url ?? '/', headers: request.headers});
		if (parsed.kind === 'malformed') {
			const refusal: Refusal = {kind: RefusalKind.MalformedBody, outcome: Outcome.NotRun, detail: parsed.detail};
			metrics.countRefusal(refusal);
			writeRefusal(response, refusal);
			return;
		}

		const id = String(nextCallId);
		nextCallId += 1;
		const exchange: CallExchange = {
			id,
			requestId: parsed.requestId,
			method: request.method ?? 'GET',
			url: request.url ?? '/',
			headers: filterRequestHeaders(request.rawHeaders),
			body,
			response,
			hold,
			isFinished: false,
			lastEventId: undefined,
			streamHead: undefined,
			currentSend: 0,
			controller: undefined,
			releaseEvents: undefined,
			failedAnswer: undefined,
		};
		exchanges.set(id, exchange);
		let hasArrived = false;
		const handleCallerGone = () => {
			if (exchange.isFinished) {
				return;
			}

			exchange.isFinished = true;
			if (hasArrived) {
				push({kind: 'callerGone', call: id});
			} else {
				exchanges.delete(id);
			}
		};

		const arrive = () => {
			if (exchange.isFinished) {
				return;
			}

			try {
				const fingerprint = computeFingerprint({
					method: exchange.method, host: parsed.call.host, url: exchange.url, body,
				});
				hasArrived = true;
				push({
					kind: 'callArrived', call: {
						...parsed.call, id, requestId: exchange.requestId, fingerprint,
					},
				});
			} catch (error) {
				internalErrors.report('arrival', error, {request: exchange.requestId});
				internalErrors.endExchange(id, Outcome.NotRun);
				exchanges.delete(id);
			}
		};

		// The end of the connection is seen sooner at the socket than at the response, which closes after its last write.
		request.socket.once('end', handleCallerGone);
		response.once('close', () => {
			request.socket.off('end', handleCallerGone);
			handleCallerGone();
		});
		// A request may have waited for long in the queue of new connections or during a stall, so that its caller has left: the end
		// of the connection is read one poll after the request.
		if (gateway.state === MemberState.Leaving) {
			// A stop is complete when no call is open, so it has to know of the call at once.
			arrive();
		} else {
			runAfterNextPoll(arrive);
		}
	}

	/** Handlers of the messages between instances that routed calls need; other kinds are ignored. */
	const messageHandlers: {[Kind in PeerMessage['kind']]?: (from: string, incarnation: string, message: PeerMessageOf<Kind>) => void} = {
		digest(from, incarnation, digest) {
			push({
				kind: 'digest', from, incarnation, digest,
			});
		},
		streamRecords(from, _incarnation, message) {
			push({kind: 'streamRecords', from, message});
		},
		streamQuery(from, _incarnation, message) {
			push({kind: 'streamQuery', from, message});
		},
		streamReply(from, _incarnation, message) {
			push({kind: 'streamReply', from, message});
		},
	};

	const peerServer = await startPeerServer({
		address: parseAddress(options.peerListenAddress),
		bind,
		traffic,
		onMessage(from, incarnation, message) {
			// A message from before the start is out of date by the first step.
			if (isStarted) {
				messageHandlers[message.kind]?.(from, incarnation, message as never);
			}
		},
		onError: internalErrors.createListenerLogger(AdapterPart.Peers),
		onInvalid(member, reason) {
			metrics.countInternalError('decode');
			log.write({
				part: AdapterPart.Peers, level: 'error', text: 'message of a peer left out', fields: {member, reason},
			});
		},
	});
	await beforeCallers(gateway);
	// Calls are answered from the first one on, so callers can connect only once nothing else has to be waited for.
	const listener = await listenForCallers({
		address: parseAddress(options.callerListenAddress),
		bind,
		onConnectionClosed: metrics.countClosedConnection,
		onError: internalErrors.createListenerLogger(AdapterPart.Callers),
		timer,
		bufferedBytes,
		onBuffersFull: handleBuffersFull,
		onRequest(request, response, body, hold) {
			try {
				handleCall(request, response, body, hold);
			} catch (error) {
				internalErrors.report('request', error);
				const refusal = createInternalRefusal(Outcome.NotRun);
				metrics.countRefusal(refusal);
				writeRefusal(response, refusal);
			}
		},
	});
	beginGateway(gateway, timer.now());
	isStarted = true;
	loop.start();

	return {
		gateway,
		bufferedBytes,
		push,
		stop,
		fail(error) {
			internalErrors.report('uncaught', error);
			stopAfterFailure();
		},
		async close() {
			const {flushMs, exitMs} = computeCloseTimes(gateway.stop);
			const sinceStopMs = () => timer.now() - (gateway.stop?.requestedAt ?? timer.now());
			await Promise.race([listener.close(), sleep(Math.max(minFlushMs, flushMs - sinceStopMs()))]);
			const left = listener.closeAllConnections();
			log.write({
				part: LogPart.Stop, level: 'info', text: 'connections closed', fields: {dueMs: flushMs, afterMs: Math.round(sinceStopMs()), left},
			});
			const untilExit = sleep(Math.min(maxExitMs, Math.max(0, exitMs - sinceStopMs())));
			await Promise.race([withdrawal, untilExit]);
			loop.stop();
			stallWatch.stop();
			stopWatchingUse();
			timer.stop();
			peers.close();
			await Promise.race([Promise.all([peerServer.close(), connectionPools.destroyAll()]), untilExit]);
		},
	};
}

/** How long the last answers may take at least to reach their callers before all connections are closed, in milliseconds. */
const minFlushMs = 100;

/** How long the withdrawal of the registration may take at most, in milliseconds; other instances remove what is left of it. */
const maxExitMs = 500;

/** When all connections are closed and when the process exits, in milliseconds after the request to stop. */
function computeCloseTimes(stop: PlannedStop | undefined): {flushMs: number; exitMs: number} {
	if (!stop) {
		return {flushMs: minFlushMs, exitMs: minFlushMs + maxExitMs};
	}

	const {maxStopMs, stopFlushMs, stopExitMs} = stop.times;
	return {flushMs: maxStopMs + stopFlushMs, exitMs: maxStopMs + stopFlushMs + stopExitMs};
}

async function sleep(ms: number) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
