/*
One step of the core: handles the inbox in order, runs the systems in order, and returns the outbox. Deterministic: the
same world, times and inboxes give the same outboxes. A step runs on each tick and at once when a message arrives.
*/
import type {PeerMessage, PeerMessageOf} from './messages.ts';
import type {
	Inbound, InboundOf, Outbound, StoredObject,
} from './ports.ts';
import {
	onAnswerEnded, onAnswerProgress, onAnswerStarted, progressSystem,
} from './systems/requests/answers.ts';
import {Outcome, RefusalKind} from './refusal.ts';
import {abandonedPermitsSystem} from './systems/targets/abandoned.ts';
import {onPermitAnnounce} from './systems/targets/announcements.ts';
import {budgetsSystem} from './systems/targets/budgets.ts';
import {demandsSystem} from './systems/requests/demands.ts';
import {digestsSystem, onDigest, silentMembersSystem} from './systems/membership/digests.ts';
import {dispatchSystem} from './systems/fair-shares/dispatch.ts';
import {lateAnswersSystem, onLoadReport} from './systems/targets/evidence.ts';
import {leaseSystem, onLeaseRelay, onLeaseRelayResult} from './systems/membership/lease.ts';
import {membershipSystem, onInstanceList} from './systems/membership/membership.ts';
import {onOwnerObject, onTargetHandover, ownershipSystem} from './systems/ownership/ownership.ts';
import {onPermitReturn} from './systems/targets/permit-returns.ts';
import {onPermitProgress} from './systems/targets/permits.ts';
import {reofferLostTickets, ticketOffersSystem} from './systems/requests/ticket-offers.ts';
import {onWorkRequest, rebalanceSystem, workRequestSystem} from './systems/fair-shares/rebalance.ts';
import {
	onReleaseNotes, onReleaseObject, onReleaseRequest, releasesSystem,
} from './systems/releases/releases.ts';
import {
	onCallerGone, onCallerRequest, onPermitGrant, onTicketReturn,
} from './systems/requests/arrivals.ts';
import {deadlinesSystem} from './systems/requests/deadlines.ts';
import {onReleaseProposed} from './systems/releases/proposals.ts';
import {routesSystem} from './systems/requests/routes.ts';
import {runWritesSystem} from './systems/requests/run-records.ts';
import {duplicatesSystem} from './systems/requests/runs.ts';
import {onStopRequested, stopSystem} from './systems/stop/stop.ts';
import {
	onTicketCancel, onTicketOffer, returnOriginTickets, ticketsSystem,
} from './systems/fair-shares/tickets.ts';
import type {World} from './world.ts';

type InboundHandlers = {[Kind in Inbound['kind']]: (world: World, inbound: InboundOf<Kind>) => void};
type PeerHandlers = {[Kind in PeerMessage['kind']]: (world: World, from: string, message: PeerMessageOf<Kind>, incarnation: string) => void};

/** Handlers of changed objects, by watched key prefix of the Object API. */
export const watchedPrefixes: Record<string, (world: World, object: StoredObject) => void> = {
	'owner/': onOwnerObject,
	'release/': onReleaseObject,
};

/** Systems in the order in which they run at the end of each step. */
const systems: Array<(world: World) => void> = [
	leaseSystem,
	membershipSystem,
	releasesSystem,
	ownershipSystem,
	routesSystem,
	budgetsSystem,
	lateAnswersSystem,
	abandonedPermitsSystem,
	silentMembersSystem,
	ticketsSystem,
	deadlinesSystem,
	ticketOffersSystem,
	duplicatesSystem,
	runWritesSystem,
	dispatchSystem,
	rebalanceSystem,
	workRequestSystem,
	progressSystem,
	demandsSystem,
	digestsSystem,
	stopSystem,
];

/** Maximum rounds of loopback messages in one step; the rest wait for the next step. */
const maxLoopbackRounds = 8;

function onStoreEvent(world: World, {object}: InboundOf<'storeEvent'>) {
	const prefix = object.key.slice(0, object.key.indexOf('/') + 1);
	watchedPrefixes[prefix]?.(world, object);
}

function onStoreReply(world: World, reply: InboundOf<'storeReply'>) {
	const onReply = world.pendingOperations.get(reply.operation);
	world.pendingOperations.delete(reply.operation);
	if (reply.result.kind !== 'unknown' && reply.result.kind !== 'unavailable') {
		world.storeReachedAt = world.now;
	}

	onReply?.({result: reply.result, objects: reply.objects ?? []});
}

/** Messages about routed calls, which this core doesn't serve. */
function ignoreMessage() {
	// Nothing to do.
}

