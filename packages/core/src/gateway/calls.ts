/*
Routed calls from arrival to the final answer. A call that is given up gets its answer at once. "Not run" is only said where
no target can have run it.
*/
import {LogPart} from '../ports.ts';
import {
	Outcome, RefusalKind, type Refusal,
} from '../refusal.ts';
import {second} from '../units.ts';
import {randomFraction} from '../world.ts';
import {
	CallKind, findRoute, type CallRoute, type Catalogue, type Tenancy,
} from './catalogue.ts';
import {countColdSend} from './cold-limits.ts';
import {note, paceOf, type Gateway} from './gateway.ts';
import {adjustLimit} from './engine-limits.ts';
import {
	countEnd, countSend, loadOf, placesOf, takeLoad,
} from './loads.ts';
import {soundTargets, type Choice} from './placement.ts';
import {SendEnd, type GatewayInboundOf} from './ports.ts';
import {rememberParts} from './prompt-parts.ts';
import {countCall, countStart, spendRetry} from './retries.ts';
import {
	CallState, type Call, type CallArrival, type PoolTarget,
} from './rows.ts';
import {noteEnd} from './target-health.ts';
import {
	chargeCall, noteAsked, refundCall, usedBy,
} from './usage.ts';
import {
	comeBackAfter, enterWaiting, leaveWaiting, noPlace, overflowOf, startWaiting, waitingCount,
} from './waiting.ts';

/** Weight of a sample in the running means. */
const meanWeight = 0.05;

/** Least prompt from which the speed of reading is measured, in tokens. */
const readSampleTokens = 2000;

/** Factor by which the least time to a first byte rises with each sample, so that it follows a change. */
const floorDrift = 1.002;

function refusal(kind: RefusalKind, detail = '', retryAfterMs?: number): Refusal {
	return {
		kind, outcome: Outcome.NotRun, detail, ...(retryAfterMs !== undefined && {retryAfterMs}),
	};
}

type Admission = {kind: 'admitted'; route: CallRoute; tenancy: Tenancy} | {kind: 'refused'; refusal: Refusal};

/** Workspace of calls that need no key. */
const openTenancy: Tenancy = {workspace: '', priority: undefined};

function admit({catalogue}: Gateway, arrival: CallArrival): Admission {
	if (!catalogue) {
		return {kind: 'refused', refusal: refusal(RefusalKind.NotReady, '', second)};
	}

	const route = findRoute(catalogue, arrival.host, arrival.path);
	if (!route) {
		return {kind: 'refused', refusal: refusal(RefusalKind.UnknownRoute, arrival.host)};
	}

	const tenancy = tenancyOf(catalogue, route, arrival.key);
	if (!tenancy) {
		return {kind: 'refused', refusal: refusal(RefusalKind.UnknownWorkspace)};
	}

	if (arrival.remainingMs !== undefined && arrival.remainingMs <= 0) {
		return {kind: 'refused', refusal: refusal(RefusalKind.DeadlinePassed)};
	}

	return {kind: 'admitted', route, tenancy};
}

function tenancyOf({keys}: Catalogue, route: CallRoute, key: string): Tenancy | undefined {
	return keys && route.needsKey ? keys.get(key) : openTenancy;
}

/** One of the route's pools, by their weights. */
function pickPool(gateway: Gateway, {shares}: CallRoute): string {
	const total = shares.reduce((sum, {weight}) => sum + weight, 0);
	let left = randomFraction(gateway) * total;
	for (const {pool, weight} of shares) {
		left -= weight;
		if (left < 0) {
			return pool;
		}
	}

	return shares.at(-1)?.pool ?? '';
}

function costOf({limits}: Gateway, {prompt}: CallArrival): number {
	return prompt ? prompt.inputTokens + (limits.outputWeight * prompt.outputTokens) : 1;
}

function createCall(gateway: Gateway, arrival: CallArrival, route: CallRoute, tenancy: Tenancy): Call {
	const {now, limits} = gateway;
	const remainingMs = Math.min(arrival.remainingMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);
	const patienceMs = Math.min(limits.patienceMaxMs, route.objectiveMs * limits.patience, remainingMs);
	return {
		id: arrival.id,
		route,
		pool: pickPool(gateway, route),
		workspace: tenancy.workspace,
		priority: tenancy.priority ?? route.priority,
		prompt: arrival.prompt,
		cost: costOf(gateway, arrival),
		arrivedAt: now,
		deadline: now + remainingMs,
		patienceUntil: now + patienceMs,
		state: CallState.Waiting,
		attempts: 0,
		sends: 0,
		target: '',
		sentAt: 0,
		unreadTokens: 0,
		tried: [],
		mayHaveRun: false,
		isAnswered: false,
	};
}

