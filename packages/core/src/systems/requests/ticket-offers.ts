/*
Offers the tickets of this router's requests to owners, and offers them again when the ticket owner is no longer available.
The order of preference is: this router while it has a free slot, then an owner with free slots (same failure domain first),
then the owner whose queue is shortest relative to its budget.
*/
import {Discipline} from '../../limits.ts';
import {MemberState, type PoolEntry, type TicketOffer} from '../../messages.ts';
import {
	RequestState, type Member, type Request, type Route,
} from '../../rows.ts';
import {
	startPeriodIfDue, pickRandom, randomFraction, send, type World,
} from '../../world.ts';
import {selectByRendezvous} from '../../rendezvous-hash.ts';
import {second} from '../../units.ts';
import {computePoolBudget, countFreePoolSlots} from '../fair-shares/dispatch.ts';
import {isLastToLeave} from '../stop/leaving.ts';
import {isAlive} from '../membership/quorum.ts';
import {getRoutes} from './routes.ts';

/** Period at which requests without a ticket owner are offered again, in milliseconds. */
const offerPeriodMs = 100;

/** A ticket is offered again to its owner after this time, in case it was lost; an owner that has it ignores the offer. */
const reofferMs = 5 * second;

type Candidate = {
	owner: string;
	isSameDomain: boolean;
	free: number;
	budget: number;
	waiting: number;
};

/**
Returns whether a member can queue tickets now. When no active member is left, leaving members still serve the requests
that their callers send.
*/
export function acceptsTickets(world: World, member: Member | undefined): member is Member {
	return (member?.state === MemberState.Active || (member !== undefined && isLastToLeave(world)))
		&& (member.id === world.self.id || isAlive(world, member));
}

function computeLocalLoad(world: World, pool: string): PoolEntry {
	let waiting = 0;
	for (const served of world.servedTokens.group(pool)) {
		waiting += served.waiting;
	}

	return {
		pool, free: countFreePoolSlots(world, pool), budget: computePoolBudget(world, pool), waiting, frontier: -1,
	};
}

/** Returns the load of an owner for a pool: exact for this router, from the last digest for others. */
export function getLoad(world: World, owner: string, pool: string): PoolEntry | undefined {
	return owner === world.self.id ? computeLocalLoad(world, pool) : world.members.get(owner)?.pools.get(pool);
}

function createCandidate(world: World, route: Route, pool: string): Candidate {
	const load = getLoad(world, route.owner, pool);
	return {
		owner: route.owner,
		isSameDomain: world.members.get(route.owner)?.failureDomain === world.self.failureDomain,
		free: load?.free ?? 0,
		budget: Math.max(1, load?.budget ?? 1),
		waiting: load?.waiting ?? 0,
	};
}

/** Returns the owners that could serve a request now. */
function findCandidates(world: World, request: Request): Candidate[] {
	return getRoutes(world, request.pool)
		.filter(route => acceptsTickets(world, world.members.get(route.owner)))
		.filter(route => route.targets.some(target => !request.excluded.includes(target)))
		.map(route => createCandidate(world, route, request.pool));
}

/**
Picks the one with more free slots of two random candidates. The best candidate of all would be the same for all routers
that have the same digests, so all of them would choose it.
*/
function pickByTwoChoices(world: World, all: Candidate[]): Candidate | undefined {
	const first = pickRandom(world, all);
	const second = pickRandom(world, all);
	return first && second && second.free > first.free ? second : first;
}

function findShortestQueue(all: Candidate[]): Candidate | undefined {
	let best: Candidate | undefined;
	for (const candidate of all) {
		if (!best || candidate.waiting / candidate.budget < best.waiting / best.budget) {
			best = candidate;
		}
	}

	return best;
}

