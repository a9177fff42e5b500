/*
Handles events of this router's requests: arrival of a request, granted permits, returned tickets, and callers that
disconnect.
*/
import {TicketReturnReason, type PeerMessageOf} from '../../messages.ts';
import type {CallerRequest, InboundOf} from '../../ports.ts';
import {Outcome, RefusalKind, type Refusal} from '../../refusal.ts';
import {RequestState, type Request} from '../../rows.ts';
import {second} from '../../units.ts';
import type {World} from '../../world.ts';
import {isCutOff} from '../membership/lease.ts';
import {createStoppingRefusal, isAcceptingRequests} from '../stop/leaving.ts';
import {removeFromQueue, estimateQueueCost} from './demands.ts';
import {acceptsTickets, offerTicket, offerTicketTo} from './ticket-offers.ts';
import {
	createCutOffRefusal, enqueue, removeRequest, cleanUp, returnPermit, startAnswer,
} from './requests.ts';
import {isConfiguredPool} from './routes.ts';
import {checkRunRecord, claimRun} from './runs.ts';

function createRequest(world: World, arrived: CallerRequest): Request {
	return {
		...arrived,
		state: RequestState.Arrived,
		arrivedAt: world.now,
		attempts: 0,
		resumes: 0,
		ticketOwner: '',
		offeredAt: world.now,
		queueCost: estimateQueueCost(world, arrived),
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

/** Returns why a request is refused on arrival; undefined when it is accepted. */
function findArrivalRefusal(world: World, request: Request): Refusal | undefined {
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
		return createCutOffRefusal();
	}

	if (!isConfiguredPool(world, request.pool)) {
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
	const refusal = findArrivalRefusal(world, request);
	if (refusal) {
		world.outbox.push({kind: 'refuse', request: request.id, refusal});
		return;
	}

	world.requests.set(request);
	if (request.once) {
		checkRunRecord(world, request);
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
		cleanUp(world, request);
		removeRequest(world, request);
		return;
	}

	// A `once` request that may have been sent runs to its end, so that the caller gets the answer when it reconnects.
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
		// While this router was paused, the grant may have waited to be read for longer than the permit is valid.
		returnPermit(world, from, message);
		offerTicket(world, request);
		return;
	}

	removeFromQueue(world, request, true);
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

/** Offers the ticket to the owner that the message suggests, if it accepts tickets, otherwise to the best owner. */
function offerReturnedTicket(world: World, request: Request, {next}: PeerMessageOf<'ticketReturn'>) {
	if (next !== '' && acceptsTickets(world, world.members.get(next))) {
		offerTicketTo(world, request, next);
		return;
	}

	offerTicket(world, request);
}

const returnHandlers: Record<TicketReturnReason, ReturnHandler> = {
	[TicketReturnReason.NotOwner]: offerReturnedTicket,
	[TicketReturnReason.Leaving]: offerReturnedTicket,
	[TicketReturnReason.Rebalance]: offerReturnedTicket,
};

export function onTicketReturn(world: World, from: string, message: PeerMessageOf<'ticketReturn'>) {
	const request = world.requests.get(message.ticket);
	if (request?.state === RequestState.Queued && request.ticketOwner === from) {
		returnHandlers[message.reason](world, request, message);
	}
}
