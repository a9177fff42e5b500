/*
Queues of calls that wait for a slot at a target. The queue of a pool is short: it holds no more calls than are
expected to start within the queue timeout. When it overflows, a call of the workspace with the highest usage is
evicted: it is refused at once with a retry-after delay. So a flood of one workspace doesn't displace the calls of
others.
*/
import {LogPart} from '../ports.ts';
import {
	Outcome, RefusalKind, type Refusal,
} from '../refusal.ts';
import {second} from '../units.ts';
import {randomFraction} from '../world.ts';
import {addLogLine, type Gateway} from './gateway.ts';
import {
	chooseTarget, removeFromRound, createPlacementRound, hasAvailableTarget, getHealthyTargets, type Choice,
} from './placement.ts';
import {sumRateShares} from './rate-shares.ts';
import {computeStartRate} from './retries.ts';
import {CallState, TargetStanding, type Call} from './rows.ts';
import {isAboveFairLevel} from './shares.ts';
import {isPaused} from './target-notices.ts';
import {getServedTokens} from './usage.ts';

/** Minimum queue limit, in calls: a burst of a few callers is no overload. */
const minQueueLimit = 4;

/** Maximum jitter added to the retry-after delay, as a fraction of it, so that refused callers don't all return at once. */
const maxJitterFraction = 0.5;

function getOrCreateQueue({queues}: Gateway, pool: string): Set<string> {
	const known = queues.get(pool);
	if (known) {
		return known;
	}

	const queue = new Set<string>();
	queues.set(pool, queue);
	return queue;
}

function getQueuedCalls(gateway: Gateway, pool: string): Call[] {
	return [...getOrCreateQueue(gateway, pool)].map(id => gateway.calls.get(id)!);
}

/** Number of calls in the queue of a pool. */
export function getQueueLength({queues}: Gateway, pool: string): number {
	return queues.get(pool)?.size ?? 0;
}

/**
Computes the retry-after delay of a refused call, with jitter: until the queue has drained, but at least
`minRetryAfterMs`.
*/
export function computeRetryAfterMs(gateway: Gateway, pool: string): number {
	const startsPerSecond = computeStartRate(gateway, pool);
	const drainMs = startsPerSecond > 0 ? getQueueLength(gateway, pool) * second / startsPerSecond : 0;
	const base = Math.max(gateway.limits.minRetryAfterMs, drainMs);
	return Math.round(base * (1 + (maxJitterFraction * randomFraction(gateway))));
}

/** Creates the refusal of a call for which no target has a free slot; it has not run. */
export function createNoCapacityRefusal(gateway: Gateway, call: Pick<Call, 'pool'>): Refusal {
	const isServed = getHealthyTargets(gateway, call.pool).length > 0;
	return {
		kind: RefusalKind.NoCapacity,
		outcome: Outcome.NotRun,
		detail: call.pool,
		retryAfterMs: isServed ? computeRetryAfterMs(gateway, call.pool) : computeNoTargetRetryAfterMs(gateway, call.pool),
	};
}

/** Computes the retry-after delay of a call for whose pool no target is available: until the first pause of one ends. */
function computeNoTargetRetryAfterMs(gateway: Gateway, pool: string): number {
	const {limits, now, targets} = gateway;
	const pausesMs = [...targets.group(pool)]
		.filter(target => target.standing === TargetStanding.Ready && isPaused(gateway, target))
		.map(({pausedUntil}) => pausedUntil - now);
	return Math.max(limits.minRetryAfterMs, Math.ceil(Math.min(limits.noTargetRetryAfterMs, ...pausesMs)));
}

/** Puts a call into the queue of its pool. */
export function enqueue(gateway: Gateway, call: Call) {
	call.state = CallState.Waiting;
	getOrCreateQueue(gateway, call.pool).add(call.id);
}

export function removeFromQueue({queues}: Gateway, call: Call) {
	queues.get(call.pool)?.delete(call.id);
}

/** Computes how many calls may wait: as many as are expected to start within the queue timeout of the newest. */
function computeQueueLimit(gateway: Gateway, pool: string, call: Call): number {
	const queueTimeoutMs = call.queueTimeoutAt - gateway.now;
	// The recent rate may date from before the targets named their limits.
	const startRate = Math.min(computeStartRate(gateway, pool), sumRateShares(getHealthyTargets(gateway, pool)));
	return Math.max(minQueueLimit, Math.floor(startRate * queueTimeoutMs / second));
}

