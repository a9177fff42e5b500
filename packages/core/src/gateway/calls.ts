/*
Calls from arrival to the final answer, except for their admission (`admissions.ts`) and the ends of their sends (`send-ends.ts`). A call
that can't be served is refused at once. The outcome "not run" is only reported when no target can have run the call.
*/
import {LogPart} from '../ports.ts';
import {
	Outcome, RefusalKind, type Refusal,
} from '../refusal.ts';
import {
	admit, computeQueueTimeoutMs, createCall, createRefusal,
} from './admissions.ts';
import {CallKind} from './catalogue.ts';
import {mayHaveRestartedUnnoticed, recordColdSend} from './cold-limits.ts';
import {disproveCrash, mayHaveRestarted} from './crash-evidence.ts';
import {addLogLine, type Gateway} from './gateway.ts';
import {adjustLimit} from './engine-limits.ts';
import {
	recordSendEnd, recordSend, estimateLoad, getMaxConcurrency, applyLoadReport,
} from './loads.ts';
import {getHealthyTargets, isVersionListed, type Choice} from './placement.ts';
import {updatePoolEstimates} from './pool-estimates.ts';
import type {GatewayInboundOf} from './ports.ts';
import {recordCachedSegments} from './prompt-segments.ts';
import {createQuarantineRefusal, findQuarantine, takeQuarantinedCalls} from './quarantines.ts';
import {countRateLimited} from './rate-limits.ts';
import {spendRateShare} from './rate-shares.ts';
import {recordCall, recordFirstSend} from './retries.ts';
import {
	CallState, unknownSoftwareVersion, type Call, type PoolTarget, type StreamOrigin,
} from './rows.ts';
import {checkLookup, startLookup} from './stream-lookups.ts';
import {mustHold} from './stream-holds.ts';
import {correctRecords, recordOrigin} from './stream-origins.ts';
import {createSuspectFields} from './suspects.ts';
import {
	chargeCall, recordDemand, getServedTokens,
} from './usage.ts';
import {
	enqueue, removeFromQueue, createNoCapacityRefusal, findEvictionCandidate, startQueuedCalls, getQueueLength,
} from './queues.ts';

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
	const quarantine = findQuarantine(gateway, call);
	if (quarantine) {
		refuse(gateway, call, createQuarantineRefusal(gateway, quarantine), {...createSuspectFields(quarantine.suspect), crashes: quarantine.crashes});
		return;
	}

	if (call.resumption && call.route.kind === CallKind.Streamed) {
		const origin = startLookup(gateway, call);
		if (origin) {
			resumeStream(gateway, call, origin);
		}

		return;
	}

	startCall(gateway, call);
}

function startCall(gateway: Gateway, call: Call) {
	recordCall(gateway, call.pool);
	recordDemand(gateway, call);
	sendOrQueue(gateway, call);
}

/** Starts a call with which its caller resumes a stream, now that it is known where that began. */
function resumeStream(gateway: Gateway, call: Call, origin: StreamOrigin) {
	call.origin = origin;
	if (!call.route.weightedPools.some(({pool}) => pool === origin.pool)) {
		refuse(gateway, call, createRefusal(RefusalKind.StreamVersionGone, origin.pool));
		return;
	}

	call.pool = origin.pool;
	startCall(gateway, call);
}

/** Starts or refuses the calls for which it has turned out where their streams began, or that nobody knows it. */
export function locatingCallsSystem(gateway: Gateway) {
	for (const call of gateway.calls.rows()) {
		const end = call.state === CallState.Locating ? checkLookup(gateway, call) : undefined;
		if (end?.kind === 'found') {
			resumeStream(gateway, call, end.origin);
		} else if (end) {
			refuse(gateway, call, createRefusal(RefusalKind.StreamUnknown, call.resumption?.firstRequestId), {
				asked: call.lookup?.asked.length, replies: call.lookup?.replies.size,
			});
		}
	}
}

/** Whether a call may still be sent to a target that hasn't failed it. */
export function hasUntriedTarget(gateway: Gateway, call: Call): boolean {
	return getHealthyTargets(gateway, call.pool, call.origin).some(({id}) => !call.triedTargets.includes(id));
}

