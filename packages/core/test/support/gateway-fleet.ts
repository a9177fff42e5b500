/*
Fleets of gateways for tests: they exchange digests and send calls to targets that name rate limits, or crash under a request that
comes again and again. Time advances in ticks.
*/
import {xoroshiro128plus} from 'pure-rand';
import {createGateway, type Gateway} from '../../src/gateway/gateway.ts';
import {
	SendEnd, type GatewayInbound, type GatewayOutbound, type GatewayOutboundOf,
} from '../../src/gateway/ports.ts';
import {isRateLimited} from '../../src/gateway/rate-limits.ts';
import type {QuarantineEntry} from '../../src/messages.ts';
import type {ListedTarget, Prompt} from '../../src/gateway/rows.ts';
import {runGatewayStep} from '../../src/gateway/step.ts';
import {randomFraction} from '../../src/world.ts';
import {
	createListedTarget, createPrompt, createRegistration, createTestCatalogue, host,
} from './gateways.ts';

export type GatewayFleetOptions = {
	instances: number;
	targets: number;
	failureDomains: number;
	seed: number;
	/** Rate limit that a target names at a time, in requests per second; undefined while it names none. */
	getRateLimit?: (target: string, now: number) => number | undefined;
	/** Calls per second that arrive at an instance at a time. */
	getCallRate: (instance: string, now: number) => number;
	harmful?: HarmfulRequest;
	/** Whether the platform's store answers; true by default. */
	isStoreUp?: (now: number) => boolean;
	/** Whether digests from an instance to another are lost. */
	isCut?: (from: string, to: string) => boolean;
};

export type Arrival = {target: string; instance: string; at: number};

/** Request that crashes each target that begins to run it, and that comes again under new ids. */
export type HarmfulRequest = {
	path: string;
	prompt: Prompt | undefined;
	/** Times of its arrivals at instances, in milliseconds. */
	arrivals: Array<{at: number; instance: string}>;
	/** Time from its arrival at a target to the crash. */
	crashDelayMs: number;
	/** Time until a new process is listed in place of a crashed one, and until that one is listed no longer. */
	downMs: number;
	listedMs: number;
};

export type GatewayFleet = {
	readonly now: number;
	readonly gateways: Map<string, Gateway>;
	/** Requests that reached targets. */
	readonly arrivals: Arrival[];
	/** Number of calls that were refused, other than the harmful ones. */
	readonly refusals: number;
	/** Times at which the harmful request reached targets, and at which these crashed. */
	readonly harmfulArrivals: number[];
	readonly crashes: number[];
	/** Runs the fleet until a time, in milliseconds. */
	runUntil(time: number): void;
	/** Replaces an instance by a new process of it, which knows nothing but what the store holds. */
	restart(id: string): void;
	/** Does so with all instances at once. */
	restartAll(): void;
};

const tickMs = 20;

/** Time from a send to the end of its answer, in milliseconds. */
const answerMs = 60;

const digestDelayMs = 2;
const storeDelayMs = 10;

const processorCores = 0.675;

/** Calls without a prompt, with one of its own, and with one of few long prompts that share all but the last segment. */
const callKinds = [
	() => ({path: '/look/x', prompt: undefined}),
	(fraction: number) => ({path: '/chat/x', prompt: createPrompt(`short-${fraction}`, 100)}),
	(fraction: number) => ({path: '/chat/x', prompt: createPrompt(`long-${Math.floor(fraction * 8)}`, 5000)}),
];

