/*
Moves tickets between owners: an owner whose targets run dry asks for work, and an owner whose workspaces wait behind
others moves tickets to owners that serve less deserving work.
*/
import {Discipline} from '../../limits.ts';
import {TicketReturnReason, type PeerMessageOf} from '../../messages.ts';
import type {Member, Service, Ticket} from '../../rows.ts';
import {
	startPeriodIfDue, randomFraction, send, getServiceKey, shuffle, type World,
} from '../../world.ts';
import {canDispatch} from '../membership/lease.ts';
import {canHold, placeAt} from '../requests/placement.ts';
import {routesOf} from '../requests/routes.ts';
import {freeOf, ownPools} from './dispatch.ts';
import {
	removeTicket, virtualTimeOf, waitingPools, waitingServices,
} from './services.ts';

/** Most members that are told of a slot that has become free. */
const slotFanOut = 8;

/** Share of an owner's budget that one other owner moves to it in one period. */
const moveShare = 0.25;

/** Hands a waiting ticket to another owner, by way of the router that holds the request. */
export function moveTicket(world: World, ticket: Ticket, to: string) {
	removeTicket(world, ticket.ticket);
	const request = world.requests.get(ticket.ticket);
	if (request) {
		placeAt(world, request, to);
		return;
	}

	send(world, ticket.origin, {
		kind: 'ticketReturn', ticket: ticket.ticket, reason: TicketReturnReason.Rebalance, next: to,
	});
}

/** Tickets to give away, at most `count`: one of each workspace in turn, in the order in which they would be served. */
function ticketsToMove(world: World, services: Service[], count: number): Ticket[] {
	const queues = services.map(service => [...world.tickets.group(getServiceKey(service))]);
	const tickets: Ticket[] = [];
	for (let row = 0; tickets.length < count && queues.some(queue => row < queue.length); row += 1) {
		for (const queue of queues) {
			const ticket = queue[row];
			if (ticket && tickets.length < count) {
				tickets.push(ticket);
			}
		}
	}

	return tickets;
}

export function onWorkRequest(world: World, from: string, message: PeerMessageOf<'workRequest'>) {
	if (!canHold(world, world.members.get(from)) || world.limits.discipline === Discipline.Bound) {
		return;
	}

	const tickets = ticketsToMove(world, waitingServices(world, message.pool), message.slots);
	for (const ticket of tickets) {
		moveTicket(world, ticket, from);
	}

	// What is left stands until the sender's next digest: tickets that find no free slot here go there.
	const load = world.members.get(from)?.pools.get(message.pool);
	if (load && tickets.length < message.slots) {
		load.free = message.slots - tickets.length;
		load.waiting = 0;
	}
}

function busiest(world: World, pool: string): Member | undefined {
	let best: Member | undefined;
	let bestWaiting = 0;
	for (const member of world.members.rows()) {
		// A random factor keeps dry owners from all asking the same member.
		const waiting = (member.pools.get(pool)?.waiting ?? 0) * (0.5 + randomFraction(world));
		if (member.id !== world.self.id && waiting > bestWaiting && canHold(world, member)) {
			best = member;
			bestWaiting = waiting;
		}
	}

	return best;
}

function askForWork(world: World, pool: string) {
	const free = freeOf(world, pool);
	if (free === 0) {
		world.advertisedSlots.delete(pool);
		return;
	}

	const member = busiest(world, pool);
	const load = member?.pools.get(pool);
	if (!member || !load) {
		offerSlots(world, pool, free);
		return;
	}

	if (!startPeriodIfDue(world, `work/${pool}/${member.id}`, world.limits.workRequestMs)) {
		return;
	}

	const slots = Math.min(free, Math.ceil(load.waiting));
	load.waiting -= slots;
	send(world, member.id, {kind: 'workRequest', pool, slots});
}

/** Tells some members, the nearest first, of free slots while no ticket is known to wait: of the first, then of each doubling. */
function offerSlots(world: World, pool: string, slots: number) {
	if (slots < 2 * (world.advertisedSlots.get(pool) ?? 0) || !startPeriodIfDue(world, `slots/${pool}`, world.limits.workRequestMs)) {
		return;
	}

	world.advertisedSlots.set(pool, slots);
	const others = [...world.members.rows()].filter(member => member.id !== world.self.id && canHold(world, member));
	const near = others.filter(member => member.failureDomain === world.self.failureDomain);
	const far = others.filter(member => member.failureDomain !== world.self.failureDomain);
	for (const member of [...shuffle(world, near), ...shuffle(world, far)].slice(0, slotFanOut)) {
		send(world, member.id, {kind: 'workRequest', pool, slots});
	}
}

/** Asks for work for free slots that no ticket here fits; runs after dispatch. */
export function workRequestSystem(world: World) {
	if (world.limits.discipline === Discipline.Bound || !canDispatch(world)) {
		return;
	}

	for (const pool of ownPools(world)) {
		askForWork(world, pool);
	}
}

function moveToward(world: World, member: Member, pool: string, waiting: Service[]) {
	const load = member.pools.get(pool);
	if (!load || load.frontier < 0) {
		return;
	}

	const behind = waiting.filter(service => virtualTimeOf(world, service) + world.limits.rebalanceThreshold < load.frontier);
	const count = Math.ceil(load.budget * moveShare);
	for (const ticket of ticketsToMove(world, behind, count)) {
		moveTicket(world, ticket, member.id);
	}
}

/** Moves tickets to owners whose next ticket is less deserving than those that wait here. */
export function rebalanceSystem(world: World) {
	const {discipline, exchange, digestMs} = world.limits;
	if (discipline !== Discipline.Fair || !exchange || !startPeriodIfDue(world, 'rebalance', digestMs)) {
		return;
	}

	for (const pool of waitingPools(world)) {
		const waiting = waitingServices(world, pool);
		for (const route of routesOf(world, pool)) {
			const member = world.members.get(route.owner);
			if (member && member.id !== world.self.id && canHold(world, member)) {
				moveToward(world, member, pool, waiting);
			}
		}
	}
}
