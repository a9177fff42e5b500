/*
Drives one world through some seconds of its own time at the cadence of a running router, and takes the time of each kind
of step: ticks, digests that arrive, tickets of others, and requests of its own callers. Nothing leaves the process.
*/
import {AttemptEnd, type PermitGrant} from '@shallotloom/core/messages.ts';
import type {
	CallerRequest, Inbound, Outbound, OutboundOf, StoreResult,
} from '@shallotloom/core/ports.ts';
import type {Permit} from '@shallotloom/core/rows.ts';
import {step} from '@shallotloom/core/step.ts';
import type {World} from '@shallotloom/core/world.ts';
import {createRandom} from '../load/random.ts';
import {loadReports, type Fleet} from './fleet.ts';

/** Period of the router's tick, in milliseconds. */
const tickMs = 50;

/** Ticks between two load polls, and between two progress reports. */
const ticksPerReport = 10;

/** Requests a second that one node takes at the size of the letter. */
const requestsPerSecond = 46;

/** Time until the deadline of each request, in milliseconds. */
const deadlineMs = 60_000;

export enum StepKind {
	Tick = 'tick',
	Digest = 'digest',
	/** A load report, or holders' progress of permits, arrives. */
	Report = 'report',
	/** A ticket, a grant or a permit's end arrives from another router, or a step follows one of them. */
	Request = 'request',
}

export type StepTime = {count: number; ms: number};

export type DriveOptions = {
	seconds: number;
	seed: number;
};

export type Drive = {
	times: Record<StepKind, StepTime>;
	/** Time of the world when the drive ended, in milliseconds. */
	now: number;
};

/** Runs the world for `seconds` of its own time. */
export function drive(fleet: Fleet, {seconds, seed}: DriveOptions): Drive {
	const {world} = fleet;
	const times: Drive['times'] = {
		[StepKind.Tick]: {count: 0, ms: 0}, [StepKind.Digest]: {count: 0, ms: 0}, [StepKind.Report]: {count: 0, ms: 0}, [StepKind.Request]: {count: 0, ms: 0},
	};
	const random = createRandom(seed, 1);
	let {now} = world;
	let round = world.sentDigests.sequence;
	let requests = 0;

	function take(kind: StepKind, inbox: Inbound[]) {
		const before = performance.now();
		const outbox = step(world, now, inbox);
		times[kind].ms += performance.now() - before;
		times[kind].count += 1;
		const replies = outbox.flatMap(item => replyTo(item, fleet));
		if (replies.length > 0) {
			take(StepKind.Request, replies);
		}
	}

	function takeDigests(from: number, count: number) {
		for (const peer of fleet.peers.slice(from, from + count)) {
			const message = fleet.digestOf(peer, round);
			take(StepKind.Digest, [{
				kind: 'peerMessage', from: peer, incarnation: world.members.get(peer)!.incarnation, message,
			}]);
		}
	}

	const ticksPerDigest = world.limits.digestMs / tickMs;
	const perTick = Math.ceil(fleet.peers.length / ticksPerDigest);
	for (let tick = 0; tick < seconds * 1000 / tickMs; tick += 1) {
		now += tickMs;
		round += tick % ticksPerDigest === 0 ? 1 : 0;
		take(StepKind.Tick, []);
		takeDigests((tick % ticksPerDigest) * perTick, perTick);
		if (tick % ticksPerReport === 0) {
			for (const inbound of [...loadReports(world), ...progressOf(world)]) {
				take(StepKind.Report, [inbound]);
			}
		}

		for (; requests < (tick + 1) * requestsPerSecond * tickMs / 1000; requests += 1) {
			const permits = [...world.permits.rows()];
			const permit = permits[Math.trunc(random.uniform() * permits.length)];
			if (permit) {
				take(StepKind.Request, [offerLike(permit, requests)]);
				take(StepKind.Request, [endOf(permit)]);
			}

			const pool = fleet.pools[Math.trunc(random.uniform() * fleet.pools.length)]!;
			take(StepKind.Request, [{
				kind: 'callerRequest',
				request: requestOf(`${world.self.id}-c${requests}`, fleet.pickWorkspace(pool, random), pool, now + deadlineMs),
			}]);
		}
	}

	return {times, now};
}

/** One message from each holder, with all its permits. */
function progressOf({permits}: World): Inbound[] {
	const entries = new Map<string, Array<{ticket: string; outputTokens: number}>>();
	for (const {ticket, origin, outputTokens} of permits.rows()) {
		entries.set(origin, [...entries.get(origin) ?? [], {ticket, outputTokens: outputTokens + 8}]);
	}

	return [...entries].map(([from, told]) => ({
		kind: 'peerMessage', from, incarnation: '', message: {kind: 'permitProgress', entries: told},
	}));
}

function requestOf(id: string, workspace: string, pool: string, deadline: number): CallerRequest {
	return {
		id, workspace, pool, deadline, inputTokens: 100, costHint: 200, prefixHash: 0, once: false, idempotencyKey: '',
	};
}

/** Another request of the same workspace and holder, which takes the place of one that ends. */
function offerLike({origin, workspace, pool}: Permit, number: number): Inbound {
	return {
		kind: 'peerMessage',
		from: origin,
		incarnation: '',
		message: {
			kind: 'ticketOffer', ticket: `${origin}-n${number}`, workspace, pool, inputTokens: 100, prefixHash: 0, remainingMs: deadlineMs, waitedMs: 0, excluded: [],
		},
	};
}

function endOf({ticket, target, origin}: {ticket: string; target: string; origin: string}): Inbound {
	return {
		kind: 'peerMessage',
		from: origin,
		incarnation: '',
		message: {
			kind: 'permitReturn', ticket, target, epoch: 1, end: AttemptEnd.Whole, outputTokens: 216, firstByteMs: 100, betweenTokensMs: 58,
		},
	};
}

/** What comes back at once: grants for tickets that were offered, ends of answers that started, and store replies. */
function replyTo(item: Outbound, fleet: Fleet): Inbound[] {
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

	return item.kind === 'send' ? grantOf(item, fleet) : [];
}

function grantOf({to, message}: OutboundOf<'send'>, {world, owned}: Fleet): Inbound[] {
	if (message.kind !== 'ticketOffer') {
		return [];
	}

	const target = owned.get(to)?.find(id => world.configuration.targets.get(id)?.pools.includes(message.pool));
	const grant: PermitGrant = {
		kind: 'permitGrant', ticket: message.ticket, target: target ?? '', epoch: 1, startWithinMs: 1000,
	};
	return target === undefined
		? []
		: [{
			kind: 'peerMessage', from: to, incarnation: '', message: grant,
		}];
}