/** Creates a fleet whose instances know each other, and whose targets are half engines and half services. */
export function createGatewayFleet({
	instances, targets: targetCount, failureDomains, seed, getRateLimit = () => undefined, getCallRate, harmful, isStoreUp = () => true, isCut = () => false,
}: GatewayFleetOptions): GatewayFleet {
	let now = 0;
	let callCount = 0;
	let refusals = 0;
	const random = {randomGenerator: xoroshiro128plus(seed)};
	const arrivals: Arrival[] = [];
	const harmfulArrivals: number[] = [];
	const crashes: number[] = [];
	const harmfulCalls = new Set<string>();
	/** Messages to instances; `target` is that of an answer, and `call` its call. */
	let pending: Array<{at: number; to: string; incarnation: string; inbox: GatewayInbound[]; target?: string; call?: {id: string; send: number}}> = [];
	const storedEntries = new Map<string, {entry: QuarantineEntry; storedAt: number}>();
	/** Processes that have ended, by target. */
	const ended = new Set<string>();
	let due: Array<{at: number; run: () => void}> = [];
	let targets: ListedTarget[] = Array.from({length: targetCount}, (_, index) => createListedTarget(`t${index}`, {
		pool: index % 2 === 0 ? 'engines' : 'desk', failureDomain: `d${index % failureDomains}`, slots: 64, address: `t${index}`,
	}));
	let registrations = Array.from({length: instances}, (_, index) => createRegistration(`m${index}`, {failureDomain: `d${index % failureDomains}`, capacity: processorCores}));
	const gateways = new Map<string, Gateway>();
	/** Calls that have arrived in fractions, by instance. */
	const dueCalls = new Map<string, number>();

	function runStep(gateway: Gateway, ...inbox: GatewayInbound[]) {
		for (const item of runGatewayStep(gateway, now, inbox)) {
			handleOutbound(gateway, item);
		}
	}

	/** Handlers of the outbound items that matter here; all others are ignored. */
	const outboundHandlers: {[Kind in GatewayOutbound['kind']]?: (gateway: Gateway, item: GatewayOutboundOf<Kind>) => void} = {
		send: answer,
		refuse(_gateway, {call}) {
			refusals += harmfulCalls.has(call) ? 0 : 1;
		},
		storeQuarantine(gateway, {entry}) {
			if (isStoreUp(now)) {
				storedEntries.set(entry.suspect, {entry, storedAt: now});
			}

			answerWrite(gateway, entry.suspect, false);
		},
		removeQuarantine(gateway, {suspect}) {
			if (isStoreUp(now)) {
				storedEntries.delete(suspect);
			}

			answerWrite(gateway, suspect, true);
		},
		cancel(_gateway, {call}) {
			pending = pending.filter(message => message.call?.id !== call);
		},
		sendDigest({self}, {to, digest}) {
			if (!isCut(self.id, to)) {
				pending.push({
					at: now + digestDelayMs, to, incarnation: gateways.get(to)!.self.incarnation, inbox: [{
						kind: 'digest', from: self.id, incarnation: self.incarnation, digest,
					}],
				});
			}
		},
	};

	function answerWrite({self}: Gateway, suspect: string, isRemoval: boolean) {
		pending.push({
			at: now + storeDelayMs, to: self.id, incarnation: self.incarnation, inbox: [{
				kind: 'quarantineWritten', suspect, isRemoval, isSuccessful: isStoreUp(now),
			}],
		});
	}

	/** The quarantines as a process reads them now. */
	function readStoredEntries(): QuarantineEntry[] {
		return [...storedEntries.values()].map(({entry, storedAt}) => {
			const elapsedMs = now - storedAt;
			return {...entry, ageMs: entry.ageMs + elapsedMs, remainingMs: entry.remainingMs - elapsedMs};
		});
	}

	function handleOutbound(gateway: Gateway, item: GatewayOutbound) {
		const handler = outboundHandlers[item.kind] as ((gateway: Gateway, item: GatewayOutbound) => void) | undefined;
		handler?.(gateway, item);
	}

	function answer({self, targets: known}: Gateway, {call, send, target, startId}: GatewayOutboundOf<'send'>) {
		if (ended.has(target)) {
			pending.push({
				at: now + 1, to: self.id, incarnation: self.incarnation, inbox: [createSendEnd(call, send, SendEnd.NotSent)],
			});
			return;
		}

		arrivals.push({target, instance: self.id, at: now});
		if (harmfulCalls.has(call)) {
			harmfulArrivals.push(now);
			due.push({
				at: now + harmful!.crashDelayMs, run() {
					crash(target);
				},
			});
		}

		const requestsPerSecond = getRateLimit(target, now);
		const notices: GatewayInbound[] = requestsPerSecond !== undefined || isRateLimited(known.get(target)!)
			? [{
				kind: 'targetRateLimit', call, target, startId, requestsPerSecond,
			}]
			: [];
		pending.push({
			at: now + answerMs,
			to: self.id,
			incarnation: self.incarnation,
			target,
			call: {id: call, send},
			inbox: [
				...notices,
				{
					kind: 'answerStarted', call, send, load: undefined,
				},
				createSendEnd(call, send, SendEnd.Complete),
			],
		});
	}

	/** Ends a target's process: its answers break, and another one takes its place later. */
	function crash(target: string) {
		const listed = targets.find(({id}) => id === target);
		if (ended.has(target) || !listed) {
			return;
		}

		ended.add(target);
		crashes.push(now);
		for (const message of pending.filter(({target: of}) => of === target)) {
			Object.assign(message, {at: now + 1, inbox: [createSendEnd(message.call!.id, message.call!.send, SendEnd.Broken)]});
		}

		due.push({
			at: now + harmful!.listedMs, run() {
				targets = targets.filter(({id}) => id !== target);
				publishTargets();
			},
		}, {
			at: now + harmful!.downMs, run() {
				targets = [...targets, {...listed, id: `${target}'`, startId: String(now)}];
				publishTargets();
			},
		});
	}

	function publishTargets() {
		for (const gateway of gateways.values()) {
			runStep(gateway, {kind: 'targets', targets});
		}
	}

	function startHarmfulCalls() {
		for (const {instance} of harmful?.arrivals.filter(({at}) => at > now - tickMs && at <= now) ?? []) {
			callCount += 1;
			harmfulCalls.add(`c${callCount}`);
			runStep(gateways.get(instance)!, {
				kind: 'callArrived',
				call: {
					id: `c${callCount}`, requestId: `c${callCount}`, resumption: undefined, host, key: 'key-a', remainingMs: 1000, path: harmful!.path, prompt: harmful!.prompt, fingerprint: 'harmful',
				},
			});
		}
	}

	function start(id: string, incarnation: string) {
		registrations = registrations.map(registration => registration.id === id ? {...registration, incarnation} : registration);
		const self = registrations.find(registration => registration.id === id)!;
		gateways.set(id, createGateway({self, seed: seed + gateways.size, now}));
		dueCalls.set(id, randomFraction(random));
		const platformData: GatewayInbound[] = [
			{kind: 'catalogue', catalogue: createTestCatalogue()},
			{kind: 'targets', targets},
			{kind: 'domainsOut', domains: []},
			{kind: 'storedQuarantines', entries: readStoredEntries()},
		];
		runStep(gateways.get(id)!, ...platformData);
	}

	function publishRegistrations() {
		for (const gateway of gateways.values()) {
			runStep(gateway, {kind: 'registrations', registrations});
		}
	}

	function startCalls(gateway: Gateway) {
		const {id} = gateway.self;
		let count = dueCalls.get(id)! + (getCallRate(id, now) * tickMs / 1000);
		for (; count >= 1; count -= 1) {
			callCount += 1;
			runStep(gateway, {
				kind: 'callArrived',
				call: {
					id: `c${callCount}`, requestId: `c${callCount}`, resumption: undefined, host, key: 'key-a', remainingMs: 1000, fingerprint: `f${callCount}`, ...callKinds[callCount % callKinds.length]!(randomFraction(random)),
				},
			});
		}

		dueCalls.set(id, count);
	}

	function deliver() {
		const messages = pending.filter(({at}) => at <= now);
		pending = pending.filter(({at}) => at > now);
		for (const message of messages) {
			const gateway = gateways.get(message.to)!;
			if (gateway.self.incarnation === message.incarnation) {
				runStep(gateway, ...message.inbox);
			}
		}
	}

	function runDue() {
		const tasks = due.filter(({at}) => at <= now);
		due = due.filter(({at}) => at > now);
		for (const {run} of tasks) {
			run();
		}
	}

	function tick() {
		now += tickMs;
		runDue();
		deliver();
		startHarmfulCalls();
		for (const gateway of gateways.values()) {
			runStep(gateway);
			startCalls(gateway);
		}
	}

	for (const {id, incarnation} of registrations) {
		start(id, incarnation);
	}

	publishRegistrations();
	return {
		gateways,
		arrivals,
		harmfulArrivals,
		crashes,
		get now() {
			return now;
		},
		get refusals() {
			return refusals;
		},
		runUntil(time) {
			while (now < time) {
				tick();
			}
		},
		restart(id) {
			start(id, `${gateways.get(id)!.self.incarnation}-next`);
			publishRegistrations();
		},
		restartAll() {
			for (const [id, {self}] of gateways) {
				start(id, `${self.incarnation}-next`);
			}

			publishRegistrations();
		},
	};
}

function createSendEnd(call: string, send: number, end: SendEnd): GatewayInbound {
	return {
		kind: 'sendEnded', call, send, end, load: undefined, detail: '',
	};
}

/** Largest number of requests that reached a target within a sliding window that starts at or after a time. */
export function countMaxArrivals(arrivals: Arrival[], target: string, from: number, windowMs: number): number {
	const times = arrivals.filter(arrival => arrival.target === target && arrival.at >= from).map(({at}) => at);
	let first = 0;
	let most = 0;
	for (const [index, at] of times.entries()) {
		while (times[first]! <= at - windowMs) {
			first += 1;
		}

		most = Math.max(most, index - first + 1);
	}

	return most;
}
