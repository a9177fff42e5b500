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
import {canHold, place, placeAt} from './placement.ts';
import {
	hasTarget, isPool, rebuildRoutes, routesOf,
} from './routes.ts';
import {checkRun, claimRun, dropRun} from './runs.ts';

/** Period at which deadlines are looked at, in milliseconds. */
const deadlineMs = 100;

function createRequest(world: World, arrived: CallerRequest): Request {
	return {
		...arrived,
		state: RequestState.Queued,
		arrivedAt: world.now,
		attempts: 0,
		resumes: 0,
		holder: '',
		queueCost: queueCostOf(world, arrived),
		excluded: [],
		target: '',
		epoch: 0,
		startedAt: 0,
		outputTokens: 0,
		delivered: false,
		runNonce: '',
		runVersion: 0,
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
	const refusal = hasTarget(world, request.pool)
		? queueRefusal(world, request)
		: {
			kind: RefusalKind.NoCapacity, outcome: Outcome.NotRun, detail: request.pool, retryAfterMs: 5 * second,
		};
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

/** Gives a request its final answer and forgets it. */
export function refuse(world: World, request: Request, refusal: Refusal) {
	leave(world, request);
	world.requests.delete(request.id);
	world.outbox.push({kind: 'refuse', request: request.id, refusal});
}

/** Takes a request out of the queue that it waits in, if it does. */
function leave(world: World, request: Request) {
	if (request.state !== RequestState.Queued) {
		return;
	}

	leaveQueue(world, request, false);
	if (request.holder !== '') {
		send(world, request.holder, {kind: 'ticketCancel', ticket: request.id});
	}
}

export function onCallerGone(world: World, {request: id}: InboundOf<'callerGone'>) {
	const request = world.requests.get(id);
	if (!request) {
		return;
	}

	if (request.state === RequestState.Queued || request.state === RequestState.Checking || request.state === RequestState.Following) {
		leave(world, request);
		world.requests.delete(id);
		return;
	}

	// A `once` request that may have left runs to its end, so that its caller finds the answer on return.
	if (request.state === RequestState.Running && !request.once) {
		world.outbox.push({kind: 'abortAnswer', request: id});
	}
}

export function onPermitGrant(world: World, from: string, message: PeerMessageOf<'permitGrant'>) {
	const request = world.requests.get(message.ticket);
	if (request?.state !== RequestState.Queued || request.holder !== from) {
		returnPermit(world, from, message, AttemptEnd.Unused);
		return;
	}

	leaveQueue(world, request, true);
	request.target = message.target;
	request.epoch = message.epoch;
	request.attempts += 1;
	if (request.once) {
		claimRun(world, request);
		return;
	}

	startAnswer(world, request);
}

/** Lets the edge connect to the target that the request has a permit for. */
export function startAnswer(world: World, request: Request) {
	const target = world.configuration.targets.get(request.target);
	if (!target) {
		giveBack(world, request, AttemptEnd.Unused);
		enqueue(world, request);
		return;
	}

	request.state = RequestState.Running;
	request.startedAt = world.now;
	world.outbox.push({
		kind: 'startAnswer', request: request.id, target: target.id, url: target.url, epoch: request.epoch,
	});
}

function returnPermit(world: World, owner: string, {ticket, target, epoch}: {ticket: string; target: string; epoch: number}, end: AttemptEnd) {
	send(world, owner, {
		kind: 'permitReturn', ticket, target, epoch, end, outputTokens: 0, firstByteMs: 0, betweenTokensMs: 0,
	});
}

/** Returns a permit that no request has left for its target with. */
export function giveBack(world: World, request: Request, end: AttemptEnd) {
	const owner = world.ownerships.get(request.target)?.owner ?? request.holder;
	returnPermit(world, owner, {ticket: request.id, target: request.target, epoch: request.epoch}, end);
	request.target = '';
	request.holder = '';
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
	[TicketReturnReason.QueueFull]: placeAnew,
	[TicketReturnReason.Late](world, request) {
		refuse(world, request, lateRefusal(world, request));
	},
};

export function onTicketReturn(world: World, from: string, message: PeerMessageOf<'ticketReturn'>) {
	const request = world.requests.get(message.ticket);
	if (request?.state === RequestState.Queued && request.holder === from) {
		returnHandlers[message.reason](world, request, message);
	}
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
export function retry(world: World, request: Request, detail: string, outcome: Outcome) {
	request.excluded.push(request.target);
	request.target = '';
	request.holder = '';
	request.outputTokens = 0;
	const targets = routesOf(world, request.pool).flatMap(route => route.targets);
	if (targets.every(target => request.excluded.includes(target))) {
		request.excluded = request.excluded.slice(-1);
	}

	const mayRetry = request.attempts < world.limits.maxAttempts
		&& request.deadline > world.now
		&& spendRetry(world, request);
	if (mayRetry) {
		request.state = RequestState.Queued;
		enterQueue(world, request);
		place(world, request);
		return;
	}

	dropRun(world, request);
	refuse(world, request, {
		kind: RefusalKind.TargetFailed, outcome, detail, retryAfterMs: retryAfter(world, demandOf(world, request)),
	});
}

/** Gives up requests whose deadline passed while they waited, and hears of the loss of every target. */
export function deadlinesSystem(world: World) {
	if (!due(world, 'deadlines', deadlineMs)) {
		return;
	}

	for (const request of world.requests.rows()) {
		if (request.state === RequestState.Queued && request.deadline <= world.now) {
			refuse(world, request, lateRefusal(world, request));
		}
	}
}
