/*
Calls that wait for a place at a target. The queue of a pool is short: it holds no more than what is expected to start within
the callers' patience. Beyond that a call of the workspace that has used most is refused at once and told when to come
back, so a flood of one workspace doesn't push out the others.
*/
import {LogPart} from '../ports.ts';
import {
	Outcome, RefusalKind, type Refusal,
} from '../refusal.ts';
import {second} from '../units.ts';
import {randomFraction} from '../world.ts';
import {note, type Gateway} from './gateway.ts';
import {
	choose, countStarted, createRound, isAnyFree, soundTargets, type Choice,
} from './placement.ts';
import {startRate} from './retries.ts';
import {CallState, type Call} from './rows.ts';
import {hasItsShare} from './shares.ts';
import {usedBy} from './usage.ts';

/** Calls that may always wait: a burst of a few callers is no overload. */
const leastQueue = 4;

/** Part of the time to come back by which callers are spread. */
const spread = 0.5;

function queueOf({waiting}: Gateway, pool: string): Set<string> {
	const known = waiting.get(pool);
	if (known) {
		return known;
	}

	const queue = new Set<string>();
	waiting.set(pool, queue);
	return queue;
}

function callsOf(gateway: Gateway, pool: string): Call[] {
	return [...queueOf(gateway, pool)].map(id => gateway.calls.get(id)!);
}

/** Number of calls that wait for a pool. */
export function waitingCount({waiting}: Gateway, pool: string): number {
	return waiting.get(pool)?.size ?? 0;
}

/** When a call that finds no place is to come back: once the queue has drained, spread over callers. */
export function comeBackAfter(gateway: Gateway, pool: string): number {
	const startsPerSecond = startRate(gateway, pool);
	const drainMs = startsPerSecond > 0 ? waitingCount(gateway, pool) * second / startsPerSecond : 0;
	const base = Math.max(gateway.limits.retryAfterMs, drainMs);
	return Math.round(base * (1 + (spread * randomFraction(gateway))));
}

/** Refusal of a call for which no target has a place; it has not run. */
export function noPlace(gateway: Gateway, call: Pick<Call, 'pool'>): Refusal {
	const isServed = soundTargets(gateway, call.pool).length > 0;
	return {
		kind: RefusalKind.NoCapacity,
		outcome: Outcome.NotRun,
		detail: call.pool,
		retryAfterMs: isServed ? comeBackAfter(gateway, call.pool) : gateway.limits.noTargetRetryMs,
	};
}

/** Puts a call into the queue of its pool. */
export function enterWaiting(gateway: Gateway, call: Call) {
	call.state = CallState.Waiting;
	queueOf(gateway, call.pool).add(call.id);
}

export function leaveWaiting({waiting}: Gateway, call: Call) {
	waiting.get(call.pool)?.delete(call.id);
}

/** Most calls that may wait: those that are expected to start within the patience of the newest. */
function queueLimit(gateway: Gateway, pool: string, call: Call): number {
	const patienceMs = call.patienceUntil - gateway.now;
	return Math.max(leastQueue, Math.floor(startRate(gateway, pool) * patienceMs / second));
}

/** The waiting call that gives way: of the workspace that has used and asks for most the least urgent, and of those the newest. */
function victimOf(gateway: Gateway, calls: Call[]): Call {
	const asked = new Map<string, number>();
	for (const {workspace, cost} of calls) {
		asked.set(workspace, (asked.get(workspace) ?? 0) + cost);
	}

	let victim = calls[0]!;
	let most = -1;
	for (const call of calls) {
		const weight = asked.get(call.workspace)! + usedBy(gateway, call.pool, call.workspace);
		if (weight > most || (weight === most && call.priority >= victim.priority)) {
			victim = call;
			most = weight;
		}
	}

	return victim;
}

/**
Keeps a queue within its limit after a call was added.

@returns The call that has to be refused; undefined when all may wait.
*/
export function overflowOf(gateway: Gateway, added: Call): Call | undefined {
	if (waitingCount(gateway, added.pool) <= queueLimit(gateway, added.pool, added)) {
		return undefined;
	}

	const victim = victimOf(gateway, callsOf(gateway, added.pool));
	note(gateway, {
		part: LogPart.Fair,
		level: 'debug',
		text: 'queue full',
		request: victim.id,
		fields: {
			pool: victim.pool, workspace: victim.workspace, used: Math.round(usedBy(gateway, victim.pool, victim.workspace)), waiting: waitingCount(gateway, victim.pool),
		},
	});
	return victim;
}

/** Waiting calls of one workspace, in order of service. */
type Line = {workspace: string; use: number; calls: Call[]};

/** Rank orders the calls of one workspace only: a workspace of low rank would starve otherwise. */
function linesOf(gateway: Gateway, pool: string, calls: Call[]): Line[] {
	const lines = new Map<string, Line>();
	for (const call of calls) {
		const line = lines.get(call.workspace);
		if (line) {
			line.calls.push(call);
		} else {
			lines.set(call.workspace, {workspace: call.workspace, use: usedBy(gateway, pool, call.workspace), calls: [call]});
		}
	}

	for (const line of lines.values()) {
		line.calls.sort((a, b) => a.priority - b.priority);
	}

	return [...lines.values()];
}

/** The line to be served next: of the workspace with the least use, then of the more urgent call. */
function nextLine(lines: Line[]): Line | undefined {
	let next: Line | undefined;
	for (const line of lines) {
		if (line.calls.length > 0 && (!next || line.use < next.use || (line.use === next.use && line.calls[0]!.priority < next.calls[0]!.priority))) {
			next = line;
		}
	}

	return next;
}

/**
Starts the waiting calls of a pool that find a place, in order of service: least use of the pool by the workspace, then rank,
then age. A call whose targets are full doesn't hold up those that may go elsewhere.
*/
export function startWaiting(gateway: Gateway, pool: string, start: (call: Call, choice: Choice) => void) {
	if (waitingCount(gateway, pool) === 0) {
		return;
	}

	const calls = callsOf(gateway, pool);
	const round = createRound(gateway, pool, calls);
	const lines = linesOf(gateway, pool, calls);
	for (let line = nextLine(lines); line; line = nextLine(lines)) {
		if (!isAnyFree(gateway, round.targets)) {
			gateway.fullAt.set(pool, gateway.now);
			return;
		}

		if (hasItsShare(gateway, line.calls[0]!)) {
			line.calls = [];
			continue;
		}

		const call = line.calls.shift()!;
		const choice = choose(gateway, call, round);
		if (choice) {
			leaveWaiting(gateway, call);
			countStarted(round, call);
			start(call, choice);
			line.use = usedBy(gateway, pool, line.workspace);
		}
	}
}
