/*
Requests of this router's callers: their arrival, the permits and returned tickets that come for them, and callers that
go away.
*/
import {TicketReturnReason, type PeerMessageOf} from '../../messages.ts';
import type {CallerRequest, InboundOf} from '../../ports.ts';
import {Outcome, RefusalKind, type Refusal} from '../../refusal.ts';
import {RequestState, type Request} from '../../rows.ts';
import {second} from '../../units.ts';
import type {World} from '../../world.ts';
import {isCutOff} from '../membership/lease.ts';
import {createStoppingRefusal, isAcceptingRequests} from '../stop/leaving.ts';
import {leaveQueue, queueCostOf} from './demands.ts';
import {canHold, place, placeAt} from './placement.ts';
import {
	cutOff, enqueue, forget, release, returnPermit, startAnswer,
} from './requests.ts';
import {isPool} from './routes.ts';
import {checkRun, claimRun} from './runs.ts';

function createRequest(world: World, arrived: CallerRequest): Request {
	return {
		...arrived,
		state: RequestState.Arrived,
		arrivedAt: world.now,
		attempts: 0,
		resumes: 0,
		ticketOwner: '',
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
	if (!isAcceptingRequests(world)) {
		return createStoppingRefusal();
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
	if (request?.state !== RequestState.Queued || request.ticketOwner !== from) {
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
	if (request?.state === RequestState.Queued && request.ticketOwner === from) {
		returnHandlers[message.reason](world, request, message);
	}
}
