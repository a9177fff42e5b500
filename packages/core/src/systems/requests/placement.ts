/*
Places the tickets of this router's requests at owners, and places them anew when their holder is gone: at this router
itself while it has a free slot, else at an owner with free slots, nearest first, else where the queue is shortest for
its budget.
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
import {budgetOf, freeOf} from '../fair-shares/dispatch.ts';
import {isLastToLeave} from '../stop/leaving.ts';
import {isAlive} from '../membership/quorum.ts';
import {routesOf} from './routes.ts';

/** Period at which requests whose ticket is lost are placed anew, in milliseconds. */
const replaceMs = 100;

/** A ticket is offered anew after this time, in case that its holder lost it; one that it has is left as it is. */
const reofferMs = 5 * second;

type Candidate = {
	owner: string;
	isNear: boolean;
	free: number;
	budget: number;
	waiting: number;
};

/** Whether a member can take tickets now; while all are leaving, leaving ones serve what their callers still send. */
export function canHold(world: World, member: Member | undefined): member is Member {
	return (member?.state === MemberState.Active || (member !== undefined && isLastToLeave(world)))
		&& (member.id === world.self.id || isAlive(world, member));
}

function ownEntry(world: World, pool: string): PoolEntry {
	let waiting = 0;
	for (const service of world.services.group(pool)) {
		waiting += service.waiting;
	}

	return {
		pool, free: freeOf(world, pool), budget: budgetOf(world, pool), waiting, frontier: -1,
	};
}

/** Load of one owner for a pool: exact for this router, by the last digest for others. */
export function loadOf(world: World, owner: string, pool: string): PoolEntry | undefined {
	return owner === world.self.id ? ownEntry(world, pool) : world.members.get(owner)?.pools.get(pool);
}

function candidateOf(world: World, route: Route, pool: string): Candidate {
	const load = loadOf(world, route.owner, pool);
	return {
		owner: route.owner,
		isNear: world.members.get(route.owner)?.failureDomain === world.self.failureDomain,
		free: load?.free ?? 0,
		budget: Math.max(1, load?.budget ?? 1),
		waiting: load?.waiting ?? 0,
	};
}

/** Owners that could serve a request now. */
function candidates(world: World, request: Request): Candidate[] {
	return routesOf(world, request.pool)
		.filter(route => canHold(world, world.members.get(route.owner)))
		.filter(route => route.targets.some(target => !request.excluded.includes(target)))
		.map(route => candidateOf(world, route, request.pool));
}

function freest(world: World, all: Candidate[]): Candidate | undefined {
	// Of two drawn at random the freer one: routers with the same digest don't all choose alike.
	const first = pickRandom(world, all);
	const second = pickRandom(world, all);
	return first && second && second.free > first.free ? second : first;
}

function shortest(all: Candidate[]): Candidate | undefined {
	let best: Candidate | undefined;
	for (const candidate of all) {
		if (!best || candidate.waiting / candidate.budget < best.waiting / best.budget) {
			best = candidate;
		}
	}

	return best;
}

/** Owner at which a request's ticket is best placed; undefined when none is known. */
export function chooseOwner(world: World, request: Request): string | undefined {
	const all = candidates(world, request);
	const own = all.find(candidate => candidate.owner === world.self.id);
	if (own && own.free > 0 && own.waiting === 0) {
		return own.owner;
	}

	const withFree = all.filter(candidate => candidate.free > 0 && candidate.waiting === 0);
	const near = withFree.filter(candidate => candidate.isNear);
	const free = freest(world, near) ?? freest(world, withFree);
	if (free) {
		return free.owner;
	}

	return (own ?? shortest(all.filter(candidate => candidate.isNear)) ?? shortest(all))?.owner;
}

/** Binds a request to one target, for the baseline without late binding. */
function bind(world: World, request: Request): string | undefined {
	const routes = routesOf(world, request.pool).filter(route => canHold(world, world.members.get(route.owner)));
	const targets = routes.flatMap(route => route.targets.map(target => ({target, owner: route.owner})));
	const bound = selectByRendezvous(request.id, targets, candidate => candidate.target);
	request.excluded = targets.map(({target}) => target).filter(target => target !== bound?.target);
	return bound?.owner;
}

function offer(world: World, request: Request): TicketOffer {
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

/** Puts the ticket of a request at a given owner. */
export function placeAt(world: World, request: Request, owner: string) {
	request.ticketOwner = owner;
	request.offeredAt = world.now;
	const load = world.members.get(owner)?.pools.get(request.pool);
	if (load && owner !== world.self.id) {
		// Until the next digest, later placements see what was sent.
		load.free -= 1;
		load.waiting += load.free < 0 ? 1 : 0;
	}

	send(world, owner, offer(world, request));
}

/** Lets a request that has failed everywhere try again, the last target last. */
function readmit(world: World, request: Request) {
	const targets = routesOf(world, request.pool).flatMap(route => route.targets);
	if (targets.length > 0 && targets.every(target => request.excluded.includes(target))) {
		request.excluded = targets.length > 1 ? request.excluded.slice(-1) : [];
	}
}

/** Places the ticket of a request; it stays unplaced while no owner is known. */
export function place(world: World, request: Request) {
	readmit(world, request);
	const owner = world.limits.discipline === Discipline.Bound ? bind(world, request) : chooseOwner(world, request);
	request.ticketOwner = '';
	if (owner !== undefined) {
		placeAt(world, request, owner);
	}
}

/** Places requests anew whose ticket is nowhere or at a member that can't hold it any more. */
export function placementSystem(world: World) {
	if (!startPeriodIfDue(world, 'placement', replaceMs)) {
		return;
	}

	for (const request of world.requests.rows()) {
		if (request.state !== RequestState.Queued) {
			continue;
		}

		if (!canHold(world, world.members.get(request.ticketOwner))) {
			if (request.ticketOwner !== '') {
				send(world, request.ticketOwner, {kind: 'ticketCancel', ticket: request.id});
			}

			place(world, request);
		} else if (world.now - request.offeredAt >= reofferMs) {
			request.offeredAt = world.now;
			send(world, request.ticketOwner, offer(world, request));
		}
	}
}

/** Places anew what was offered to a member whose stream broke: its messages may be lost. */
export function forgetHolder(world: World, member: string) {
	for (const request of world.requests.rows()) {
		if (request.state === RequestState.Queued && request.ticketOwner === member) {
			request.ticketOwner = '';
			place(world, request);
		}
	}
}

/** A share of a time, at random, so that callers that were refused together don't come back together. */
export function spread(world: World, ms: number): number {
	return Math.round(ms * (1 + (randomFraction(world) * 0.25)));
}