/** Creates the refusal of a call that can be sent to no target now. */
function createNoTargetRefusal(gateway: Gateway, call: Call): Refusal {
	return call.origin && !isVersionListed(gateway, call.origin)
		? createRefusal(RefusalKind.StreamVersionGone, call.pool)
		: createNoCapacityRefusal(gateway, call);
}

/**
Sends a call to a target, queues it, or refuses it. It never overtakes a queued call of a workspace with fewer served
tokens.
*/
export function sendOrQueue(gateway: Gateway, call: Call) {
	call.firstByteAt = undefined;
	if (!hasUntriedTarget(gateway, call)) {
		refuse(gateway, call, createNoTargetRefusal(gateway, call));
		return;
	}

	enqueue(gateway, call);
	if (call.origin) {
		// Messages about the targets may follow in this inbox; queued calls are started at the end of the step.
		call.queueTimeoutAt = Math.max(gateway.now, gateway.streamsHeldUntil) + computeQueueTimeoutMs(gateway, call.route, call.deadline - gateway.now);
		return;
	}

	startPoolCalls(gateway, call.pool);
	const evicted = call.state === CallState.Waiting ? findEvictionCandidate(gateway, call) : undefined;
	if (evicted) {
		removeFromQueue(gateway, evicted);
		refuse(gateway, evicted, createNoCapacityRefusal(gateway, evicted));
	}
}

function startPoolCalls(gateway: Gateway, pool: string) {
	startQueuedCalls(gateway, pool, (call, choice) => {
		sendTo(gateway, call, choice);
	});
}

function sendTo(gateway: Gateway, call: Call, {target, uncachedTokens, costMs, candidates}: Choice) {
	if (call.sends === 0) {
		chargeCall(gateway, call);
		recordFirstSend(gateway, call.pool);
	}

	const isOtherProcessPossible = mayHaveRestarted(gateway, target) || mayHaveRestartedUnnoticed(gateway, target);
	const targetVersion = isOtherProcessPossible ? unknownSoftwareVersion : target.softwareVersion;
	const isOtherVersion = call.targetVersion !== targetVersion;
	Object.assign(call, {
		state: CallState.Sent, target: target.id, targetVersion, sentAt: gateway.now, uncachedTokens, firstByteAt: undefined,
	});
	call.attempts += 1;
	call.sends += 1;
	if (isOtherVersion) {
		correctRecords(gateway, call);
	}

	recordColdSend(gateway, target);
	spendRateShare(target);
	call.isHeld = mustHold(gateway, call);
	call.heldSince = undefined;
	recordSend(target, uncachedTokens);
	if (call.prompt) {
		recordCachedSegments(gateway, target, call.prompt);
	}

	const {route} = call;
	gateway.outbox.push({
		kind: 'send',
		call: call.id,
		send: call.sends,
		target: target.id,
		startId: target.startId,
		address: target.address,
		pool: target.pool,
		workspace: call.workspace,
		hasKeys: gateway.catalogue?.keys !== undefined,
		remainingMs: Math.max(1, Math.floor(call.deadline - gateway.now)),
		isStreamed: route.kind === CallKind.Streamed,
		isResumed: call.hasAnswerBytes,
		isResumedByCaller: call.resumption !== undefined,
		isHeld: call.isHeld,
		isRepeatable: route.kind === CallKind.Repeatable,
	});
	addLogLine(gateway, {
		part: LogPart.Request,
		text: 'sent',
		request: call.id,
		fields: {
			target: target.id,
			softwareVersion: target.softwareVersion,
			pool: target.pool,
			workspace: call.workspace,
			route: route.name,
			send: call.sends,
			resumes: call.resumption && (call.resumption.firstRequestId ?? 'unnamed'),
			isResumed: call.hasAnswerBytes ? true : undefined,
			costMs: Math.round(costMs),
			unreadTokens: uncachedTokens,
			candidates,
			load: estimateLoad(gateway, target),
			loadAgeMs: computeAgeMs(gateway, target.loadReportedAt),
			places: Math.round(getMaxConcurrency(gateway, target)),
			waitedMs: Math.round(gateway.now - call.arrivedAt),
			version: gateway.catalogue?.version,
		},
	});
}

