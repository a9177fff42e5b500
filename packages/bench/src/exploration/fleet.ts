/*
A fleet of gateway cores in simulated time for random exploration: a platform that each instance may be cut off from, digests
that arrive late or not at all, targets that answer, fail, start again cold and leave, and instances that are killed. It watches
what must hold whatever happens.
*/
import {
	CallKind, createCatalogue, type CallRoute, type Catalogue,
} from '@shallotloom/core/gateway/catalogue.ts';
import {createGateway, type Gateway} from '@shallotloom/core/gateway/gateway.ts';
import type {GatewayLimits} from '@shallotloom/core/gateway/limits.ts';
import {
	SendEnd, type GatewayInbound, type GatewayOutbound, type GatewayOutboundOf, type Registration,
} from '@shallotloom/core/gateway/ports.ts';
import {TargetStanding, type ListedTarget} from '@shallotloom/core/gateway/rows.ts';
import {runGatewayStep} from '@shallotloom/core/gateway/step.ts';
import {MemberState} from '@shallotloom/core/messages.ts';
import {Outcome} from '@shallotloom/core/refusal.ts';
import {coldPerSecond, createRules, type WatchedCall} from './rules.ts';

export type ExplorationOptions = {
	instances: number;
	/** Engines and as many application targets. */
	targets: number;
	seed: number;
	limits: Partial<GatewayLimits>;
};

export const explorationDefaults: ExplorationOptions = {
	instances: 3, targets: 3, seed: 1, limits: {},
};

const coldMs = 3000;

const tickMs = 20;

/** Time of a call until its final answer is due, and how much later it may come: a step and its tick. */
const timeoutMs = 2000;
const lateMs = 2 * tickMs;

/** Longest way of a digest, in milliseconds. */
const digestMs = 300;

const host = 'host';

/** Paths of the routes by kind of call. */
const paths = ['/look/', '/book/', '/chat/', '/plan/'] as const;

function routeOf(pathPrefix: string, options: Partial<CallRoute>): CallRoute {
	return {
		name: pathPrefix,
		host,
		pathPrefix,
		kind: CallKind.Repeatable,
		isResumable: false,
		weightedPools: [{pool: 'desk', weight: 1}],
		maxAttempts: 2,
		timeoutMs,
		objectiveMs: 400,
		priority: 1,
		needsKey: true,
		...options,
	};
}

function catalogueOf(version: number): Catalogue {
	const shares = [{pool: 'engines', weight: 1}];
	return createCatalogue({
		version,
		routes: [
			routeOf('/look/', {}),
			routeOf('/book/', {kind: CallKind.Once}),
			routeOf('/chat/', {kind: CallKind.Streamed, isResumable: true, weightedPools: shares}),
			routeOf('/plan/', {kind: CallKind.Streamed, maxAttempts: 1, weightedPools: shares}),
		],
		pools: [
			{
				name: 'desk', coldPerSecond, coldMs, maxConnections: 100, isEngine: false,
			},
			{
				name: 'engines', coldPerSecond, coldMs, maxConnections: 100, isEngine: true,
			},
		],
		keys: new Map([['a', {workspace: 'a', priority: undefined}], ['b', {workspace: 'b', priority: undefined}]]),
		limits: {
			headerBytes: 1024, bodyBytes: 1024, headersTimeoutMs: 1000, idleTimeoutMs: 1000,
		},
		tokensPerSecond: 0,
	});
}

type Node = {
	id: string;
	starts: number;
	isUp: boolean;
	isStoreCut: boolean;
	arePeersCut: boolean;
	gateway: Gateway;
	/** Highest version of the catalogue that was in force in this start. */
	version: number;
	/** Targets and failure domains out by the last lists that it was told. */
	listed: Map<string, ListedTarget>;
	domainsOut: Set<string>;
	/** Starts of targets to which it has connections. */
	connections: Map<string, string>;
};

type OpenCall = WatchedCall & {
	node: Node;
	path: string;
	arrivedAt: number;
	isClosed: boolean;
	/** The send that runs; undefined while none does. */
	sent: {send: number; target: string; pool: string; at: number} | undefined;
};

