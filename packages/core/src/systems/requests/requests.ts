/*
Life cycle of a request from its queue to the final answer. A request that is refused gets its final answer at once; the
outcome is "not-run" only when no byte of the request was sent to a target.
*/
import {AttemptEnd} from '../../messages.ts';
import {Outcome, RefusalKind, type Refusal} from '../../refusal.ts';
import {RequestState, type Request} from '../../rows.ts';
import {second} from '../../units.ts';
import {send, type World} from '../../world.ts';
import {
	getOrCreateDemand, addToQueue, removeFromQueue, findQueueRefusal, computeRetryAfterMs, trySpendRetry,
} from './demands.ts';
import {offerTicket} from './ticket-offers.ts';
import {
	hasAvailableTarget, isStandingIn, rebuildRoutes, getRoutes,
} from './routes.ts';
import {deleteRunRecord} from './run-records.ts';

/** Puts a request into its workspace's queue and offers its ticket, or refuses it at once. */
export function enqueue(world: World, request: Request) {
	const refusal = hasAvailableTarget(world, request.pool) ? findQueueRefusal(world, request) : createNoCapacityRefusal(request);
	if (refusal) {
		refuse(world, request, refusal);
		return;
	}

	request.state = RequestState.Queued;
	addToQueue(world, request);
	if (getRoutes(world, request.pool).length === 0) {
		rebuildRoutes(world);
	}

	offerTicket(world, request);
}

/**
Creates the refusal of a router that is cut off from most of the fleet: it can't serve requests soon, but another router
may.
*/
export function createCutOffRefusal(): Refusal {
	return {
		kind: RefusalKind.CutOff, outcome: Outcome.NotRun, detail: '', retryAfterMs: second,
	};
}

export function createNoCapacityRefusal({pool}: Request): Refusal {
	return {
		kind: RefusalKind.NoCapacity, outcome: Outcome.NotRun, detail: pool, retryAfterMs: 5 * second,
	};
}

/** Gives a request its final answer, unless it already has one, and removes the request. */
export function refuse(world: World, request: Request, refusal: Refusal) {
	if (!request.isClosed) {
		sendRefusal(world, request, refusal);
	}

	cleanUp(world, request);
	removeRequest(world, request);
}

/** Sends a refusal to the caller. The outcome "not-run" becomes "unknown" when an earlier attempt may have run. */
export function sendRefusal(world: World, request: Request, refusal: Refusal) {
	const outcome = request.mayHaveRun && refusal.outcome === Outcome.NotRun ? Outcome.Unknown : refusal.outcome;
	world.outbox.push({kind: 'refuse', request: request.id, refusal: {...refusal, outcome}});
}

/** Removes a request whose caller needs no further answer. */
export function removeRequest(world: World, request: Request) {
	world.requests.delete(request.id);
	world.outbox.push({kind: 'closed', request: request.id});
}

/** Removes the queue entry and ticket of a request, returns its permit, and deletes its run record if it was never sent. */
export function cleanUp(world: World, request: Request) {
	cleanUpHandlers[request.state]?.(world, request);
	if (request.runNonce !== '' && !request.mayHaveRun) {
		deleteRunRecord(world, request);
	}
}

const cleanUpHandlers: Partial<Record<RequestState, (world: World, request: Request) => void>> = {
	[RequestState.Queued](world, request) {
		removeFromQueue(world, request, false);
		if (request.ticketOwner !== '') {
			send(world, request.ticketOwner, {kind: 'ticketCancel', ticket: request.id});
		}
	},
	[RequestState.Claiming]: returnUnusedPermit,
};

/** Sends a request to the target of its permit; a request whose permit has expired or can't be used is requeued. */
export function startAnswer(world: World, request: Request) {
	const target = world.configuration.targets.get(request.target);
	if (!target || !isStandingIn(world.configuration, target)) {
		// The owner may not know yet that the target was taken out. Excluding the target keeps it from granting it again.
		request.excluded.push(request.target);
		returnPermitAndRequeue(world, request);
		return;
	}

	if (world.now > request.startBy) {
		returnPermitAndRequeue(world, request);
		return;
	}

	request.state = RequestState.Running;
	request.startedAt = world.now;
	world.outbox.push({
		kind: 'startAnswer', request: request.id, target: target.id, url: target.url, epoch: request.epoch,
	});
}

function returnPermitAndRequeue(world: World, request: Request) {
	returnUnusedPermit(world, request);
	requeue(world, request);
}

/** Returns a permit as unused to the owner that granted it. */
export function returnPermit(world: World, owner: string, {ticket, target, epoch}: {ticket: string; target: string; epoch: number}) {
	send(world, owner, {
		kind: 'permitReturn', ticket, target, epoch, end: AttemptEnd.Unused, outputTokens: 0, firstByteMs: 0, betweenTokensMs: 0,
	});
}

/** Returns a permit under which nothing was sent to the target; it doesn't count as an attempt. */
export function returnUnusedPermit(world: World, request: Request) {
	const owner = world.ownerships.get(request.target)?.owner ?? request.ticketOwner;
	returnPermit(world, owner, {ticket: request.id, target: request.target, epoch: request.epoch});
	request.target = '';
	request.ticketOwner = '';
	request.attempts -= 1;
}

/** Puts a request that had a permit back into its queue. */
function requeue(world: World, request: Request) {
	request.state = RequestState.Queued;
	addToQueue(world, request);
	offerTicket(world, request);
}

/**
Queues a request again after a failed attempt of which no byte reached the caller. It is refused instead when its caller
has been answered or has disconnected, when its attempts or the workspace's retry budget are spent, or when its deadline
has passed.

@param detail Why the attempt failed, for the refusal.
*/
export function retry(world: World, request: Request, detail: string) {
	request.excluded.push(request.target);
	request.target = '';
	request.ticketOwner = '';
	request.outputTokens = 0;
	const mayRetry = !request.isClosed
		&& request.attempts < world.limits.maxAttempts
		&& request.deadline > world.now
		&& trySpendRetry(world, request);
	if (mayRetry) {
		requeue(world, request);
		return;
	}

	refuse(world, request, {
		kind: RefusalKind.TargetFailed, outcome: Outcome.NotRun, detail, retryAfterMs: computeRetryAfterMs(world, getOrCreateDemand(world, request)),
	});
}