/** Computes the age of a timestamp, for the log; undefined for -Infinity, which stands for "never". */
function computeAgeMs({now}: Gateway, at: number): number | undefined {
	return at === Number.NEGATIVE_INFINITY ? undefined : Math.round(now - at);
}

/** Removes a call that has its final answer. */
export function closeCall(gateway: Gateway, call: Call) {
	gateway.calls.delete(call.id);
	gateway.outbox.push({kind: 'closed', call: call.id});
}

const detachHandlers: Record<CallState, (gateway: Gateway, call: Call) => void> = {
	[CallState.Locating]() {
		// Replies to its lookup are ignored.
	},
	[CallState.Waiting]: removeFromQueue,
	[CallState.Sent](gateway, call) {
		detachFromTarget(gateway, call);
		gateway.outbox.push({kind: 'cancel', call: call.id});
	},
};

/** Removes a call from its queue, or cancels it at its target. */
function detachCall(gateway: Gateway, call: Call) {
	detachHandlers[call.state](gateway, call);
}

export function detachFromTarget(gateway: Gateway, call: Call) {
	const target = gateway.targets.get(call.target);
	if (target) {
		recordSendEnd(target);
		endPrefill(target, call);
	}
}

/** Removes the prompt of a call from the prefill backlog of its target. */
function endPrefill(target: PoolTarget, call: Call) {
	target.prefillBacklogTokens = Math.max(0, target.prefillBacklogTokens - call.uncachedTokens);
	call.uncachedTokens = 0;
}

function logRefusal(gateway: Gateway, request: string, {kind, outcome, retryAfterMs}: Refusal, fields: Record<string, unknown>) {
	addLogLine(gateway, {
		part: LogPart.Request,
		level: 'warn',
		text: 'refused',
		request,
		fields: {
			reason: kind, outcome, retryAfterMs, ...fields,
		},
	});
}

/** Refuses a call and removes it. The outcome "not run" becomes "unknown" when a target may have run it. */
export function refuse(gateway: Gateway, call: Call, answer: Refusal, fields: Record<string, unknown> = {}) {
	const finalRefusal = call.mayHaveRun && answer.outcome === Outcome.NotRun
		? {kind: RefusalKind.TargetFailed, outcome: Outcome.Unknown, detail: answer.detail}
		: answer;
	gateway.outbox.push({
		kind: 'refuse', call: call.id, refusal: finalRefusal, pool: call.pool, cause: answer.kind,
	});
	logRefusal(gateway, call.id, finalRefusal, {
		cause: answer.kind === finalRefusal.kind ? undefined : answer.kind,
		route: call.route.name,
		pool: call.pool,
		workspace: call.workspace,
		target: call.target,
		softwareVersion: call.origin?.softwareVersion,
		sends: call.sends,
		afterMs: Math.round(gateway.now - call.arrivedAt),
		waiting: getQueueLength(gateway, call.pool),
		rateLimitedTargets: countRateLimited(gateway, call.pool),
		used: Math.round(getServedTokens(gateway, call.pool, call.workspace)),
		share: Math.round(gateway.fairLevels.get(call.pool) ?? Number.POSITIVE_INFINITY),
		version: gateway.catalogue?.version,
		...fields,
	});
	closeCall(gateway, call);
}

export function onCallerGone(gateway: Gateway, {call: id}: GatewayInboundOf<'callerGone'>) {
	const call = gateway.calls.get(id);
	if (call) {
		detachCall(gateway, call);
		addLogLine(gateway, {
			part: LogPart.Request, text: 'caller left', request: id, fields: {state: call.state, target: call.target, afterMs: Math.round(gateway.now - call.arrivedAt)},
		});
		closeCall(gateway, call);
	}
}

/** Finds the call that an adapter's message is about; undefined when the message is about a send before its latest. */
export function findSentCall(gateway: Gateway, id: string, send: number): Call | undefined {
	const call = gateway.calls.get(id);
	return call?.state === CallState.Sent && call.sends === send ? call : undefined;
}

