/*
Simulates a fleet of gateway instances, model engines and callers. The gateway core is the real one; everything around it is a
model. A run shows within seconds how a change of placement, queueing or refusals affects callers, and is reproducible from its
seed.
*/
import {CallKind, createCatalogue, type Catalogue} from '@shallotloom/core/gateway/catalogue.ts';
import {createGateway, type Gateway} from '@shallotloom/core/gateway/gateway.ts';
import type {GatewayLimits} from '@shallotloom/core/gateway/limits.ts';
import {
	SendEnd, type GatewayInbound, type GatewayOutbound, type GatewayOutboundOf, type Registration,
} from '@shallotloom/core/gateway/ports.ts';
import {TargetStanding, type ListedTarget} from '@shallotloom/core/gateway/rows.ts';
import {runGatewayStep} from '@shallotloom/core/gateway/step.ts';
import {MemberState} from '@shallotloom/core/messages.ts';
import {createRandom} from '../load/random.ts';
import {createEngine, type Engine, type EngineOptions} from './engine.ts';
import {createEventQueue} from './event-queue.ts';
import {createHarmfulRequests, isHarmful, type HarmfulLoad} from './harmful-load.ts';
import {
	createLoad, type LoadOptions, type ModelRequest, type RequestKind,
} from './load.ts';

export type FleetOptions = {
	seed: number;
	seconds: number;
	instances: number;
	engines: number;
	failureDomains: number;
	engine: EngineOptions;
	load: Omit<LoadOptions, 'seed'>;
	/** Weighted tokens per second that the catalogue states as the engines' throughput. */
	tokensPerSecond: number;
	limits: Partial<GatewayLimits>;
	/** Crashes: at `atMs`, this many engines fail, and they start again cold after `durationMs`. */
	crashes: Array<{atMs: number; durationMs: number; engines: number}>;
	/** Requests that crash each engine that begins to answer them. */
	harmful?: HarmfulLoad;
	/** Maximum number of engines to which one attempt of a caller is sent; answers that broke are then resumed. */
	maxSends?: number;
};

export enum CallEnd {
	OnTime = 'on time',
	Late = 'late',
	Refused = 'refused',
}

/** Outcome of a request, including its second attempt. */
export type CallRecord = {
	request: ModelRequest;
	requestedAt: number;
	end: CallEnd;
	/** Time from the first attempt to the first byte, in milliseconds; undefined when refused. */
	firstByteMs: number | undefined;
};

export type FleetRun = {
	records: CallRecord[];
	/** Tokens of shared segments that an engine prefilled although it or another engine had used them recently. */
	duplicatePrefillTokens: number;
	/** Sends to engines. */
	sentRequests: Array<{sentAt: number; request: ModelRequest}>;
	/** Times at which engines crashed by the harmful segment, and at which requests with it reached engines. */
	harmfulCrashes: number[];
	harmfulArrivals: number[];
	/** Prompt segments, and fingerprints of requests, that any instance put into quarantine. */
	quarantinedSegments: Set<string>;
	quarantinedRequests: Set<string>;
	/** Number of steps of all gateway cores, and the real time that they took, in milliseconds. */
	steps: number;
	stepTimeMs: number;
};

/** One-way network delays in milliseconds: between caller and instance, and between machines across and within failure domains. */
const callerDelayMs = 1;
const crossDomainDelayMs = 1.4;
const sameDomainDelayMs = 0.1;

const tickMs = 20;

/** Time for which an engine is cold after a start, in milliseconds. */
const coldMs = 3000;

/** A prefill counts as a duplicate only within this time after the segment's last use, in milliseconds. */
const duplicatePrefillWindowMs = 10_000;

/** Callers honour a retry-after delay up to this fraction of the time left until their deadline. */
const maxRetryDelayFraction = 1 / 3;

/** Attempts of a caller in all: a refused request is retried once. */
const maxAttempts = 2;

/** Length of an answer that lasts until its engine has crashed, in tokens. */
const harmfulOutputTokens = 10_000;

const host = 'model';
const pool = 'engines';