/** Chooses the best owner for a request's ticket; undefined when no owner is available. */
export function chooseOwner(world: World, request: Request): string | undefined {
	const all = findCandidates(world, request);
	const local = all.find(candidate => candidate.owner === world.self.id);
	if (local && local.free > 0 && local.waiting === 0) {
		return local.owner;
	}

	const withFreeSlots = all.filter(candidate => candidate.free > 0 && candidate.waiting === 0);
	const sameDomain = withFreeSlots.filter(candidate => candidate.isSameDomain);
	const free = pickByTwoChoices(world, sameDomain) ?? pickByTwoChoices(world, withFreeSlots);
	if (free) {
		return free.owner;
	}

	return (local ?? findShortestQueue(all.filter(candidate => candidate.isSameDomain)) ?? findShortestQueue(all))?.owner;
}

/** Binds a request to one target and returns its owner. Used by the baseline discipline without late binding. */
function bindToTarget(world: World, request: Request): string | undefined {
	const routes = getRoutes(world, request.pool).filter(route => acceptsTickets(world, world.members.get(route.owner)));
	const targets = routes.flatMap(route => route.targets.map(target => ({target, owner: route.owner})));
	const bound = selectByRendezvous(request.id, targets, candidate => candidate.target);
	request.excluded = targets.map(({target}) => target).filter(target => target !== bound?.target);
	return bound?.owner;
}

function createOffer(world: World, request: Request): TicketOffer {
	return {
		kind: 'ticketOffer',
		ticket: request.id,
		workspace: request.workspace,
		pool: request.pool,
		inputTokens: request.inputTokens,
		prefixHash: request.prefixHash,
		remainingMs: Math.max(0, Math.round(request.deadline - world.now)),
		waitedMs: Math.round(world.now - request.arrivedAt),
		excluded: request.excluded,
	};
}

/** Offers the ticket of a request to a given owner. */
export function offerTicketTo(world: World, request: Request, owner: string) {
	request.ticketOwner = owner;
	request.offeredAt = world.now;
	const load = world.members.get(owner)?.pools.get(request.pool);
	if (load && owner !== world.self.id) {
		// Until the owner's next digest, later choices account for the tickets already sent to it.
		load.free -= 1;
		load.waiting += load.free < 0 ? 1 : 0;
	}

	send(world, owner, createOffer(world, request));
}

/** Lets a request that is excluded from every target of its pool try them again, except the one that failed last. */
function resetExclusions(world: World, request: Request) {
	const targets = getRoutes(world, request.pool).flatMap(route => route.targets);
	if (targets.length > 0 && targets.every(target => request.excluded.includes(target))) {
		request.excluded = targets.length > 1 ? request.excluded.slice(-1) : [];
	}
}

/** Offers the ticket of a request to the best owner; the request has no ticket owner while none is available. */
export function offerTicket(world: World, request: Request) {
	resetExclusions(world, request);
	const owner = world.limits.discipline === Discipline.Bound ? bindToTarget(world, request) : chooseOwner(world, request);
	request.ticketOwner = '';
	if (owner !== undefined) {
		offerTicketTo(world, request, owner);
	}
}

/** Offers tickets again that have no owner, or whose owner no longer accepts tickets or may have lost them. */
export function ticketOffersSystem(world: World) {
	if (!startPeriodIfDue(world, 'placement', offerPeriodMs)) {
		return;
	}

	for (const request of world.requests.rows()) {
		if (request.state !== RequestState.Queued) {
			continue;
		}

		if (!acceptsTickets(world, world.members.get(request.ticketOwner))) {
			if (request.ticketOwner !== '') {
				send(world, request.ticketOwner, {kind: 'ticketCancel', ticket: request.id});
			}

			offerTicket(world, request);
		} else if (world.now - request.offeredAt >= reofferMs) {
			request.offeredAt = world.now;
			send(world, request.ticketOwner, createOffer(world, request));
		}
	}
}

/** Offers tickets again that were sent to a member whose stream broke, since messages on that stream may be lost. */
export function reofferLostTickets(world: World, member: string) {
	for (const request of world.requests.rows()) {
		if (request.state === RequestState.Queued && request.ticketOwner === member) {
			request.ticketOwner = '';
			offerTicket(world, request);
		}
	}
}

/** Lengthens a delay by up to 25 % at random, so that callers that were refused together don't retry together. */
export function addJitter(world: World, ms: number): number {
	return Math.round(ms * (1 + (randomFraction(world) * 0.25)));
}
