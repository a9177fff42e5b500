/*
A fleet of gateway cores, model engines and callers in simulated time: the decisions are the product's own, everything around
them is a model. It tells what a change of placing, queueing or refusing does to callers within seconds, and always the same
for one seed.
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
	/** Weighted tokens that the engines are said to serve a second. */
	tokensPerSecond: number;
	limits: Partial<GatewayLimits>;
	/** Engines that crash and come back cold. */
	crashes: Array<{atMs: number; forMs: number; engines: number}>;
};

export enum CallEnd {
	OnTime = 'on time',
	Late = 'late',
	Refused = 'refused',
}

/** What became of a request, its second try included. */
export type CallRecord = {
	request: ModelRequest;
	askedAt: number;
	end: CallEnd;
	/** Time to the first byte from the first try on, in milliseconds; undefined when refused. */
	firstMs: number | undefined;
};

export type FleetRun = {
	records: CallRecord[];
	/** Tokens of shared parts read by an engine though another, or itself, had read them of late. */
	rereadTokens: number;
	/** Requests that were sent to engines. */
	begun: Array<{at: number; request: ModelRequest}>;
	/** Steps of all cores, and the time that they took in milliseconds. */
	steps: number;
	stepMs: number;
};

/** One way between a caller and an instance, and between two machines, in milliseconds. */
const callerMs = 1;
const farMs = 1.4;
const nearMs = 0.1;

const tickMs = 20;

/** Time for which an engine that has started is cold, in milliseconds. */
const coldMs = 3000;

/** A part counts as read again only within this time of its last use, in milliseconds. */
const reuseMs = 10_000;

/** Callers wait at most this part of their time when they are told to come back. */
const comeBackPart = 1 / 3;

const tries = 2;

const host = 'model';
const pool = 'engines';

