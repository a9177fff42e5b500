/*
Ends of attempts: success, retry, resumption or a truthful refusal, and the return of the permit to the target's owner.
*/
import {AttemptEnd, type PeerMessageOf} from '../../messages.ts';
import type {InboundOf} from '../../ports.ts';
import {Outcome, RefusalKind} from '../../refusal.ts';
import {RequestState, type Request} from '../../rows.ts';
import {TargetKind} from '../../configuration.ts';
import {second} from '../../units.ts';
import {startPeriodIfDue, send, type World} from '../../world.ts';
import {earnRetry} from './demands.ts';
import {forget, refuse, retry} from './requests.ts';
import {endRun} from './run-records.ts';

type AnswerEnded = InboundOf<'answerEnded'>;
type EndHandler = (world: World, request: Request, ended: AnswerEnded) => void;

function returnAttempt(world: World, request: Request, ended: AnswerEnded) {
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

function onWhole(world: World, request: Request, ended: AnswerEnded) {
	earnRetry(world, request);
	if (request.once) {
		endRun(world, request, Outcome.Ran, ended.answer);
	}

	forget(world, request);
}

/** Handler of an attempt that brought no answer; a stream that has begun can only be broken off. */
function onFailed(detail: string): EndHandler {
	return (world, request, ended) => {
		if (request.once && request.mayHaveRun) {
			endRun(world, request, Outcome.Unknown);
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
	[AttemptEnd.Whole]: onWhole,
	[AttemptEnd.NotSent]: onFailed('its target could not be connected'),
	[AttemptEnd.Refused]: onFailed('its target was overloaded'),
	[AttemptEnd.Broken]: onFailed('its target broke off before the first byte'),
	[AttemptEnd.Mismatched]: onFailed('its target answered for another request'),
	[AttemptEnd.Cancelled]: forget,
	[AttemptEnd.Unused]: forget,
};

/** Whether the rest of a broken stream can be fetched from the engine that made it. */
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

	returnAttempt(world, request, ended);
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

/** Reports the tokens of all running permits to the owners of their targets, one message an owner. */
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
