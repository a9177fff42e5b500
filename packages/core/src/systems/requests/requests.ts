/*
What becomes of a request of this router's callers from its queue to the final answer. A request that is given up gets its final answer at
once; "not-run" is only said where no byte of it left for a target.
*/
import {AttemptEnd} from '../../messages.ts';
import {Outcome, RefusalKind, type Refusal} from '../../refusal.ts';
import {RequestState, type Request} from '../../rows.ts';
import {second} from '../../units.ts';
import {send, type World} from '../../world.ts';
import {
	demandOf, enterQueue, leaveQueue, queueRefusal, retryAfter, spendRetry,
} from './demands.ts';
import {place} from './placement.ts';
import {
	hasTarget, isIn, rebuildRoutes, routesOf,
} from './routes.ts';
import {dropRun} from './run-records.ts';

/** Puts a request into its workspace's queue, or refuses it at once. */
export function enqueue(world: World, request: Request) {
	const refusal = hasTarget(world, request.pool) ? queueRefusal(world, request) : noCapacity(request);
	if (refusal) {
		refuse(world, request, refusal);
		return;
	}

	request.state = RequestState.Queued;
	enterQueue(world, request);
	if (routesOf(world, request.pool).length === 0) {
		rebuildRoutes(world);
	}

	place(world, request);
}

/** A router that most of the fleet doesn't hear serves nobody soon; another one may. */
export function cutOff(): Refusal {
	return {
		kind: RefusalKind.CutOff, outcome: Outcome.NotRun, detail: '', retryAfterMs: second,
	};
}

export function noCapacity({pool}: Request): Refusal {
	return {
		kind: RefusalKind.NoCapacity, outcome: Outcome.NotRun, detail: pool, retryAfterMs: 5 * second,
	};
}

/** Gives a request its final answer and forgets it. "not-run" becomes "unknown" where an earlier attempt may have left. */
export function refuse(world: World, request: Request, refusal: Refusal) {
	if (!request.isClosed) {
		tell(world, request, refusal);
	}

	release(world, request);
	forget(world, request);
}

export function tell(world: World, request: Request, refusal: Refusal) {
	const outcome = request.mayHaveRun && refusal.outcome === Outcome.NotRun ? Outcome.Unknown : refusal.outcome;
	world.outbox.push({kind: 'refuse', request: request.id, refusal: {...refusal, outcome}});
}

/** Forgets a request of which nothing more is to be said. */
export function forget(world: World, request: Request) {
	world.requests.delete(request.id);
	world.outbox.push({kind: 'closed', request: request.id});
}

/** Gives up what a request holds: its place in a queue, its permit, and its run record if nothing has left. */
export function release(world: World, request: Request) {
	releases[request.state]?.(world, request);
	if (request.runNonce !== '' && !request.mayHaveRun) {
		dropRun(world, request);
	}
}

const releases: Partial<Record<RequestState, (world: World, request: Request) => void>> = {
	[RequestState.Queued](world, request) {
		leaveQueue(world, request, false);
		if (request.ticketOwner !== '') {
			send(world, request.ticketOwner, {kind: 'ticketCancel', ticket: request.id});
		}
	},
	[RequestState.Claiming]: giveBack,
};

/** Lets the edge connect to the target that the request has a permit for; one whose permit is void queues again. */
export function startAnswer(world: World, request: Request) {
	const target = world.configuration.targets.get(request.target);
	if (!target || !isIn(world.configuration, target)) {
		// The owner may not have heard yet that the target was taken out; it is not to give it again.
		request.excluded.push(request.target);
		leaveUnused(world, request);
		return;
	}

	if (world.now > request.startBy) {
		leaveUnused(world, request);
		return;
	}

	request.state = RequestState.Running;
	request.startedAt = world.now;
	world.outbox.push({
		kind: 'startAnswer', request: request.id, target: target.id, url: target.url, epoch: request.epoch,
	});
}

/** Queues a request again whose permit can't be used. */
function leaveUnused(world: World, request: Request) {
	giveBack(world, request);
	queueAgain(world, request);
}

export function returnPermit(world: World, owner: string, {ticket, target, epoch}: {ticket: string; target: string; epoch: number}) {
	send(world, owner, {
		kind: 'permitReturn', ticket, target, epoch, end: AttemptEnd.Unused, outputTokens: 0, firstByteMs: 0, betweenTokensMs: 0,
	});
}

/** Returns a permit that no request has left for its target with; it doesn't count as an attempt. */
export function giveBack(world: World, request: Request) {
	const owner = world.ownerships.get(request.target)?.owner ?? request.ticketOwner;
	returnPermit(world, owner, {ticket: request.id, target: request.target, epoch: request.epoch});
	request.target = '';
	request.ticketOwner = '';
	request.attempts -= 1;
}

/** Puts a request that had a permit back into its queue. */
function queueAgain(world: World, request: Request) {
	request.state = RequestState.Queued;
	enterQueue(world, request);
	place(world, request);
}

/** Queues a request again after an attempt of which no byte reached the caller, if its budget and deadline allow. */
export function retry(world: World, request: Request, detail: string) {
	request.excluded.push(request.target);
	request.target = '';
	request.ticketOwner = '';
	request.outputTokens = 0;
	const mayRetry = !request.isClosed
		&& request.attempts < world.limits.maxAttempts
		&& request.deadline > world.now
		&& spendRetry(world, request);
	if (mayRetry) {
		queueAgain(world, request);
		return;
	}

	refuse(world, request, {
		kind: RefusalKind.TargetFailed, outcome: Outcome.NotRun, detail, retryAfterMs: retryAfter(world, demandOf(world, request)),
	});
}
