/*
Runs one world for some seconds of simulated time with the periods and request rate of a router in service, and measures the real
time of each kind of step: ticks, digests, reports, and tickets and requests. It does no I/O.
*/
import {AttemptEnd, type PermitGrant} from '@shallotloom/core/messages.ts';
import type {
	CallerRequest, Inbound, Outbound, OutboundOf, StoreResult,
} from '@shallotloom/core/ports.ts';
import type {Permit} from '@shallotloom/core/rows.ts';
import {step} from '@shallotloom/core/step.ts';
import type {World} from '@shallotloom/core/world.ts';
import {createRandom} from '../load/random.ts';
import {createLoadReports, type Fleet} from './fleet.ts';

/** Period of the router's tick, in milliseconds. */
const tickMs = 50;

/** Ticks between two load polls, and between two progress reports. */
const ticksPerReport = 10;

/** Requests per second that one router receives in a fleet of the required size. */
const requestsPerSecond = 46;

/** Time until the deadline of each request, in milliseconds. */
const deadlineMs = 60_000;

export enum StepKind {
	Tick = 'tick',
	/** A digest arrives from another router. */
	Digest = 'digest',
	/** A load report of a target, or a progress report of another router's permits, arrives. */
	Report = 'report',
	/** A caller's request, or another router's ticket, permit grant or permit end, arrives; or replies to what a step sent. */
	Request = 'request',
}

/** Number of steps, and the real time that they took in all, in milliseconds. */
export type StepTime = {count: number; ms: number};

export type WorldRunOptions = {
	seconds: number;
	seed: number;
};

export type WorldRun = {
	times: Record<StepKind, StepTime>;
	/** Simulated time at the end of the run, in milliseconds. */
	now: number;
};

/** Runs the world for `seconds` of simulated time. */
export function runWorld(fleet: Fleet, {seconds, seed}: WorldRunOptions): WorldRun {
	const {world} = fleet;
	const times: WorldRun['times'] = {
		[StepKind.Tick]: {count: 0, ms: 0}, [StepKind.Digest]: {count: 0, ms: 0}, [StepKind.Report]: {count: 0, ms: 0}, [StepKind.Request]: {count: 0, ms: 0},
	};
	const random = createRandom(seed, 1);
	let {now} = world;
	let round = world.sentDigests.sequence;
	let requests = 0;

	function runTimedStep(kind: StepKind, inbox: Inbound[]) {
		const before = performance.now();
		const outbox = step(world, now, inbox);
		times[kind].ms += performance.now() - before;
		times[kind].count += 1;
		const replies = outbox.flatMap(item => createReplies(item, fleet));
		if (replies.length > 0) {
			runTimedStep(StepKind.Request, replies);
		}
	}

	function deliverDigests(from: number, count: number) {
		for (const peer of fleet.peers.slice(from, from + count)) {
			const message = fleet.createDigest(peer, round);
			runTimedStep(StepKind.Digest, [{
				kind: 'peerMessage', from: peer, incarnation: world.members.get(peer)!.incarnation, message,
			}]);
		}
	}

	const ticksPerDigest = world.limits.digestMs / tickMs;
	const digestsPerTick = Math.ceil(fleet.peers.length / ticksPerDigest);
	for (let tick = 0; tick < seconds * 1000 / tickMs; tick += 1) {
		now += tickMs;
		round += tick % ticksPerDigest === 0 ? 1 : 0;
		runTimedStep(StepKind.Tick, []);
		deliverDigests((tick % ticksPerDigest) * digestsPerTick, digestsPerTick);
		if (tick % ticksPerReport === 0) {
			for (const inbound of [...createLoadReports(world), ...createProgressReports(world)]) {
				runTimedStep(StepKind.Report, [inbound]);
			}
		}

		for (; requests < (tick + 1) * requestsPerSecond * tickMs / 1000; requests += 1) {
			const permits = [...world.permits.rows()];
			const permit = permits[Math.trunc(random.uniform() * permits.length)];
			if (permit) {
				runTimedStep(StepKind.Request, [createSimilarOffer(permit, requests)]);
				runTimedStep(StepKind.Request, [createPermitReturn(permit)]);
			}

			const pool = fleet.pools[Math.trunc(random.uniform() * fleet.pools.length)]!;
			runTimedStep(StepKind.Request, [{
				kind: 'callerRequest',
				request: createRequest(`${world.self.id}-c${requests}`, fleet.pickWorkspace(pool, random), pool, now + deadlineMs),
			}]);
		}
	}

	return {times, now};
}

/** Creates one progress message from each origin, with all its permits. */
function createProgressReports({permits}: World): Inbound[] {
	const entries = new Map<string, Array<{ticket: string; outputTokens: number}>>();
	for (const {ticket, origin, outputTokens} of permits.rows()) {
		entries.set(origin, [...entries.get(origin) ?? [], {ticket, outputTokens: outputTokens + 8}]);
	}

	return [...entries].map(([from, progress]) => ({
		kind: 'peerMessage', from, incarnation: '', message: {kind: 'permitProgress', entries: progress},
	}));
}

function createRequest(id: string, workspace: string, pool: string, deadline: number): CallerRequest {
	return {
		id, workspace, pool, deadline, inputTokens: 100, costHint: 200, prefixHash: 0, once: false, idempotencyKey: '',
	};
}

/** Creates the offer of a ticket with the same workspace, pool and origin, to replace a permit that ends. */
function createSimilarOffer({origin, workspace, pool}: Permit, number: number): Inbound {
	return {
		kind: 'peerMessage',
		from: origin,
		incarnation: '',
		message: {
			kind: 'ticketOffer', ticket: `${origin}-n${number}`, workspace, pool, inputTokens: 100, prefixHash: 0, remainingMs: deadlineMs, waitedMs: 0, excluded: [],
		},
	};
}

function createPermitReturn({ticket, target, origin}: {ticket: string; target: string; origin: string}): Inbound {
	return {
		kind: 'peerMessage',
		from: origin,
		incarnation: '',
		message: {
			kind: 'permitReturn', ticket, target, epoch: 1, end: AttemptEnd.Whole, outputTokens: 216, firstByteMs: 100, betweenTokensMs: 58,
		},
	};
}

/** Creates the immediate replies to an outbound item: grants for offered tickets, ends of started answers, and store replies. */
function createReplies(item: Outbound, fleet: Fleet): Inbound[] {
	if (item.kind === 'store') {
		const {operation, action} = item;
		const result: StoreResult = action.kind === 'put' ? {kind: 'ok', version: action.ifVersion + 1, value: action.value} : {kind: 'unavailable'};
		return [{kind: 'storeReply', operation, result}];
	}

	if (item.kind === 'startAnswer') {
		return [{
			kind: 'answerEnded', request: item.request, target: item.target, end: AttemptEnd.Whole, outputTokens: 216, delivered: true, firstByteMs: 100, betweenTokensMs: 58,
		}];
	}

	return item.kind === 'send' ? createGrant(item, fleet) : [];
}

function createGrant({to, message}: OutboundOf<'send'>, {world, targetsByOwner}: Fleet): Inbound[] {
	if (message.kind !== 'ticketOffer') {
		return [];
	}

	const target = targetsByOwner.get(to)?.find(id => world.configuration.targets.get(id)?.pools.includes(message.pool));
	const grant: PermitGrant = {
		kind: 'permitGrant', ticket: message.ticket, target: target ?? '', epoch: 1, startWithinMs: 1000,
	};
	return target === undefined
		? []
		: [{
			kind: 'peerMessage', from: to, incarnation: '', message: grant,
		}];
}
