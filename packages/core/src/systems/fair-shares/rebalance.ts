/*
Moves tickets between owners. An owner with free slots and no fitting tickets requests work. An owner whose waiting
workspaces have had less service than those next in turn at another owner moves tickets there.
*/
import {Discipline} from '../../limits.ts';
import {TicketReturnReason, type PeerMessageOf} from '../../messages.ts';
import type {Member, ServedTokens, Ticket} from '../../rows.ts';
import {
	startPeriodIfDue, randomFraction, send, getServedTokensKey, shuffle, type World,
} from '../../world.ts';
import {canDispatch} from '../membership/lease.ts';
import {acceptsTickets, offerTicketTo} from '../requests/ticket-offers.ts';
import {getRoutes} from '../requests/routes.ts';
import {countFreePoolSlots, getServedPools} from './dispatch.ts';
import {
	removeTicket, computeVirtualTime, getWaitingPools, getWaitingInOrder,
} from './served-tokens.ts';

/** Maximum number of members to which newly free slots are advertised. */
const slotFanOut = 8;

/** Maximum tickets that one owner moves to another in one period, as a fraction of the other's budget. */
const maxMoveFraction = 0.25;

/** Moves a waiting ticket to another owner, through the origin router of its request. */
export function moveTicket(world: World, ticket: Ticket, to: string) {
	removeTicket(world, ticket.ticket);
	const request = world.requests.get(ticket.ticket);
	if (request) {
		offerTicketTo(world, request, to);
		return;
	}

	send(world, ticket.origin, {
		kind: 'ticketReturn', ticket: ticket.ticket, reason: TicketReturnReason.Rebalance, next: to,
	});
}

/** Selects at most `count` tickets to move: one per workspace in turn, in the order in which they would be served. */
function selectTicketsToMove(world: World, workspaces: ServedTokens[], count: number): Ticket[] {
	const queues = workspaces.map(served => [...world.tickets.group(getServedTokensKey(served))]);
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
	if (!acceptsTickets(world, world.members.get(from)) || world.limits.discipline === Discipline.Bound) {
		return;
	}

	const tickets = selectTicketsToMove(world, getWaitingInOrder(world, message.pool), message.slots);
	for (const ticket of tickets) {
		moveTicket(world, ticket, from);
	}

	// The remaining slots count as free until the sender's next digest, so new tickets that find no free slot here go there.
	const load = world.members.get(from)?.pools.get(message.pool);
	if (load && tickets.length < message.slots) {
		load.free = message.slots - tickets.length;
		load.waiting = 0;
	}
}

function findBusiest(world: World, pool: string): Member | undefined {
	let best: Member | undefined;
	let bestWaiting = 0;
	for (const member of world.members.rows()) {
		// A random factor keeps idle owners from all requesting work of the same member.
		const waiting = (member.pools.get(pool)?.waiting ?? 0) * (0.5 + randomFraction(world));
		if (member.id !== world.self.id && waiting > bestWaiting && acceptsTickets(world, member)) {
			best = member;
			bestWaiting = waiting;
		}
	}

	return best;
}

function requestWork(world: World, pool: string) {
	const free = countFreePoolSlots(world, pool);
	if (free === 0) {
		world.advertisedSlots.delete(pool);
		return;
	}

	const member = findBusiest(world, pool);
	const load = member?.pools.get(pool);
	if (!member || !load) {
		advertiseSlots(world, pool, free);
		return;
	}

	if (!startPeriodIfDue(world, `work/${pool}/${member.id}`, world.limits.workRequestMs)) {
		return;
	}

	const slots = Math.min(free, Math.ceil(load.waiting));
	load.waiting -= slots;
	send(world, member.id, {kind: 'workRequest', pool, slots});
}

/**
Advertises free slots to some members, those of the same failure domain first, while no ticket is known to wait elsewhere.
Sends when the first slot becomes free, and again each time the number of free slots has doubled.
*/
function advertiseSlots(world: World, pool: string, slots: number) {
	if (slots < 2 * (world.advertisedSlots.get(pool) ?? 0) || !startPeriodIfDue(world, `slots/${pool}`, world.limits.workRequestMs)) {
		return;
	}

	world.advertisedSlots.set(pool, slots);
	const others = [...world.members.rows()].filter(member => member.id !== world.self.id && acceptsTickets(world, member));
	const sameDomain = others.filter(member => member.failureDomain === world.self.failureDomain);
	const otherDomains = others.filter(member => member.failureDomain !== world.self.failureDomain);
	for (const member of [...shuffle(world, sameDomain), ...shuffle(world, otherDomains)].slice(0, slotFanOut)) {
		send(world, member.id, {kind: 'workRequest', pool, slots});
	}
}

/** Requests work for free slots that no ticket here fits; runs after dispatch. */
export function workRequestSystem(world: World) {
	if (world.limits.discipline === Discipline.Bound || !canDispatch(world)) {
		return;
	}

	for (const pool of getServedPools(world)) {
		requestWork(world, pool);
	}
}

function moveTicketsTo(world: World, member: Member, pool: string, waiting: ServedTokens[]) {
	const load = member.pools.get(pool);
	if (!load || load.frontier < 0) {
		return;
	}

	const behind = waiting.filter(served => computeVirtualTime(world, served) + world.limits.rebalanceThreshold < load.frontier);
	const count = Math.ceil(load.budget * maxMoveFraction);
	for (const ticket of selectTicketsToMove(world, behind, count)) {
		moveTicket(world, ticket, member.id);
	}
}

/** Moves tickets to owners that would next serve a workspace of higher virtual time than those that wait here. */
export function rebalanceSystem(world: World) {
	const {discipline, exchange, digestMs} = world.limits;
	if (discipline !== Discipline.Fair || !exchange || !startPeriodIfDue(world, 'rebalance', digestMs)) {
		return;
	}

	for (const pool of getWaitingPools(world)) {
		const waiting = getWaitingInOrder(world, pool);
		for (const route of getRoutes(world, pool)) {
			const member = world.members.get(route.owner);
			if (member && member.id !== world.self.id && acceptsTickets(world, member)) {
				moveTicketsTo(world, member, pool, waiting);
			}
		}
	}
}
