/*
Admission of calls: finds the route and the workspace of a call that has arrived, or refuses it, and creates its row.
*/
import {
	Outcome, RefusalKind, type Refusal,
} from '../refusal.ts';
import {second} from '../units.ts';
import {randomFraction} from '../world.ts';
import {
	CallKind, findRoute, type CallRoute, type Catalogue, type Tenancy,
} from './catalogue.ts';
import {StopPhase, type Gateway, type PlannedStop} from './gateway.ts';
import {
	CallState, unknownSoftwareVersion, type Call, type CallArrival,
} from './rows.ts';
import {computeStreamKey} from './stream-origins.ts';

export function createRefusal(kind: RefusalKind, detail = '', retryAfterMs?: number): Refusal {
	return {
		kind, outcome: Outcome.NotRun, detail, ...(retryAfterMs !== undefined && {retryAfterMs}),
	};
}

type Admission = {kind: 'admitted'; route: CallRoute; tenancy: Tenancy} | {kind: 'refused'; refusal: Refusal};

/** Tenancy of calls on routes that need no key, and of all calls while the catalogue defines no keys. */
const anonymousTenancy: Tenancy = {workspace: '', priority: undefined};

/** Deadline and objective of a call that has arrived, as points in time. */
type ArrivalTimes = {deadline: number; objectiveAt: number};

/**
Whether a call is taken while the instance lingers, by its kind: others that are left at the end of the stop can be sent again, but the
caller of one that may not be repeated couldn't know what became of it.
*/
const lingeringAdmissionHandlers: Record<CallKind, (times: ArrivalTimes, endsAt: number) => boolean> = {
	[CallKind.Repeatable]: () => true,
	[CallKind.Streamed]: () => true,
	[CallKind.Once]: ({objectiveAt}, endsAt) => objectiveAt <= endsAt,
};

/**
Whether a planned stop leaves a call the time that it needs. The time decides and not the phase, which is behind it after a stall of the
process.
*/
function isTakenDuringStop({stopPhase, now}: Gateway, {requestedAt, times: {lingerMs, maxStopMs}}: PlannedStop, kind: CallKind, times: ArrivalTimes): boolean {
	const endsAt = requestedAt + maxStopMs;
	if (stopPhase === StopPhase.Done || now >= endsAt) {
		return false;
	}

	// A caller that is refused can be served by another instance now.
	return now - requestedAt < lingerMs ? lingeringAdmissionHandlers[kind](times, endsAt) : times.deadline <= endsAt;
}

/** Time from the arrival of a call until its final answer is due. */
function computeRemainingMs(arrival: CallArrival, route: CallRoute): number {
	return Math.min(arrival.remainingMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);
}

export function admit(gateway: Gateway, arrival: CallArrival): Admission {
	const {catalogue, stop, now} = gateway;
	if (!catalogue) {
		return {kind: 'refused', refusal: createRefusal(RefusalKind.NotReady, '', second)};
	}

	const route = findRoute(catalogue, arrival.host, arrival.path);
	if (!route) {
		return {kind: 'refused', refusal: createRefusal(RefusalKind.UnknownRoute, arrival.host)};
	}

	const tenancy = findTenancy(catalogue, route, arrival.key);
	if (!tenancy) {
		return {kind: 'refused', refusal: createRefusal(RefusalKind.UnknownWorkspace)};
	}

	if (arrival.remainingMs !== undefined && arrival.remainingMs <= 0) {
		return {kind: 'refused', refusal: createRefusal(RefusalKind.DeadlinePassed)};
	}

	if (stop && !isTakenDuringStop(gateway, stop, route.kind, {deadline: now + computeRemainingMs(arrival, route), objectiveAt: now + route.objectiveMs})) {
		stop.refusedCalls += 1;
		return {kind: 'refused', refusal: createRefusal(RefusalKind.Stopping, '', 0)};
	}

	return {kind: 'admitted', route, tenancy};
}

function findTenancy({keys}: Catalogue, route: CallRoute, key: string): Tenancy | undefined {
	return keys && route.needsKey ? keys.get(key) : anonymousTenancy;
}

/** Picks one of the route's pools at random, by their weights. */
function pickPool(gateway: Gateway, {weightedPools}: CallRoute): string {
	const total = weightedPools.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = randomFraction(gateway) * total;
	for (const {pool, weight} of weightedPools) {
		remaining -= weight;
		if (remaining < 0) {
			return pool;
		}
	}

	return weightedPools.at(-1)?.pool ?? '';
}

function computeCost({limits}: Gateway, {prompt}: CallArrival): number {
	return prompt ? prompt.inputTokens + (limits.outputWeight * prompt.outputTokens) : 1;
}

/** Computes how long a call may wait for a slot from now on. */
export function computeQueueTimeoutMs({limits}: Gateway, {objectiveMs}: CallRoute, remainingMs: number): number {
	return Math.min(limits.maxQueueTimeoutMs, objectiveMs * limits.queueTimeoutFraction, remainingMs);
}

/** Key of the stream that a call begins or resumes; undefined when it is no stream, or resumes one that its caller doesn't name. */
function getStreamKey({requestId, resumption}: CallArrival, {kind}: CallRoute, {workspace}: Tenancy): number | undefined {
	const firstRequestId = resumption ? resumption.firstRequestId : requestId;
	return kind === CallKind.Streamed && firstRequestId !== undefined ? computeStreamKey(workspace, firstRequestId) : undefined;
}

export function createCall(gateway: Gateway, arrival: CallArrival, route: CallRoute, tenancy: Tenancy): Call {
	const {now} = gateway;
	const remainingMs = computeRemainingMs(arrival, route);
	return {
		id: arrival.id,
		route,
		pool: pickPool(gateway, route),
		workspace: tenancy.workspace,
		priority: tenancy.priority ?? route.priority,
		prompt: arrival.prompt,
		resumption: arrival.resumption,
		fingerprint: arrival.fingerprint,
		cost: computeCost(gateway, arrival),
		arrivedAt: now,
		deadline: now + remainingMs,
		queueTimeoutAt: now + computeQueueTimeoutMs(gateway, route, remainingMs),
		state: CallState.Waiting,
		attempts: 0,
		sends: 0,
		target: '',
		targetVersion: unknownSoftwareVersion,
		sentAt: 0,
		uncachedTokens: 0,
		firstByteAt: undefined,
		triedTargets: [],
		mayHaveRun: false,
		hasAnswerBytes: false,
		origin: undefined,
		stream: getStreamKey(arrival, route, tenancy),
		records: new Set(),
		recordedVersion: unknownSoftwareVersion,
		recordedFor: '',
		lookup: undefined,
		storedVersion: undefined,
		possibleStoredVersions: new Set(),
		isHeld: false,
		heldSince: undefined,
	};
}
