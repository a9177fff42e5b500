/*
Handles the end of an attempt: returns the permit to the owner of the target, and completes, retries, resumes or refuses
the request. A refusal says whether the request may have run.
*/
import {AttemptEnd, type PeerMessageOf} from '../../messages.ts';
import type {InboundOf} from '../../ports.ts';
import {Outcome, RefusalKind} from '../../refusal.ts';
import {RequestState, type Request} from '../../rows.ts';
import {TargetKind} from '../../configuration.ts';
import {second} from '../../units.ts';
import {startPeriodIfDue, send, type World} from '../../world.ts';
import {addRetryCredit} from './demands.ts';
import {removeRequest, refuse, retry} from './requests.ts';
import {recordRunEnd} from './run-records.ts';

type AnswerEnded = InboundOf<'answerEnded'>;
type EndHandler = (world: World, request: Request, ended: AnswerEnded) => void;

function returnUsedPermit(world: World, request: Request, ended: AnswerEnded) {
	const owner = world.ownerships.get(request.target)?.owner;
	if (owner) {
		send(world, owner, {
			kind: 'permitReturn',
			ticket: request.id,
			target: request.target,
			epoch: request.epoch,
			end: ended.end,
			outputTokens: ended.outputTokens,
			firstByteMs: Math.round(ended.firstByteMs),
			betweenTokensMs: ended.betweenTokensMs,
		});
	}
}

function completeRequest(world: World, request: Request, ended: AnswerEnded) {
	addRetryCredit(world, request);
	if (request.once) {
		recordRunEnd(world, request, Outcome.Ran, ended.answer);
	}

	removeRequest(world, request);
}

/**
Creates the handler of an attempt that failed. The request is retried unless it is a `once` request that may have run, or
part of the answer has already been delivered.
*/
function createFailureHandler(detail: string): EndHandler {
	return (world, request, ended) => {
		if (request.once && request.mayHaveRun) {
			recordRunEnd(world, request, Outcome.Unknown);
			refuse(world, request, {kind: RefusalKind.RunOutcomeUnknown, outcome: Outcome.Unknown, detail: ''});
			return;
		}

		if (!ended.delivered) {
			retry(world, request, detail);
			return;
		}

		refuse(world, request, {
			kind: RefusalKind.AnswerBroken, outcome: Outcome.Unknown, detail: '', retryAfterMs: second,
		});
	};
}

const endHandlers: Record<AttemptEnd, EndHandler> = {
	[AttemptEnd.Whole]: completeRequest,
	[AttemptEnd.NotSent]: createFailureHandler('the connection to the target failed'),
	[AttemptEnd.Refused]: createFailureHandler('the target was overloaded'),
	[AttemptEnd.Broken]: createFailureHandler('the connection to the target broke before the first byte'),
	[AttemptEnd.Mismatched]: createFailureHandler('the target answered another request'),
	[AttemptEnd.Cancelled]: removeRequest,
	[AttemptEnd.Unused]: removeRequest,
};

/** Whether the rest of a broken stream can be fetched from the engine that generated it. */
function canResume(world: World, request: Request, ended: AnswerEnded): boolean {
	return ended.end === AttemptEnd.Broken
		&& !request.once
		&& !request.isClosed
		&& ended.delivered
		&& request.resumes < world.limits.maxResumes
		&& world.configuration.targets.get(request.target)?.kind === TargetKind.Engine;
}

export function onAnswerEnded(world: World, ended: AnswerEnded) {
	const request = world.requests.get(ended.request);
	if (request?.state !== RequestState.Running || request.target !== ended.target) {
		return;
	}

	if (ended.end !== AttemptEnd.NotSent) {
		request.mayHaveRun = true;
	}

	if (canResume(world, request, ended)) {
		request.resumes += 1;
		const target = world.configuration.targets.get(request.target)!;
		world.outbox.push({
			kind: 'resumeAnswer', request: request.id, target: target.id, url: target.url,
		});
		return;
	}

	returnUsedPermit(world, request, ended);
	endHandlers[ended.end](world, request, ended);
}

export function onAnswerStarted(world: World, {request: id}: InboundOf<'answerStarted'>) {
	const request = world.requests.get(id);
	if (request) {
		request.delivered = true;
	}
}

export function onAnswerProgress(world: World, {request: id, outputTokens}: InboundOf<'answerProgress'>) {
	const request = world.requests.get(id);
	if (request) {
		request.outputTokens = outputTokens;
	}
}

/** Reports the output tokens of all permits in use to the owners of their targets, with one message per owner. */
export function progressSystem(world: World) {
	if (!startPeriodIfDue(world, 'progress', world.limits.progressMs)) {
		return;
	}

	const byOwner = new Map<string, PeerMessageOf<'permitProgress'>['entries']>();
	for (const request of world.requests.rows()) {
		const owner = world.ownerships.get(request.target)?.owner;
		if (owner && (request.state === RequestState.Running || request.state === RequestState.Claiming)) {
			const entries = byOwner.get(owner) ?? [];
			entries.push({ticket: request.id, outputTokens: request.outputTokens});
			byOwner.set(owner, entries);
		}
	}

	for (const [owner, entries] of byOwner) {
		send(world, owner, {kind: 'permitProgress', entries});
	}
}