export function onCallArrived(gateway: Gateway, {call: arrival}: GatewayInboundOf<'callArrived'>) {
	const admission = admit(gateway, arrival);
	if (admission.kind === 'refused') {
		gateway.outbox.push({kind: 'refuse', call: arrival.id, refusal: admission.refusal});
		logRefusal(gateway, arrival.id, admission.refusal, {host: arrival.host, path: arrival.path, version: gateway.catalogue?.version});
		gateway.outbox.push({kind: 'closed', call: arrival.id});
		return;
	}

	const call = createCall(gateway, arrival, admission.route, admission.tenancy);
	gateway.calls.set(call);
	countCall(gateway, call.pool);
	noteAsked(gateway, call);
	place(gateway, call);
}

/**
Sends a call to a target, lets it wait for a place, or refuses it. It never overtakes a waiting call of a workspace that has
used less.
*/
function place(gateway: Gateway, call: Call) {
	const targets = soundTargets(gateway, call.pool);
	if (targets.every(({id}) => call.tried.includes(id))) {
		refuse(gateway, call, noPlace(gateway, call));
		return;
	}

	enterWaiting(gateway, call);
	startCalls(gateway, call.pool);
	const overflow = call.state === CallState.Waiting ? overflowOf(gateway, call) : undefined;
	if (overflow) {
		leaveWaiting(gateway, overflow);
		refuse(gateway, overflow, noPlace(gateway, overflow));
	}
}

function startCalls(gateway: Gateway, pool: string) {
	startWaiting(gateway, pool, (call, choice) => {
		sendTo(gateway, call, choice);
	});
}

function sendTo(gateway: Gateway, call: Call, {target, unreadTokens, costMs, candidates}: Choice) {
	if (call.sends === 0) {
		chargeCall(gateway, call);
		countStart(gateway, call.pool);
	}

	Object.assign(call, {
		state: CallState.Sent, target: target.id, sentAt: gateway.now, unreadTokens,
	});
	call.attempts += 1;
	call.sends += 1;
	countColdSend(gateway, target);
	countSend(target, unreadTokens);
	if (call.prompt) {
		rememberParts(gateway, target, call.prompt);
	}

	const {route} = call;
	gateway.outbox.push({
		kind: 'send',
		call: call.id,
		send: call.sends,
		target: target.id,
		address: target.address,
		pool: target.pool,
		workspace: call.workspace,
		hasKeys: gateway.catalogue?.keys !== undefined,
		remainingMs: Math.max(1, Math.floor(call.deadline - gateway.now)),
		isStreamed: route.kind === CallKind.Streamed,
		isResumed: call.isAnswered,
		isRepeatable: route.kind === CallKind.Repeatable,
	});
	note(gateway, {
		part: LogPart.Request,
		text: 'sent',
		request: call.id,
		fields: {
			target: target.id,
			pool: target.pool,
			workspace: call.workspace,
			route: route.name,
			send: call.sends,
			costMs: Math.round(costMs),
			unreadTokens,
			candidates,
			load: loadOf(gateway, target),
			loadAgeMs: ageOf(gateway, target.reportedAt),
			places: Math.round(placesOf(gateway, target)),
			waitedMs: Math.round(gateway.now - call.arrivedAt),
			version: gateway.catalogue?.version,
		},
	});
}

/** How old what is known since `at` is, for the log; undefined for what is not known. */
function ageOf({now}: Gateway, at: number): number | undefined {
	return at === Number.NEGATIVE_INFINITY ? undefined : Math.round(now - at);
}

/** Forgets a call of which nothing more is to be said. */
function close(gateway: Gateway, call: Call) {
	gateway.calls.delete(call.id);
	gateway.outbox.push({kind: 'closed', call: call.id});
}

/** Gives up what a call holds: its place in the queue or at its target. */
function release(gateway: Gateway, call: Call) {
	if (call.state === CallState.Waiting) {
		leaveWaiting(gateway, call);
		return;
	}

	leaveTarget(gateway, call);
	gateway.outbox.push({kind: 'cancel', call: call.id});
}

function leaveTarget(gateway: Gateway, call: Call) {
	const target = gateway.targets.get(call.target);
	if (target) {
		countEnd(target);
		endReading(target, call);
	}
}

