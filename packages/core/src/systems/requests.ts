/*
Requests of this router's callers, from arrival to the final answer. A request that is given up gets its final answer at
once; "not-run" is only said where no byte of it left for a target.
*/
import {TicketReturnReason, type PeerMessageOf, AttemptEnd} from '../messages.ts';
import type {InboundOf, CallerRequest} from '../ports.ts';
import {Outcome, RefusalKind, type Refusal} from '../refusal.ts';
import {RequestState, type Request} from '../rows.ts';
import {second} from '../units.ts';
import {due, send, type World} from '../world.ts';
import {
	demandOf, enterQueue, leaveQueue, queueCostOf, queueRefusal, retryAfter, spendRetry,
} from './demands.ts';
import {stoppingRefusal, takesRequests} from './leaving.ts';
import {isCutOff} from './lease.ts';
import {canHold, place, placeAt} from './placement.ts';
import {
	hasTarget, isIn, isPool, rebuildRoutes, routesOf,
} from './routes.ts';
import {dropRun} from './run-records.ts';
import {checkRun, claimRun, refuseRunning} from './runs.ts';

/** Period at which deadlines are looked at, in milliseconds. */
const deadlineMs = 100;

function createRequest(world: World, arrived: CallerRequest): Request {
	return {
		...arrived,
		state: RequestState.Arrived,
		arrivedAt: world.now,
		attempts: 0,
		resumes: 0,
		holder: '',
		offeredAt: world.now,
		queueCost: queueCostOf(world, arrived),
		excluded: [],
		target: '',
		epoch: 0,
		startedAt: 0,
		outputTokens: 0,
		delivered: false,
		runNonce: '',
		runVersion: 0,
		startBy: 0,
		mayHaveRun: false,
		isClosed: false,
	};
}

/** Refusal of a request at its arrival; undefined when it may go on. */
function arrivalRefusal(world: World, request: Request): Refusal | undefined {
	const detail = request.pool;
	if (!takesRequests(world)) {
		return stoppingRefusal();
	}

	if (world.configuration.revision === 0) {
		return {
			kind: RefusalKind.NotReady, outcome: Outcome.NotRun, detail, retryAfterMs: second,
		};
	}

	if (isCutOff(world)) {
		return cutOff();
	}

	if (!isPool(world, request.pool)) {
		return {kind: RefusalKind.UnknownPool, outcome: Outcome.NotRun, detail};
	}

	if (request.deadline <= world.now) {
		return {kind: RefusalKind.DeadlinePassed, outcome: Outcome.NotRun, detail: ''};
	}

	if (request.once && request.idempotencyKey === '') {
		return {kind: RefusalKind.KeyMissing, outcome: Outcome.NotRun, detail: ''};
	}

	return undefined;
}

export function onCallerRequest(world: World, {request: arrived}: InboundOf<'callerRequest'>) {
	const request = createRequest(world, arrived);
	const refusal = arrivalRefusal(world, request);
	if (refusal) {
		world.outbox.push({kind: 'refuse', request: request.id, refusal});
		return;
	}

	world.requests.set(request);
	if (request.once) {
		checkRun(world, request);
		return;
	}

	enqueue(world, request);
}

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
function cutOff(): Refusal {
	return {
		kind: RefusalKind.CutOff, outcome: Outcome.NotRun, detail: '', retryAfterMs: second,
	};
}