export type ExplorationFleet = {
	/** What was broken, first break first. */
	faults: string[];
	call(place: number, path: number): void;
	wait(ms: number): void;
	/** Ends one of the open sends. */
	end(place: number, how: number): void;
	leave(place: number): void;
	kill(place: number): void;
	restart(place: number): void;
	cutStore(place: number): void;
	cutPeers(place: number): void;
	heal(place: number): void;
	loseDigests(): void;
	restartTarget(place: number): void;
	drainTarget(place: number): void;
	removeTarget(place: number): void;
	toggleDomain(place: number): void;
	configure(back: number): void;
};

/** Ends of sends by which a target may have run the call. */
const runEnds = new Set([SendEnd.Complete, SendEnd.Failed, SendEnd.Broken]);

const sendEnds = Object.values(SendEnd);

/** Creates a fleet whose instances know each other, the targets and the catalogue. */
export function createExplorationFleet(options: Partial<ExplorationOptions> = {}): ExplorationFleet {
	const {instances, targets: targetCount, seed, limits} = {...explorationDefaults, ...options};
	const registrations = new Map<string, Registration>();
	const targets = new Map<string, ListedTarget>();
	const domainsOut = new Set<string>();
	const calls: OpenCall[] = [];
	const nodes: Node[] = [];
	let digests: Array<{at: number; from: Node; to: string; inbound: GatewayInbound}> = [];
	let now = 1000;
	let version = 1;
	let starts = 0;
	let nextCall = 0;

	const rules = createRules(() => now);
	const {fault} = rules;

	function createNode(id: string, start: number): Gateway {
		return createGateway({
			self: {
				id, incarnation: `${id}.${start}`, failureDomain: 'd0', callerAddress: id, peerUrl: id,
			},
			seed: seed + start,
			now,
			limits,
		});
	}

	function tell(node: Node, ...inbox: GatewayInbound[]) {
		if (node.isUp) {
			for (const item of runGatewayStep(node.gateway, now, inbox)) {
				carryOut(node, item);
			}
		}
	}

	function tellLists(node: Node) {
		if (node.isStoreCut || !node.isUp) {
			return;
		}

		node.listed = new Map(targets);
		node.domainsOut = new Set(domainsOut);
		tell(
			node,
			{kind: 'catalogue', catalogue: catalogueOf(version)},
			{kind: 'domainsOut', domains: [...domainsOut]},
			{kind: 'targets', targets: [...targets.values()]},
			{kind: 'registrations', registrations: [...registrations.values()]},
			{kind: 'platformReach', isReached: true},
		);
		const inForce = node.gateway.catalogue!.version;
		if (inForce < node.version) {
			fault(`${node.id} goes back from version ${node.version} to ${inForce}`);
		}

		node.version = inForce;
	}

	function tellAll() {
		for (const node of nodes) {
			tellLists(node);
		}
	}

	/** Tells all instances what the platform holds, and what follows. */
	function publish() {
		tellAll();
		settle();
	}

	const edges: {[Kind in GatewayOutbound['kind']]?: (node: Node, item: GatewayOutboundOf<Kind>) => void} = {
		send: onSend,
		cancel(node, {call}) {
			openCall(node, call).sent = undefined;
		},
		deliverFailure(node, {call}) {
			rules.onFinal(openCall(node, call));
		},
		refuse(node, {call: id, refusal}) {
			const call = openCall(node, id);
			rules.onFinal(call);
			if (refusal.outcome === Outcome.NotRun && (call.ran > 0 || call.sent)) {
				fault(`${id} is refused as not run, but ${call.ran} targets may have run it`);
			}
		},
		closed(node, {call: id}) {
			openCall(node, id).isClosed = true;
		},
		sendDigest(node, {to, digest}) {
			// The way takes between nothing and the most, by a fixed pattern.
			const way = ((now * 7) + (to.length * 13) + node.id.codePointAt(0)!) % digestMs;
			digests.push({
				at: now + way, from: node, to, inbound: {
					kind: 'digest', from: node.id, incarnation: node.gateway.self.incarnation, digest,
				},
			});
		},
		register(node, {registration}) {
			if (!node.isStoreCut) {
				registrations.set(node.id, registration);
				later.push(tellAll);
			}
		},
		remove(node, {instance, incarnation}) {
			if (!node.isStoreCut && registrations.get(instance)?.incarnation === incarnation) {
				registrations.delete(instance);
				later.push(tellAll);
			}
		},
	};
	/** What follows once the present step has been carried out. */
	let later: Array<() => void> = [];

	function settle() {
		while (later.length > 0) {
			const [first, ...rest] = later;
			later = rest;
			first!();
		}
	}

	function carryOut(node: Node, item: GatewayOutbound) {
		const edge = edges[item.kind] as ((node: Node, item: GatewayOutbound) => void) | undefined;
		edge?.(node, item);
	}

	function openCall(node: Node, id: string): OpenCall {
		return calls.find(call => call.id === id && call.node === node)!;
	}

	function onSend(node: Node, {call: id, send, target: targetId, pool}: GatewayOutboundOf<'send'>) {
		const call = openCall(node, id);
		const listed = node.listed.get(targetId);
		if (listed?.standing === TargetStanding.Leaving) {
			fault(`${node.id} sends ${id} to ${targetId}, which it knows to leave`);
		}

		if (listed && node.domainsOut.has(listed.failureDomain)) {
			fault(`${node.id} sends ${id} into ${listed.failureDomain}, which is out`);
		}

		if (call.path === '/book/' && call.ran > 0) {
			fault(`${id} may run at most once and is sent again`);
		}

		const target = targets.get(targetId);
		const known = node.connections.get(targetId);
		if (!target || (known !== undefined && known !== target.startId)) {
			// Its old connections are gone with the process before.
			node.connections.delete(targetId);
			later.push(() => {
				tell(node, {
					kind: 'sendEnded', call: id, send, end: SendEnd.NotSent, load: undefined, detail: '',
				});
			});
			return;
		}

		node.connections.set(targetId, target.startId);
		call.sent = {
			send, target: targetId, pool, at: now,
		};
		call.taken += 1;
		rules.onTaken(call, {pool, target: targetId, maxAttempts: node.gateway.calls.get(id)!.route.maxAttempts});
	}

	function nodeAt(place: number): Node {
		return nodes[place % nodes.length]!;
	}

	function targetAt(place: number): ListedTarget | undefined {
		return [...targets.values()][place % Math.max(1, targets.size)];
	}

	function endSend(call: OpenCall, end: SendEnd) {
		const {send, pool, at} = call.sent!;
		call.sent = undefined;
		if (end === SendEnd.NotSent) {
			rules.onNotTaken(call, {pool, at});
		}

		if (runEnds.has(end)) {
			call.ran += 1;
		} else {
			call.taken -= 1;
		}

		if (end === SendEnd.Complete) {
			rules.onFinal(call);
		}

		tell(call.node, {
			kind: 'sendEnded', call: call.id, send, end, load: {running: 1, waiting: 0, slots: 64}, detail: '',
		});
		settle();
	}

	function putTarget(id: string, fields: Partial<ListedTarget>) {
		starts += 1;
		targets.set(id, {...targets.get(id)!, revision: starts, ...fields});
		publish();
	}

	for (let index = 0; index < targetCount; index += 1) {
		for (const pool of ['desk', 'engines']) {
			const id = `${pool}-${index}`;
			targets.set(id, {
				id, pool, address: id, failureDomain: `d${index % 2}`, standing: TargetStanding.Ready, slots: 64, coldForMs: 0, startId: '0', revision: 0,
			});
		}
	}

	for (let index = 0; index < instances; index += 1) {
		const id = `n${index}`;
		nodes.push({
			id, starts: 0, isUp: true, isStoreCut: false, arePeersCut: false, gateway: createNode(id, 0), version: 0, listed: new Map(), domainsOut: new Set(), connections: new Map(),
		});
		registrations.set(id, {...nodes[index]!.gateway.self, state: MemberState.Active});
	}

	publish();

	function tick() {
		now += tickMs;
		const due = digests.filter(({at}) => at <= now);
		digests = digests.filter(({at}) => at > now);
		for (const {from, to, inbound} of due) {
			const node = nodes.find(({id}) => id === to);
			if (node && !node.arePeersCut && !from.arePeersCut) {
				tell(node, inbound);
			}
		}

		for (const node of nodes) {
			tell(node);
		}

		settle();
		for (const call of calls) {
			if (!call.isClosed && call.node.isUp && now > call.arrivedAt + timeoutMs + lateMs) {
				fault(`${call.id} is open ${now - call.arrivedAt} ms after it arrived`);
				call.isClosed = true;
			}
		}
	}

	return {
		faults: rules.faults,
		call(place, path) {
			const node = nodeAt(place);
			if (!node.isUp) {
				return;
			}

			nextCall += 1;
			const id = `c${nextCall}`;
			const pathPrefix = paths[path % paths.length]!;
			const isEngine = path % paths.length >= 2;
			calls.push({
				node, id, path: pathPrefix, arrivedAt: now, ran: 0, taken: 0, finals: 0, isClosed: false, sent: undefined,
			});
			rules.onArrival(isEngine ? 'engines' : 'desk');
			tell(node, {
				kind: 'callArrived',
				call: {
					id,
					host,
					path: `${pathPrefix}x`,
					key: 'a',
					remainingMs: timeoutMs,
					prompt: isEngine ? {inputTokens: 500, outputTokens: 50, segments: [{id: `p${path}`, tokens: 400}, {id, tokens: 100}]} : undefined,
				},
			});
			settle();
		},
		wait(ms) {
			for (let left = ms; left > 0; left -= tickMs) {
				tick();
			}
		},
		end(place, how) {
			const open = calls.filter(({sent, isClosed, node}) => sent && !isClosed && node.isUp);
			const call = open[place % Math.max(1, open.length)];
			if (!call) {
				return;
			}

			if (how % 3 === 0 && call.path === '/chat/') {
				tell(call.node, {kind: 'answerDelivered', call: call.id});
			}

			endSend(call, sendEnds[how % sendEnds.length]!);
		},
		leave(place) {
			const open = calls.filter(({isClosed, node}) => !isClosed && node.isUp);
			const call = open[place % Math.max(1, open.length)];
			if (call) {
				tell(call.node, {kind: 'callerGone', call: call.id});
				settle();
			}
		},
		kill(place) {
			nodeAt(place).isUp = false;
		},
		restart(place) {
			const node = nodeAt(place);
			const index = nodes.indexOf(node);
			// What the process before had open ends with it.
			node.isUp = false;
			nodes[index] = {
				...node, starts: node.starts + 1, isUp: true, gateway: createNode(node.id, node.starts + 1), version: 0, connections: new Map(),
			};
			tellLists(nodes[index]);
			settle();
		},
		cutStore(place) {
			const node = nodeAt(place);
			node.isStoreCut = true;
			tell(node, {kind: 'platformReach', isReached: false});
			settle();
		},
		cutPeers(place) {
			nodeAt(place).arePeersCut = true;
		},
		heal(place) {
			const node = nodeAt(place);
			node.isStoreCut = false;
			node.arePeersCut = false;
			tellLists(node);
			settle();
		},
		loseDigests() {
			digests = [];
		},
		restartTarget(place) {
			const target = targetAt(place);
			if (!target) {
				return;
			}

			rules.onTargetStart(target.id, coldMs);
			starts += 1;
			const start = String(starts);
			targets.set(target.id, {
				...target, startId: start, standing: TargetStanding.Ready, coldForMs: coldMs, revision: starts,
			});
			for (const call of calls) {
				if (call.sent?.target === target.id && !call.isClosed && call.node.isUp) {
					call.node.connections.delete(target.id);
					endSend(call, SendEnd.Broken);
				}
			}

			publish();
		},
		drainTarget(place) {
			const target = targetAt(place);
			if (target) {
				putTarget(target.id, {standing: TargetStanding.Leaving});
			}
		},
		removeTarget(place) {
			const target = targetAt(place);
			if (target && targets.size > 2) {
				targets.delete(target.id);
				publish();
			}
		},
		toggleDomain(place) {
			const domain = `d${place % 2}`;
			if (!domainsOut.delete(domain)) {
				domainsOut.add(domain);
			}

			publish();
		},
		configure(back) {
			// Now and then an older version comes late.
			version = Math.max(1, version + (back % 4 === 0 ? -1 : 2));
			publish();
		},
	};
}