export function onAnswerStarted(gateway: Gateway, {call: id, send, load}: GatewayInboundOf<'answerStarted'>) {
	const call = findSentCall(gateway, id, send);
	const target = call && gateway.targets.get(call.target);
	if (!call || !target) {
		return;
	}

	call.firstByteAt = gateway.now;
	call.heldSince = gateway.now;
	target.lastAnswerAt = gateway.now;
	disproveCrash(gateway, target);
	const expectedLoad = estimateLoad(gateway, target);
	applyLoadReport(gateway, target, load);
	if (call.prompt) {
		adjustLimit(gateway, call, target, expectedLoad);
	}

	updatePoolEstimates(gateway, call, target.prefillBacklogTokens);
	endPrefill(target, call);
}

export function onAnswerDelivered(gateway: Gateway, {call: id}: GatewayInboundOf<'answerDelivered'>) {
	const call = gateway.calls.get(id);
	if (!call) {
		return;
	}

	call.hasAnswerBytes = true;
	if (call.route.kind === CallKind.Streamed) {
		call.origin ??= {pool: call.pool, softwareVersion: call.targetVersion};
	}

	if (call.origin && call.stream !== undefined) {
		recordOrigin(gateway, call.stream, call.origin);
	}
}

/** Refuses calls with a suspect that has been put into quarantine, and cancels those that were sent. */
export function quarantinedCallsSystem(gateway: Gateway) {
	for (const {call, quarantine} of takeQuarantinedCalls(gateway)) {
		call.mayHaveRun ||= call.state === CallState.Sent;
		detachCall(gateway, call);
		refuse(gateway, call, createQuarantineRefusal(gateway, quarantine), {...createSuspectFields(quarantine.suspect), crashes: quarantine.crashes});
	}
}

/** Ends all open calls with a refusal, and cancels those that were sent. */
export function abandonCalls(gateway: Gateway, refusal: Refusal) {
	for (const call of gateway.calls.rows()) {
		call.mayHaveRun ||= call.state === CallState.Sent;
		detachCall(gateway, call);
		refuse(gateway, call, refusal);
	}
}

/** Ends a call whose handling failed, and frees what it held. */
export function onCallFailed(gateway: Gateway, {call: id, isUnsent}: GatewayInboundOf<'callFailed'>) {
	const call = gateway.calls.get(id);
	if (!call) {
		return;
	}

	call.mayHaveRun ||= call.state === CallState.Sent && !isUnsent;
	const refusal = {kind: RefusalKind.InternalError, outcome: call.mayHaveRun ? Outcome.Unknown : Outcome.NotRun, detail: ''};
	try {
		detachCall(gateway, call);
		refuse(gateway, call, refusal);
	} catch {
		// What made its handling fail may be in the row of the call itself.
		gateway.calls.delete(id);
		gateway.outbox.push({kind: 'cancel', call: id}, {kind: 'refuse', call: id, refusal}, {kind: 'closed', call: id});
	}
}

/** Sends the queued calls for which a slot is free now. */
export function callsSystem(gateway: Gateway) {
	for (const pool of gateway.queues.keys()) {
		startPoolCalls(gateway, pool);
	}
}

/** Refuses calls whose deadline or queue timeout has passed. */
export function timeoutsSystem(gateway: Gateway) {
	for (const call of gateway.calls.rows()) {
		if (call.deadline <= gateway.now) {
			expireCall(gateway, call);
		} else if (call.state === CallState.Waiting && call.queueTimeoutAt <= gateway.now) {
			removeFromQueue(gateway, call);
			refuse(gateway, call, createNoCapacityRefusal(gateway, call));
		}
	}
}

function expireCall(gateway: Gateway, call: Call) {
	const wasSent = call.state === CallState.Sent;
	detachCall(gateway, call);
	refuse(gateway, call, wasSent || call.mayHaveRun
		? {kind: RefusalKind.DeadlinePassed, outcome: Outcome.Unknown, detail: ''}
		: createNoCapacityRefusal(gateway, call));
}