function catalogueOf(kinds: RequestKind[], workspaces: number, tokensPerSecond: number): Catalogue {
	return createCatalogue({
		version: 1,
		routes: kinds.map(({name, deadlineMs, objectiveMs}) => ({
			name,
			host,
			pathPrefix: `/${name}/`,
			kind: CallKind.Streamed,
			isResumable: false,
			weightedPools: [{pool, weight: 1}],
			maxAttempts: 1,
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

function listOf(targets: Map<string, ListedTarget>): GatewayInbound {
	return {kind: 'targets', targets: [...targets.values()]};
}

/** Runs a fleet. */
export function runFleet({
	seed, seconds, instances, engines, failureDomains, engine, load: loadOptions, tokensPerSecond, limits, crashes,
}: FleetOptions): FleetRun {
	const queue = createEventQueue();
	const random = createRandom(seed, 1);
	const load = createLoad({...loadOptions, seed});
	const run: FleetRun = {
		records: [], rereadTokens: 0, begun: [], steps: 0, stepMs: 0,
	};
	const domainOf = (index: number) => `d${index % failureDomains}`;

	let starts = 0;
	const usedAt = new Map<string, number>();
	const models = new Map<string, Engine>();
	const targets = new Map<string, ListedTarget>();

	function startEngine(id: string, failureDomain: string, coldForMs: number) {
		starts += 1;
		targets.set(id, {
			id, pool, address: id, failureDomain, standing: TargetStanding.Ready, slots: engine.slots, coldForMs, startId: String(starts), revision: starts,
		});
		models.set(id, createEngine({
			queue,
			options: engine,
			onRead(part) {
				const before = usedAt.get(part.id);
				if (before !== undefined && queue.now - before <= reuseMs) {
					run.rereadTokens += part.tokens;
				}
			},
		}));
	}

	for (let index = 0; index < engines; index += 1) {
		startEngine(`engine-${index}`, domainOf(index), 0);
	}

	const registrations: Registration[] = Array.from({length: instances}, (_, index) => ({
		id: `node-${index}`, incarnation: '1', failureDomain: domainOf(index), callerAddress: `node-${index}`, peerUrl: `node-${index}`, state: MemberState.Active,
	}));
	const gateways = new Map<string, Gateway>(registrations.map((self, index) => [self.id, createGateway({
		self, seed: (seed * 1000) + index, now: 0, limits,
	})]));

	type OpenCall = {request: ModelRequest; askedAt: number; tried: number; firstMs: number | undefined; gateway: Gateway; engine: Engine | undefined; send: number};
	const open = new Map<string, OpenCall>();
	let calls = 0;

	function tell(gateway: Gateway, ...inbox: GatewayInbound[]) {
		const before = performance.now();
		const outbox = runGatewayStep(gateway, queue.now, inbox);
		run.stepMs += performance.now() - before;
		run.steps += 1;
		for (const item of outbox) {
			carryOut(gateway, item);
		}
	}

	/** What the model does with the items of an outbox; others concern edges that it leaves out. */
	const edges: {[Kind in GatewayOutbound['kind']]?: (gateway: Gateway, item: GatewayOutboundOf<Kind>) => void} = {
		send: sendToEngine,
		refuse: onRefused,
		cancel(_gateway, {call}) {
			open.get(call)?.engine?.cancel(call);
		},
		sendDigest(gateway, {to, digest}) {
			queue.after(farMs, () => {
				tell(gateways.get(to)!, {
					kind: 'digest', from: gateway.self.id, incarnation: gateway.self.incarnation, digest,
				});
			});
		},
	};

	function carryOut(gateway: Gateway, item: GatewayOutbound) {
		const edge = edges[item.kind] as ((gateway: Gateway, item: GatewayOutbound) => void) | undefined;
		edge?.(gateway, item);
	}

	function sendToEngine(gateway: Gateway, {call: id, send, target}: GatewayOutboundOf<'send'>) {
		const call = open.get(id)!;
		const model = models.get(target)!;
		const {request} = call;
		const wayMs = targets.get(target)!.failureDomain === gateway.self.failureDomain ? nearMs : farMs;
		call.engine = model;
		call.send = send;
		run.begun.push({at: queue.now, request});
		queue.after(wayMs, () => {
			model.add({
				id,
				parts: request.parts,
				outputTokens: request.outputTokens,
				onFirst() {
					for (const part of request.parts) {
						usedAt.set(part.id, queue.now);
					}

					const report = model.load();
					queue.after(wayMs, () => {
						call.firstMs = queue.now + callerMs - call.askedAt;
						tell(gateway, {
							kind: 'answerStarted', call: id, send, load: report,
						}, {kind: 'answerDelivered', call: id});
					});
				},
				onEnd(longestGapMs) {
					const report = model.load();
					queue.after(wayMs, () => {
						const isOnTime = call.firstMs! <= request.kind.objectiveMs && longestGapMs <= request.kind.gapMs;
						finish(id, isOnTime ? CallEnd.OnTime : CallEnd.Late);
						tell(gateway, {
							kind: 'sendEnded', call: id, send, end: SendEnd.Complete, load: report, detail: '',
						});
					});
				},
			});
		});
	}

	function finish(id: string, end: CallEnd) {
		const call = open.get(id);
		if (!call) {
			// It was given up while the end of its answer was on the way.
			return;
		}

		const {request, askedAt, firstMs} = call;
		open.delete(id);
		run.records.push({
			request, askedAt, end, firstMs,
		});
	}

	function onRefused(_gateway: Gateway, {call: id, refusal}: GatewayOutboundOf<'refuse'>) {
		const {request, askedAt, tried} = open.get(id)!;
		const leftMs = askedAt + request.kind.deadlineMs - queue.now;
		if (tried >= tries) {
			finish(id, CallEnd.Refused);
			return;
		}

		open.delete(id);
		queue.after(callerMs + Math.min(refusal.retryAfterMs ?? 0, leftMs * comeBackPart), () => {
			ask(request, askedAt, tried + 1);
		});
	}

	function ask(request: ModelRequest, askedAt: number, tried: number) {
		const ids = [...gateways.keys()];
		const gateway = gateways.get(ids[Math.floor((request.place ?? random.uniform()) * ids.length)]!)!;
		calls += 1;
		const id = `c${calls}`;
		queue.after(callerMs, () => {
			open.set(id, {
				request, askedAt, tried, firstMs: undefined, gateway, engine: undefined, send: 0,
			});
			tell(gateway, {
				kind: 'callArrived',
				call: {
					id,
					host,
					path: `/${request.kind.name}/x`,
					key: request.workspace,
					remainingMs: askedAt + request.kind.deadlineMs - queue.now,
					prompt: {inputTokens: request.inputTokens, outputTokens: request.outputTokens, segments: request.parts},
				},
			});
		});
	}

	function crash(id: string, forMs: number) {
		const {failureDomain} = targets.get(id)!;
		targets.delete(id);
		const lost = models.get(id)!.crash();
		for (const gateway of gateways.values()) {
			tell(gateway, listOf(targets));
		}

		for (const call of lost) {
			// A call that was given up while its cancellation was on the way is no longer open.
			const lostCall = open.get(call);
			if (lostCall) {
				tell(lostCall.gateway, {
					kind: 'sendEnded', call, send: lostCall.send, end: SendEnd.Broken, load: undefined, detail: 'engine crashed',
				});
			}
		}

		queue.after(forMs, () => {
			startEngine(id, failureDomain, coldMs);
			for (const gateway of gateways.values()) {
				tell(gateway, listOf(targets));
			}
		});
	}

	function arrive() {
		const {requests, waitMs} = load.next(queue.now);
		for (const request of requests) {
			ask(request, queue.now, 1);
		}

		if (queue.now + waitMs < seconds * 1000) {
			queue.after(waitMs, arrive);
		}
	}

	function tick(gateway: Gateway) {
		tell(gateway);
		queue.after(tickMs, () => {
			tick(gateway);
		});
	}

	const catalogue = catalogueOf(loadOptions.kinds, loadOptions.workspaces, tokensPerSecond);
	for (const gateway of gateways.values()) {
		tell(gateway, {kind: 'catalogue', catalogue}, listOf(targets), {kind: 'registrations', registrations}, {kind: 'domainsOut', domains: []});
		queue.after(random.uniform() * tickMs, () => {
			tick(gateway);
		});
	}

	for (const {atMs, forMs, engines: count} of crashes) {
		queue.after(atMs, () => {
			for (const id of [...targets.keys()].slice(0, count)) {
				crash(id, forMs);
			}
		});
	}

	queue.after(1000, arrive);
	queue.runUntil((seconds + 5) * 1000);
	return run;
}