/**
Selects the call to evict: from the workspace with the highest sum of served tokens and cost of its queued calls, the least
urgent call, or of several the newest.
*/
function selectEvictionCandidate(gateway: Gateway, calls: Call[]): Call {
	const waitingCosts = new Map<string, number>();
	for (const {workspace, cost} of calls) {
		waitingCosts.set(workspace, (waitingCosts.get(workspace) ?? 0) + cost);
	}

	let candidate = calls[0]!;
	let highest = -1;
	for (const call of calls) {
		const usage = waitingCosts.get(call.workspace)! + getServedTokens(gateway, call.pool, call.workspace);
		if (usage > highest || (usage === highest && compareUrgency(call, candidate) >= 0)) {
			candidate = call;
			highest = usage;
		}
	}

	return candidate;
}

/**
Checks the limit of a queue after a call was added.

@returns The call to evict; undefined while the queue is within its limit.
*/
export function findEvictionCandidate(gateway: Gateway, added: Call): Call | undefined {
	if (getQueueLength(gateway, added.pool) <= computeQueueLimit(gateway, added.pool, added)) {
		return undefined;
	}

	const candidate = selectEvictionCandidate(gateway, getQueuedCalls(gateway, added.pool));
	addLogLine(gateway, {
		part: LogPart.Fair,
		level: 'debug',
		text: 'queue full',
		request: candidate.id,
		fields: {
			pool: candidate.pool, workspace: candidate.workspace, used: Math.round(getServedTokens(gateway, candidate.pool, candidate.workspace)), waiting: getQueueLength(gateway, candidate.pool),
		},
	});
	return candidate;
}

/** Orders calls by urgency: first streams to be resumed, since part of their answers has been served, then by priority. */
function compareUrgency(a: Call, b: Call): number {
	return Number(b.origin !== undefined) - Number(a.origin !== undefined) || a.priority - b.priority;
}

/** Waiting calls of one workspace, in the order in which they are started. */
type WorkspaceQueue = {workspace: string; servedTokens: number; calls: Call[]};

/**
Groups calls by workspace. Priority orders only the calls within a workspace: otherwise one of low priority would
starve.
*/
function groupByWorkspace(gateway: Gateway, pool: string, calls: Call[]): WorkspaceQueue[] {
	const workspaceQueues = new Map<string, WorkspaceQueue>();
	for (const call of calls) {
		const queue = workspaceQueues.get(call.workspace);
		if (queue) {
			queue.calls.push(call);
		} else {
			workspaceQueues.set(call.workspace, {workspace: call.workspace, servedTokens: getServedTokens(gateway, pool, call.workspace), calls: [call]});
		}
	}

	for (const queue of workspaceQueues.values()) {
		queue.calls.sort(compareUrgency);
	}

	return [...workspaceQueues.values()];
}

/** Selects the queue of the workspace with the fewest served tokens; of equal ones that with the more urgent first call. */
function selectNextQueue(workspaceQueues: WorkspaceQueue[]): WorkspaceQueue | undefined {
	let next: WorkspaceQueue | undefined;
	for (const queue of workspaceQueues) {
		if (queue.calls.length > 0 && (!next || queue.servedTokens < next.servedTokens || (queue.servedTokens === next.servedTokens && queue.calls[0]!.priority < next.calls[0]!.priority))) {
			next = queue;
		}
	}

	return next;
}

/**
Starts the queued calls of a pool for which a slot is free: first those of the workspace with the fewest served tokens,
within a workspace streams to be resumed, then by priority, then by age. A call whose targets are full doesn't block calls that other targets can
accept.
*/
export function startQueuedCalls(gateway: Gateway, pool: string, start: (call: Call, choice: Choice) => void) {
	if (getQueueLength(gateway, pool) === 0) {
		return;
	}

	const calls = getQueuedCalls(gateway, pool);
	const round = createPlacementRound(gateway, pool, calls);
	const workspaceQueues = groupByWorkspace(gateway, pool, calls);
	for (let queue = selectNextQueue(workspaceQueues); queue; queue = selectNextQueue(workspaceQueues)) {
		if (!hasAvailableTarget(gateway, round.targets)) {
			gateway.lastFullAt.set(pool, gateway.now);
			return;
		}

		if (isAboveFairLevel(gateway, queue.calls[0]!)) {
			queue.calls = [];
			continue;
		}

		const call = queue.calls.shift()!;
		const choice = chooseTarget(gateway, call, round);
		if (choice) {
			removeFromQueue(gateway, call);
			removeFromRound(round, call);
			start(call, choice);
			queue.servedTokens = getServedTokens(gateway, pool, queue.workspace);
		}
	}
}