/** Counts the prompt of a call as read by its target. */
function endReading(target: PoolTarget, call: Call) {
	target.unreadTokens = Math.max(0, target.unreadTokens - call.unreadTokens);
	call.unreadTokens = 0;
}

function logRefusal(gateway: Gateway, request: string, {kind, outcome, retryAfterMs}: Refusal, fields: Record<string, unknown>) {
	note(gateway, {
		part: LogPart.Request,
		level: 'warn',
		text: 'refused',
		request,
		fields: {
			reason: kind, outcome, retryAfterMs, ...fields,
		},
	});
}

/** Gives a call its final answer and forgets it. "Not run" becomes "unknown" where a target may have run it. */
export function refuse(gateway: Gateway, call: Call, answer: Refusal) {
	const told = call.mayHaveRun && answer.outcome === Outcome.NotRun
		? {kind: RefusalKind.TargetFailed, outcome: Outcome.Unknown, detail: answer.detail}
		: answer;
	gateway.outbox.push({kind: 'refuse', call: call.id, refusal: told});
	logRefusal(gateway, call.id, told, {
		route: call.route.name,
		pool: call.pool,
		workspace: call.workspace,
		target: call.target,
		sends: call.sends,
		afterMs: Math.round(gateway.now - call.arrivedAt),
		waiting: waitingCount(gateway, call.pool),
		used: Math.round(usedBy(gateway, call.pool, call.workspace)),
		share: Math.round(gateway.levels.get(call.pool) ?? Number.POSITIVE_INFINITY),
		version: gateway.catalogue?.version,
	});
	close(gateway, call);
}

export function onCallerGone(gateway: Gateway, {call: id}: GatewayInboundOf<'callerGone'>) {
	const call = gateway.calls.get(id);
	if (call) {
		release(gateway, call);
		note(gateway, {
			part: LogPart.Request, text: 'caller left', request: id, fields: {state: call.state, target: call.target, afterMs: Math.round(gateway.now - call.arrivedAt)},
		});
		close(gateway, call);
	}
}

/** The call that a message of the edge is about, when the message tells of its latest send. */
function sentCall(gateway: Gateway, id: string, send: number): Call | undefined {
	const call = gateway.calls.get(id);
	return call?.state === CallState.Sent && call.sends === send ? call : undefined;
}

export function onAnswerStarted(gateway: Gateway, {call: id, send, load}: GatewayInboundOf<'answerStarted'>) {
	const call = sentCall(gateway, id, send);
	const target = call && gateway.targets.get(call.target);
	if (!call || !target) {
		return;
	}

	target.contactAt = gateway.now;
	const expectedLoad = loadOf(gateway, target);
	takeLoad(gateway, target, load);
	if (call.prompt) {
		adjustLimit(gateway, call, target, expectedLoad);
	}

	measureFirstByte(gateway, call, target.unreadTokens);
	endReading(target, call);
}

function measureFirstByte(gateway: Gateway, call: Call, backlog: number) {
	const pace = paceOf(gateway, call.pool);
	const tookMs = gateway.now - call.sentAt;
	if (!call.prompt) {
		pace.workMs = pace.workMs === 0 ? tookMs : pace.workMs + (meanWeight * (tookMs - pace.workMs));
		return;
	}

	pace.floorMs = pace.floorMs === 0 ? tookMs : Math.min(tookMs, pace.floorMs * floorDrift);
	const readMs = tookMs - pace.floorMs;
	// Only a call that was read alone tells the speed.
	if (call.unreadTokens >= readSampleTokens && backlog === call.unreadTokens && readMs > 0) {
		const sample = call.unreadTokens / readMs;
		pace.readTokensPerMs = pace.readTokensPerMs === 0 ? sample : pace.readTokensPerMs + (meanWeight * (sample - pace.readTokensPerMs));
	}
}

export function onAnswerDelivered(gateway: Gateway, {call: id}: GatewayInboundOf<'answerDelivered'>) {
	const call = gateway.calls.get(id);
	if (call) {
		call.isAnswered = true;
	}
}

/** Whether a call that a target may have run may be sent again. */
function mayRunAgain({route, isAnswered}: Call): boolean {
	if (route.kind === CallKind.Repeatable) {
		return !isAnswered;
	}

	return route.kind === CallKind.Streamed && route.isResumable;
}

function mayResend(gateway: Gateway, call: Call): boolean {
	return call.attempts < call.route.maxAttempts
		&& call.deadline > gateway.now
		&& (!call.mayHaveRun || mayRunAgain(call))
		&& spendRetry(gateway, call.pool);
}