function noCapacity({pool}: Request): Refusal {
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

function tell(world: World, request: Request, refusal: Refusal) {
	const outcome = request.mayHaveRun && refusal.outcome === Outcome.NotRun ? Outcome.Unknown : refusal.outcome;
	world.outbox.push({kind: 'refuse', request: request.id, refusal: {...refusal, outcome}});
}

/** Forgets a request of which nothing more is to be said. */
export function forget(world: World, request: Request) {
	world.requests.delete(request.id);
	world.outbox.push({kind: 'closed', request: request.id});
}

/** Gives up what a request holds: its place in a queue, its permit, and its run record if nothing has left. */
function release(world: World, request: Request) {
	releases[request.state]?.(world, request);
	if (request.runNonce !== '' && !request.mayHaveRun) {
		dropRun(world, request);
	}
}

const releases: Partial<Record<RequestState, (world: World, request: Request) => void>> = {
	[RequestState.Queued](world, request) {
		leaveQueue(world, request, false);
		if (request.holder !== '') {
			send(world, request.holder, {kind: 'ticketCancel', ticket: request.id});
		}
	},
	[RequestState.Claiming]: giveBack,
};

export function onCallerGone(world: World, {request: id}: InboundOf<'callerGone'>) {
	const request = world.requests.get(id);
	if (!request || request.isClosed) {
		return;
	}

	if (request.state !== RequestState.Running) {
		release(world, request);
		forget(world, request);
		return;
	}

	// A `once` request that may have left runs to its end, so that its caller finds the answer on return.
	request.isClosed = true;
	if (!request.once) {
		world.outbox.push({kind: 'abortAnswer', request: id});
	}
}

export function onPermitGrant(world: World, from: string, message: PeerMessageOf<'permitGrant'>) {
	const request = world.requests.get(message.ticket);
	if (request?.state !== RequestState.Queued || request.holder !== from) {
		returnPermit(world, from, message);
		return;
	}

	if (from !== world.self.id && world.now - world.resumedAt < message.startWithinMs) {
		// The grant may have waited here while this router was paused.
		returnPermit(world, from, message);
		place(world, request);
		return;
	}

	leaveQueue(world, request, true);
	request.target = message.target;
	request.epoch = message.epoch;
	request.startBy = world.now + message.startWithinMs;
	request.attempts += 1;
	request.startedAt = world.now;
	if (request.once) {
		claimRun(world, request);
		return;
	}

	startAnswer(world, request);
}

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

function returnPermit(world: World, owner: string, {ticket, target, epoch}: {ticket: string; target: string; epoch: number}) {
	send(world, owner, {
		kind: 'permitReturn', ticket, target, epoch, end: AttemptEnd.Unused, outputTokens: 0, firstByteMs: 0, betweenTokensMs: 0,
	});
}

/** Returns a permit that no request has left for its target with; it doesn't count as an attempt. */
export function giveBack(world: World, request: Request) {
	const owner = world.ownerships.get(request.target)?.owner ?? request.holder;
	returnPermit(world, owner, {ticket: request.id, target: request.target, epoch: request.epoch});
	request.target = '';
	request.holder = '';
	request.attempts -= 1;
}

/** Puts a request that had a permit back into its queue. */
function queueAgain(world: World, request: Request) {
	request.state = RequestState.Queued;
	enterQueue(world, request);
	place(world, request);
}

type ReturnHandler = (world: World, request: Request, message: PeerMessageOf<'ticketReturn'>) => void;

function placeAnew(world: World, request: Request, {next}: PeerMessageOf<'ticketReturn'>) {
	if (next !== '' && canHold(world, world.members.get(next))) {
		placeAt(world, request, next);
		return;
	}

	place(world, request);
}

const returnHandlers: Record<TicketReturnReason, ReturnHandler> = {
	[TicketReturnReason.NotOwner]: placeAnew,
	[TicketReturnReason.Leaving]: placeAnew,
	[TicketReturnReason.Rebalance]: placeAnew,
};

export function onTicketReturn(world: World, from: string, message: PeerMessageOf<'ticketReturn'>) {
	const request = world.requests.get(message.ticket);
	if (request?.state === RequestState.Queued && request.holder === from) {
		returnHandlers[message.reason](world, request, message);
	}
}

function refuseLate(world: World, request: Request) {
	refuse(world, request, lateRefusal(world, request));
}

function lateRefusal(world: World, request: Request): Refusal {
	return {
		kind: RefusalKind.DeadlinePassed,
		outcome: Outcome.NotRun,
		detail: '',
		retryAfterMs: retryAfter(world, demandOf(world, request)),
	};
}

/** Queues a request again after an attempt of which no byte reached the caller, if its budget and deadline allow. */
export function retry(world: World, request: Request, detail: string) {
	request.excluded.push(request.target);
	request.target = '';
	request.holder = '';
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

/** What becomes of a request whose deadline passes, by its state. */
const overdue: Record<RequestState, (world: World, request: Request) => void> = {
	[RequestState.Arrived]: refuseLate,
	[RequestState.Checking]: refuseLate,
	[RequestState.Queued]: refuseLate,
	[RequestState.Claiming]: refuseLate,
	[RequestState.Following]: refuseRunning,
	[RequestState.Running](world, request) {
		if (!request.delivered && !request.isClosed) {
			giveUpRunning(world, request);
		}
	},
};

/** Tells the caller at once; what the attempt holds is released when it has ended. */
function giveUpRunning(world: World, request: Request) {
	if (!request.once) {
		world.outbox.push({kind: 'abortAnswer', request: request.id});
	}

	tell(world, request, request.once
		? {
			kind: RefusalKind.RunInProgress, outcome: Outcome.Unknown, detail: '', retryAfterMs: second,
		}
		: {...lateRefusal(world, request), outcome: Outcome.Unknown});
	request.isClosed = true;
}

/** Gives up requests whose deadline passed without a byte of an answer, and queued ones that can't be served soon. */
export function deadlinesSystem(world: World) {
	if (!due(world, 'deadlines', deadlineMs)) {
		return;
	}

	for (const request of world.requests.rows()) {
		if (request.deadline <= world.now) {
			overdue[request.state](world, request);
		} else if (request.state === RequestState.Queued && !hasTarget(world, request.pool)) {
			refuse(world, request, noCapacity(request));
		} else if (request.state === RequestState.Queued && isCutOff(world)) {
			refuse(world, request, cutOff());
		}
	}
}