function createModelCatalogue({load: {kinds, workspaces}, tokensPerSecond, maxSends = 1}: FleetOptions): Catalogue {
	return createCatalogue({
		version: 1,
		routes: kinds.map(({name, deadlineMs, objectiveMs}) => ({
			name,
			host,
			pathPrefix: `/${name}/`,
			kind: CallKind.Streamed,
			isResumable: maxSends > 1,
			weightedPools: [{pool, weight: 1}],
			maxAttempts: maxSends,
			timeoutMs: deadlineMs,
			objectiveMs,
			priority: 1,
			needsKey: true,
		})),
		pools: [{
			name: pool, coldPerSecond: 16, coldMs, maxConnections: 1000, isEngine: true,
		}],
		keys: new Map(Array.from({length: workspaces}, (_, index) => [`w${index}`, {workspace: `w${index}`, priority: undefined}])),
		limits: {
			headerBytes: 16_384, bodyBytes: 1_000_000, headersTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tokensPerSecond,
	});
}

function createTargetList(targets: Map<string, ListedTarget>): GatewayInbound {
	return {kind: 'targets', targets: [...targets.values()]};
}

/** Runs a fleet for `seconds` of arrivals, and 5 s more for the requests that are still open. */
export function runFleet(options: FleetOptions): FleetRun {
	const {
		seed, seconds, instances, engines, failureDomains, engine, load: loadOptions, limits, crashes, harmful,
	} = options;
	const queue = createEventQueue();
	const random = createRandom(seed, 1);
	const load = createLoad({...loadOptions, seed});
	const harmfulRequests = createHarmfulRequests(load, harmful?.isOneRequest ?? false);
	const run: FleetRun = {
		records: [], duplicatePrefillTokens: 0, sentRequests: [], harmfulCrashes: [], harmfulArrivals: [], quarantinedSegments: new Set(), quarantinedRequests: new Set(), steps: 0, stepTimeMs: 0,
	};
	const getFailureDomain = (index: number) => `d${index % failureDomains}`;

	let startCount = 0;
	const segmentUsedAt = new Map<string, number>();
	const engineModels = new Map<string, Engine>();
	const targets = new Map<string, ListedTarget>();

	function startEngine(id: string, failureDomain: string, coldForMs: number) {
		startCount += 1;
		targets.set(id, {
			id, pool, address: id, softwareVersion: 'v1', failureDomain, standing: TargetStanding.Ready, slots: engine.slots, coldForMs, startId: String(startCount), revision: startCount, isRestored: false,
		});
		engineModels.set(id, createEngine({
			queue,
			options: engine,
			onPrefill(segment) {
				const lastUsedAt = segmentUsedAt.get(segment.id);
				if (lastUsedAt !== undefined && queue.now - lastUsedAt <= duplicatePrefillWindowMs) {
					run.duplicatePrefillTokens += segment.tokens;
				}
			},
		}));
	}

	for (let index = 0; index < engines; index += 1) {
		startEngine(`engine-${index}`, getFailureDomain(index), 0);
	}

	const registrations: Registration[] = Array.from({length: instances}, (_, index) => ({
		id: `node-${index}`, incarnation: '1', failureDomain: getFailureDomain(index), callerAddress: `node-${index}`, peerUrl: `node-${index}`, capacity: 0.1, state: MemberState.Active,
	}));
	const gateways = new Map<string, Gateway>(registrations.map((self, index) => [self.id, createGateway({
		self, seed: (seed * 1000) + index, now: 0, limits,
	})]));

	type OpenCall = {request: ModelRequest; requestedAt: number; attempts: number; firstByteMs: number | undefined; gateway: Gateway; engine: Engine | undefined; send: number};
	const openCalls = new Map<string, OpenCall>();
	let callCount = 0;

	function runStep(gateway: Gateway, ...inbox: GatewayInbound[]) {
		const before = performance.now();
		const outbox = runGatewayStep(gateway, queue.now, inbox);
		run.stepTimeMs += performance.now() - before;
		run.steps += 1;
		for (const item of outbox) {
			handleOutbound(gateway, item);
		}
	}

	/** Handlers of the outbound items that the simulation models; all others are ignored. */
	const outboundHandlers: {[Kind in GatewayOutbound['kind']]?: (gateway: Gateway, item: GatewayOutboundOf<Kind>) => void} = {
		send: sendToEngine,
		refuse: handleRefusal,
		cancel(_gateway, {call}) {
			openCalls.get(call)?.engine?.cancel(call);
		},
		log(_gateway, {text, fields}) {
			if (text === 'prompt segment put into quarantine') {
				run.quarantinedSegments.add(String(fields?.segment));
			} else if (text === 'request put into quarantine') {
				run.quarantinedRequests.add(String(fields?.fingerprint));
			}
		},
		sendDigest(gateway, {to, digest}) {
			queue.schedule(crossDomainDelayMs, () => {
				runStep(gateways.get(to)!, {
					kind: 'digest', from: gateway.self.id, incarnation: gateway.self.incarnation, digest,
				});
			});
		},
	};

	function handleOutbound(gateway: Gateway, item: GatewayOutbound) {
		const handler = outboundHandlers[item.kind] as ((gateway: Gateway, item: GatewayOutbound) => void) | undefined;
		handler?.(gateway, item);
	}

	function endWithoutConnection(gateway: Gateway, id: string, send: number) {
		queue.schedule(crossDomainDelayMs, () => {
			runStep(gateway, {
				kind: 'sendEnded', call: id, send, end: SendEnd.NotSent, load: undefined, detail: 'refused',
			});
		});
	}

	/** Crashes the engine on which an answer to a harmful request has begun. */
	function crashByHarm(target: string, model: Engine) {
		const {crashDelayMs, durationMs, listedMs} = harmful!;
		queue.schedule(crashDelayMs, () => {
			// Another harmful request may have crashed it meanwhile.
			if (engineModels.get(target) === model) {
				run.harmfulCrashes.push(queue.now);
				crashEngine(target, durationMs, listedMs);
			}
		});
	}

	function sendToEngine(gateway: Gateway, {call: id, send, target}: GatewayOutboundOf<'send'>) {
		const call = openCalls.get(id)!;
		const model = engineModels.get(target);
		const {request} = call;
		if (!model) {
			endWithoutConnection(gateway, id, send);
			return;
		}

		const isHarmfulRequest = isHarmful(request);
		if (isHarmfulRequest) {
			run.harmfulArrivals.push(queue.now);
		}

		const delayMs = targets.get(target)!.failureDomain === gateway.self.failureDomain ? sameDomainDelayMs : crossDomainDelayMs;
		call.engine = model;
		call.send = send;
		run.sentRequests.push({sentAt: queue.now, request});
		queue.schedule(delayMs, () => {
			if (engineModels.get(target) !== model) {
				endWithoutConnection(gateway, id, send);
				return;
			}

			model.add({
				id,
				segments: request.segments,
				// The engine crashes before such an answer is complete.
				outputTokens: isHarmfulRequest ? harmfulOutputTokens : request.outputTokens,
				onFirstToken() {
					for (const segment of request.segments) {
						segmentUsedAt.set(segment.id, queue.now);
					}

					if (isHarmfulRequest) {
						crashByHarm(target, model);
					}

					const report = model.getLoad();
					queue.schedule(delayMs, () => {
						call.firstByteMs = queue.now + callerDelayMs - call.requestedAt;
						runStep(gateway, {
							kind: 'answerStarted', call: id, send, load: report,
						}, {kind: 'answerDelivered', call: id});
					});
				},
				onEnd(longestGapMs) {
					const report = model.getLoad();
					queue.schedule(delayMs, () => {
						const isOnTime = call.firstByteMs! <= request.kind.objectiveMs && longestGapMs <= request.kind.maxGapMs;
						recordEnd(id, isOnTime ? CallEnd.OnTime : CallEnd.Late);
						runStep(gateway, {
							kind: 'sendEnded', call: id, send, end: SendEnd.Complete, load: report, detail: '',
						});
					});
				},
			});
		});
	}

	function recordEnd(id: string, end: CallEnd) {
		const call = openCalls.get(id);
		if (!call) {
			// The gateway gave up the call while the end of its answer was in transit.
			return;
		}

		const {request, requestedAt, firstByteMs} = call;
		openCalls.delete(id);
		run.records.push({
			request, requestedAt, end, firstByteMs,
		});
	}

	function handleRefusal(_gateway: Gateway, {call: id, refusal}: GatewayOutboundOf<'refuse'>) {
		const {request, requestedAt, attempts} = openCalls.get(id)!;
		const leftMs = requestedAt + request.kind.deadlineMs - queue.now;
		if (attempts >= maxAttempts) {
			recordEnd(id, CallEnd.Refused);
			return;
		}

		openCalls.delete(id);
		queue.schedule(callerDelayMs + Math.min(refusal.retryAfterMs ?? 0, leftMs * maxRetryDelayFraction), () => {
			startCall(request, requestedAt, attempts + 1);
		});
	}

	function startCall(request: ModelRequest, requestedAt: number, attempts: number) {
		const ids = [...gateways.keys()];
		const gateway = gateways.get(ids[Math.floor((request.instancePosition ?? random.uniform()) * ids.length)]!)!;
		callCount += 1;
		const id = `c${callCount}`;
		queue.schedule(callerDelayMs, () => {
			openCalls.set(id, {
				request, requestedAt, attempts, firstByteMs: undefined, gateway, engine: undefined, send: 0,
			});
			runStep(gateway, {
				kind: 'callArrived',
				call: {
					id,
					requestId: id,
					resumption: undefined,
					host,
					path: `/${request.kind.name}/x`,
					key: request.workspace,
					remainingMs: requestedAt + request.kind.deadlineMs - queue.now,
					fingerprint: request.segments.at(-1)!.id,
					prompt: {inputTokens: request.inputTokens, outputTokens: request.outputTokens, segments: request.segments},
				},
			});
		});
	}

	function publishTargets() {
		for (const gateway of gateways.values()) {
			runStep(gateway, createTargetList(targets));
		}
	}

	function crashEngine(id: string, durationMs: number, listedMs = 0) {
		const {failureDomain, startId} = targets.get(id)!;
		const lostIds = engineModels.get(id)!.crash();
		engineModels.delete(id);
		const unlist = () => {
			if (targets.get(id)?.startId === startId) {
				targets.delete(id);
				publishTargets();
			}
		};

		if (listedMs === 0) {
			unlist();
		} else {
			queue.schedule(listedMs, unlist);
		}

		for (const lostId of lostIds) {
			// A call that the gateway gave up while its cancellation was in transit is no longer open.
			const lostCall = openCalls.get(lostId);
			if (lostCall) {
				runStep(lostCall.gateway, {
					kind: 'sendEnded', call: lostId, send: lostCall.send, end: SendEnd.Broken, load: undefined, detail: 'engine crashed',
				});
			}
		}

		queue.schedule(durationMs, () => {
			startEngine(id, failureDomain, coldMs);
			publishTargets();
		});
	}

	function scheduleArrivals() {
		const {requests, waitMs} = load.nextBatch(queue.now);
		for (const request of requests) {
			startCall(request, queue.now, 1);
		}

		if (queue.now + waitMs < seconds * 1000) {
			queue.schedule(waitMs, scheduleArrivals);
		}
	}

	function scheduleHarmfulArrivals() {
		const {fromMs, toMs, requestsPerSecond} = harmful!;
		if (queue.now >= fromMs) {
			startCall(harmfulRequests.next(queue.now), queue.now, 1);
		}

		if (queue.now < toMs) {
			queue.schedule(Math.max(fromMs - queue.now, 1000 / requestsPerSecond), scheduleHarmfulArrivals);
		}
	}

	function tick(gateway: Gateway) {
		runStep(gateway);
		queue.schedule(tickMs, () => {
			tick(gateway);
		});
	}

	const catalogue = createModelCatalogue(options);
	for (const gateway of gateways.values()) {
		runStep(gateway, {kind: 'catalogue', catalogue}, createTargetList(targets), {kind: 'registrations', registrations}, {kind: 'domainsOut', domains: []});
		queue.schedule(random.uniform() * tickMs, () => {
			tick(gateway);
		});
	}

	for (const {atMs, durationMs, engines: count} of crashes) {
		queue.schedule(atMs, () => {
			for (const id of [...targets.keys()].filter(target => engineModels.has(target)).slice(0, count)) {
				crashEngine(id, durationMs);
			}
		});
	}

	if (harmful) {
		scheduleHarmfulArrivals();
	}

	queue.schedule(1000, scheduleArrivals);
	queue.runUntil((seconds + 5) * 1000);
	return run;
}