function failed(gateway: Gateway, call: Call, detail: string): Refusal {
	return call.mayHaveRun
		? {kind: call.isAnswered ? RefusalKind.AnswerBroken : RefusalKind.TargetFailed, outcome: Outcome.Unknown, detail}
		: refusal(RefusalKind.NoCapacity, call.pool, comeBackAfter(gateway, call.pool));
}

/** Places a call anew if that is allowed; says whether it was. */
function sendAgain(gateway: Gateway, call: Call, detail: string): boolean {
	call.tried.push(call.target);
	if (!mayResend(gateway, call)) {
		return false;
	}

	note(gateway, {
		part: LogPart.Request, text: 'sent again', request: call.id, fields: {
			target: call.target, reason: detail, attempts: call.attempts, isResumed: call.isAnswered,
		},
	});
	call.target = '';
	place(gateway, call);
	return true;
}

function resendOrRefuse(gateway: Gateway, call: Call, detail: string) {
	if (!sendAgain(gateway, call, detail)) {
		refuse(gateway, call, failed(gateway, call, detail));
	}
}

type EndHandler = (gateway: Gateway, call: Call, detail: string) => void;

/** What becomes of a call by how its send ended. */
const endHandlers: Record<SendEnd, EndHandler> = {
	[SendEnd.Whole](gateway, call) {
		note(gateway, {
			part: LogPart.Request,
			text: 'served',
			request: call.id,
			fields: {target: call.target, sends: call.sends, tookMs: Math.round(gateway.now - call.arrivedAt)},
		});
		close(gateway, call);
	},
	[SendEnd.NotSent](gateway, call, detail) {
		call.attempts -= 1;
		call.tried.push(call.target);
		call.target = '';
		if (call.deadline > gateway.now) {
			place(gateway, call);
			return;
		}

		refuse(gateway, call, failed(gateway, call, detail));
	},
	[SendEnd.WrongTarget](gateway, call, detail) {
		call.attempts -= 1;
		resendOrRefuse(gateway, call, detail);
	},
	[SendEnd.Refused](gateway, call, detail) {
		if (call.attempts >= call.route.maxAttempts && !call.mayHaveRun) {
			refundCall(gateway, call);
		}

		resendOrRefuse(gateway, call, detail);
	},
	[SendEnd.Failed](gateway, call, detail) {
		call.mayHaveRun = true;
		if (sendAgain(gateway, call, detail)) {
			return;
		}

		if (call.isAnswered) {
			// The caller has part of a stream, to which the failure can't be added.
			refuse(gateway, call, failed(gateway, call, detail));
			return;
		}

		gateway.outbox.push({kind: 'deliverFailure', call: call.id});
		note(gateway, {
			part: LogPart.Request, level: 'warn', text: 'failed by its target', request: call.id, fields: {
				target: call.target, reason: detail, route: call.route.name, afterMs: Math.round(gateway.now - call.arrivedAt),
			},
		});
		close(gateway, call);
	},
	[SendEnd.Broken](gateway, call, detail) {
		call.mayHaveRun = true;
		resendOrRefuse(gateway, call, detail);
	},
};

export function onSendEnded(gateway: Gateway, {
	call: id, send, end, load, detail,
}: GatewayInboundOf<'sendEnded'>) {
	const call = sentCall(gateway, id, send);
	if (!call) {
		return;
	}

	leaveTarget(gateway, call);
	const target = gateway.targets.get(call.target);
	if (target) {
		noteEnd(gateway, target, end);
		takeLoad(gateway, target, load);
	}

	endHandlers[end](gateway, call, detail);
}

/** Starts the waiting calls that find a place by now. */
export function callsSystem(gateway: Gateway) {
	for (const pool of gateway.waiting.keys()) {
		startCalls(gateway, pool);
	}
}

/** Gives up calls whose deadline has passed or that have waited for a place as long as is of use. */
export function timeoutsSystem(gateway: Gateway) {
	for (const call of gateway.calls.rows()) {
		if (call.deadline <= gateway.now) {
			expire(gateway, call);
		} else if (call.state === CallState.Waiting && call.patienceUntil <= gateway.now) {
			leaveWaiting(gateway, call);
			refuse(gateway, call, noPlace(gateway, call));
		}
	}
}

function expire(gateway: Gateway, call: Call) {
	const wasSent = call.state === CallState.Sent;
	release(gateway, call);
	refuse(gateway, call, wasSent || call.mayHaveRun
		? {kind: RefusalKind.DeadlinePassed, outcome: Outcome.Unknown, detail: ''}
		: noPlace(gateway, call));
}
