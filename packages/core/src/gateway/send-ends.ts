/*
Ends of sends: whether a call is then complete, sent again or refused, and what the end shows of its target. A call is sent again only if
no target can have run it or it may run again, and only within its attempts and the retry budget.
*/
import {LogPart} from '../ports.ts';
import {Outcome, RefusalKind, type Refusal} from '../refusal.ts';
import {createRefusal} from './admissions.ts';
import {
	closeCall, detachFromTarget, findSentCall, hasUntriedTarget, refuse, sendOrQueue,
} from './calls.ts';
import {CallKind} from './catalogue.ts';
import {
	confirmCrash, isLikelyHarmful, recordBrokenAnswer, recordSoundCall,
} from './crash-evidence.ts';
import {addLogLine, type Gateway} from './gateway.ts';
import {applyLoadReport} from './loads.ts';
import {SendEnd, type GatewayInboundOf} from './ports.ts';
import {getSharedSegmentIds} from './prompt-segments.ts';
import {failTrial} from './quarantines.ts';
import {computeRetryAfterMs} from './queues.ts';
import {trySpendRetry} from './retries.ts';
import type {Call, PoolTarget} from './rows.ts';
import {pinToRecords} from './stream-origins.ts';
import {handleSendEnd} from './target-health.ts';
import {refundCall} from './usage.ts';

/** Whether a call that a target may have run already may be sent again. */
function canRunAgain({route, hasAnswerBytes}: Call): boolean {
	if (route.kind === CallKind.Repeatable) {
		return !hasAnswerBytes;
	}

	return route.kind === CallKind.Streamed && route.isResumable;
}

/** Whether a call may be sent again; spends a retry of the budget when it may. */
function tryAuthorizeResend(gateway: Gateway, call: Call): boolean {
	return call.attempts < call.route.maxAttempts
		&& call.deadline > gateway.now
		&& (!call.mayHaveRun || canRunAgain(call))
		&& hasUntriedTarget(gateway, call)
		&& trySpendRetry(gateway, call.pool);
}

function createFailureRefusal(gateway: Gateway, call: Call, detail: string): Refusal {
	return call.mayHaveRun
		? {kind: call.hasAnswerBytes ? RefusalKind.AnswerBroken : RefusalKind.TargetFailed, outcome: Outcome.Unknown, detail}
		: createRefusal(RefusalKind.NoCapacity, call.pool, computeRetryAfterMs(gateway, call.pool));
}

/** Sends or queues a call again if that is allowed; returns whether it was. */
function tryResend(gateway: Gateway, call: Call, detail: string): boolean {
	call.triedTargets.push(call.target);
	pinToRecords(gateway, call);
	if (!tryAuthorizeResend(gateway, call)) {
		return false;
	}

	addLogLine(gateway, {
		part: LogPart.Request, text: 'sent again', request: call.id, fields: {
			target: call.target, reason: detail, attempts: call.attempts, isResumed: call.hasAnswerBytes,
		},
	});
	call.target = '';
	sendOrQueue(gateway, call);
	return true;
}

function resendOrRefuse(gateway: Gateway, call: Call, detail: string) {
	if (!tryResend(gateway, call, detail)) {
		refuse(gateway, call, createFailureRefusal(gateway, call, detail));
	}
}

/** Logs what distinguishes the answer that ended its target from the others that broke with it. */
function logBrokenAnswer(gateway: Gateway, call: Call, detail: string) {
	const target = gateway.targets.get(call.target);
	addLogLine(gateway, {
		part: LogPart.Target,
		text: 'answer broken',
		request: call.id,
		fields: {
			target: call.target,
			start: target?.startId,
			reason: detail,
			sinceSentMs: Math.round(gateway.now - call.sentAt),
			sinceFirstByteMs: call.firstByteAt === undefined ? undefined : Math.round(gateway.now - call.firstByteAt),
			route: call.route.name,
			workspace: call.workspace,
			fingerprint: call.fingerprint,
			segments: call.prompt && getSharedSegmentIds(call.prompt).join(','),
		},
	});
}

type EndHandler = (gateway: Gateway, call: Call, detail: string) => void;

/** Refuses a call that was charged but whose last send reached no target. */
function refuseUnsent(gateway: Gateway, call: Call, refusal: Refusal, detail: string) {
	if (!call.mayHaveRun) {
		refundCall(gateway, call);
	}

	refuse(gateway, call, refusal, {detail});
}

/** Handles the end of a send for its call. */
const endHandlers: Record<SendEnd, EndHandler> = {
	[SendEnd.Complete](gateway, call) {
		recordSoundCall(gateway, call);
		addLogLine(gateway, {
			part: LogPart.Request,
			text: 'served',
			request: call.id,
			fields: {target: call.target, sends: call.sends, tookMs: Math.round(gateway.now - call.arrivedAt)},
		});
		closeCall(gateway, call);
	},
	[SendEnd.NotSent](gateway, call, detail) {
		call.attempts -= 1;
		call.triedTargets.push(call.target);
		pinToRecords(gateway, call);
		call.target = '';
		if (call.deadline > gateway.now) {
			sendOrQueue(gateway, call);
			return;
		}

		refuse(gateway, call, createFailureRefusal(gateway, call, detail));
	},
	[SendEnd.Unsendable](gateway, call, detail) {
		refuseUnsent(gateway, call, {kind: RefusalKind.MalformedBody, outcome: Outcome.NotRun, detail}, detail);
	},
	[SendEnd.NoResource](gateway, call, detail) {
		refuseUnsent(gateway, call, createRefusal(RefusalKind.NoCapacity, call.pool, computeRetryAfterMs(gateway, call.pool)), detail);
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
		if (tryResend(gateway, call, detail)) {
			return;
		}

		if (call.hasAnswerBytes) {
			// The caller has received part of a stream, so the target's failure answer can't be forwarded.
			refuse(gateway, call, createFailureRefusal(gateway, call, detail));
			return;
		}

		gateway.outbox.push({kind: 'deliverFailure', call: call.id});
		addLogLine(gateway, {
			part: LogPart.Request, level: 'warn', text: 'failed by its target', request: call.id, fields: {
				target: call.target, reason: detail, route: call.route.name, afterMs: Math.round(gateway.now - call.arrivedAt),
			},
		});
		closeCall(gateway, call);
	},
	[SendEnd.Broken](gateway, call, detail) {
		call.mayHaveRun = true;
		logBrokenAnswer(gateway, call, detail);
		if (isLikelyHarmful(gateway, call)) {
			refuse(gateway, call, createFailureRefusal(gateway, call, detail));
			return;
		}

		resendOrRefuse(gateway, call, detail);
	},
};

function recordCrashEvidence(gateway: Gateway, call: Call, target: PoolTarget, end: SendEnd) {
	if (end === SendEnd.Broken) {
		recordBrokenAnswer(gateway, call, target);
		failTrial(gateway, call);
	} else if (end === SendEnd.NotSent) {
		confirmCrash(gateway, target);
	}
}

export function onSendEnded(gateway: Gateway, {
	call: id, send, end, load, detail,
}: GatewayInboundOf<'sendEnded'>) {
	const call = findSentCall(gateway, id, send);
	if (!call) {
		return;
	}

	detachFromTarget(gateway, call);
	const target = gateway.targets.get(call.target);
	if (target) {
		recordCrashEvidence(gateway, call, target, end);
		handleSendEnd(gateway, target, end);
		applyLoadReport(gateway, target, load);
	}

	endHandlers[end](gateway, call, detail);
}
