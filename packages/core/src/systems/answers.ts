/*
Ends of attempts: success, retry, resumption or a truthful refusal, and the return of the permit to the target's owner.
*/
import {AttemptEnd, type PeerMessageOf} from '../messages.ts';
import type {InboundOf} from '../ports.ts';
import {Outcome, RefusalKind} from '../refusal.ts';
import {RequestState, type Request} from '../rows.ts';
import {TargetKind} from '../configuration.ts';
import {due, send, type World} from '../world.ts';
import {earnRetry} from './demands.ts';
import {refuse, retry} from './requests.ts';
import {endRun} from './runs.ts';

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

function forget(world: World, request: Request) {
	world.requests.delete(request.id);
}

function onWhole(world: World, request: Request, ended: AnswerEnded) {
	earnRetry(world, request);
	if (request.once) {
		endRun(world, request, Outcome.Ran, ended.answer);
	}

	forget(world, request);
}

function onNotSent(world: World, request: Request) {
	retry(world, request, 'its target could not be connected', Outcome.NotRun);
}

function onRefused(world: World, request: Request) {
	retry(world, request, 'its target was overloaded', Outcome.NotRun);
}

function onBroken(world: World, request: Request, ended: AnswerEnded) {
	if (request.once) {
		endRun(world, request, Outcome.Unknown);
		refuse(world, request, {kind: RefusalKind.RunOutcomeUnknown, outcome: Outcome.Unknown, detail: ''});
		return;
	}

	if (!ended.delivered) {
		retry(world, request, 'its target broke off before the first byte', Outcome.Unknown);
		return;
	}

	refuse(world, request, {
		kind: RefusalKind.AnswerBroken, outcome: Outcome.Unknown, detail: '', retryAfterMs: 1000,
	});
}

const endHandlers: Record<AttemptEnd, EndHandler> = {
	[AttemptEnd.Whole]: onWhole,
	[AttemptEnd.NotSent]: onNotSent,
	[AttemptEnd.Refused]: onRefused,
	[AttemptEnd.Broken]: onBroken,
	[AttemptEnd.Mismatched]: onBroken,
	[AttemptEnd.Cancelled]: forget,
	[AttemptEnd.Unused]: forget,
};

/** Whether the rest of a broken stream can be fetched from the engine that made it. */
function canResume(world: World, request: Request, ended: AnswerEnded): boolean {
	return ended.end === AttemptEnd.Broken
		&& !request.once
		&& ended.delivered
		&& request.resumes < world.limits.maxResumes
		&& world.configuration.targets.get(request.target)?.kind === TargetKind.Engine;
}

export function onAnswerEnded(world: World, ended: AnswerEnded) {
	const request = world.requests.get(ended.request);
	if (request?.state !== RequestState.Running || request.target !== ended.target) {
		return;
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
	if (!due(world, 'progress', world.limits.progressMs)) {
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