const peerHandlers: PeerHandlers = {
	ticketOffer: onTicketOffer,
	ticketCancel: onTicketCancel,
	ticketReturn: onTicketReturn,
	permitGrant: onPermitGrant,
	permitProgress: onPermitProgress,
	permitReturn: onPermitReturn,
	permitAnnounce: onPermitAnnounce,
	workRequest: onWorkRequest,
	targetHandover: onTargetHandover,
	digest: onDigest,
	releaseRequest: onReleaseRequest,
	releaseNotes: onReleaseNotes,
	leaseRelay: onLeaseRelay,
	leaseRelayResult: onLeaseRelayResult,
	streamRecords: ignoreMessage,
	streamQuery: ignoreMessage,
	streamReply: ignoreMessage,
};

function onPeerMessage(world: World, from: string, message: PeerMessage, incarnation: string) {
	// Each handler accepts only the message kind under which it is listed.
	const handler = peerHandlers[message.kind] as (world: World, from: string, message: PeerMessage, incarnation: string) => void;
	handler(world, from, message, incarnation);
}

const inboundHandlers: InboundHandlers = {
	callerRequest: onCallerRequest,
	callerGone: onCallerGone,
	answerStarted: onAnswerStarted,
	answerProgress: onAnswerProgress,
	answerEnded: onAnswerEnded,
	peerMessage(world, {from, message, incarnation}) {
		onPeerMessage(world, from, message, incarnation);
	},
	peerLost(world, {member}) {
		reofferLostTickets(world, member);
		returnOriginTickets(world, member);
	},
	storeReply: onStoreReply,
	storeEvent: onStoreEvent,
	loadReport: onLoadReport,
	releaseProposed: onReleaseProposed,
	instanceList: onInstanceList,
	stopRequested: onStopRequested,
};

/** Part of a step that threw. */
export type StepFailure = {
	/** Kind of the message, or name of the system. */
	part: string;
	error: unknown;
};

type OnFailure = (failure: StepFailure) => void;

function runSystems(world: World, onFailure: OnFailure) {
	for (const system of systems) {
		try {
			system(world);
		} catch (error) {
			onFailure({part: system.name, error});
			onStopRequested(world);
		}
	}
}

function processLoopback(world: World, onFailure: OnFailure): boolean {
	const messages = world.loopback;
	world.loopback = [];
	for (const message of messages) {
		try {
			onPeerMessage(world, world.self.id, message, world.self.incarnation);
		} catch (error) {
			onFailure({part: message.kind, error});
		}
	}

	return messages.length > 0;
}

function findRequestId(inbound: Inbound): string | undefined {
	if (!('request' in inbound)) {
		return undefined;
	}

	return typeof inbound.request === 'string' ? inbound.request : inbound.request.id;
}

/** Drops an event that can't be handled, and gives its request a final answer. */
function dropInbound(world: World, inbound: Inbound) {
	const id = findRequestId(inbound);
	if (id === undefined) {
		return;
	}

	const request = world.requests.get(id);
	const outcome = inbound.kind === 'callerRequest' && !request?.mayHaveRun ? Outcome.NotRun : Outcome.Unknown;
	world.outbox.push({kind: 'refuse', request: id, refusal: {kind: RefusalKind.InternalError, outcome, detail: ''}});
	try {
		onCallerGone(world, {kind: 'callerGone', request: id});
	} catch {
		// What made its handling fail may be in the row of the request itself.
		world.requests.delete(id);
	}
}

function rethrow({error}: StepFailure) {
	throw error;
}

/**
Handles the inbox, runs the systems, and returns the outbox.

@param onFailure Called for each part of the step that throws, which is then left out: an event is dropped, and its request, if it is
about one, refused. A system belongs to no request, so the router stops as planned while the other systems run on. By default it throws.
@param now Monotonic time in milliseconds; a time earlier than the last step's is replaced by it.
*/
export function step(world: World, now: number, inbox: Iterable<Inbound>, onFailure: OnFailure = rethrow): Outbound[] {
	if (now - world.now > world.limits.startWithinMs) {
		world.resumedAt = now;
	}

	world.now = Math.max(world.now, now);
	for (const inbound of inbox) {
		const handler = inboundHandlers[inbound.kind] as (world: World, inbound: Inbound) => void;
		try {
			handler(world, inbound);
		} catch (error) {
			onFailure({part: inbound.kind, error});
			dropInbound(world, inbound);
		}
	}

	runSystems(world, onFailure);
	for (let round = 0; round < maxLoopbackRounds && processLoopback(world, onFailure); round += 1) {
		runSystems(world, onFailure);
	}

	const {outbox} = world;
	world.outbox = [];
	return outbox;
}
