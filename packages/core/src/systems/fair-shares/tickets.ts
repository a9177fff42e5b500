/*
Tickets that wait at this router as the owner of fitting targets: taken, cancelled, given back.
*/
import {
	MemberState, TicketReturnReason, type PeerMessageOf,
} from '../../messages.ts';
import type {Ticket} from '../../rows.ts';
import {startPeriodIfDue, send, type World} from '../../world.ts';
import {isLastToLeave} from '../stop/leaving.ts';
import {getRequestOrigin} from '../targets/permits.ts';
import {isAlive} from '../membership/quorum.ts';
import {isIn} from '../requests/routes.ts';
import {addTicket, removeTicket} from './services.ts';

/** Period at which waiting tickets are looked through, in milliseconds. */
const sweepMs = 250;

function giveTicketBack(world: World, ticket: {ticket: string; origin: string}, reason: TicketReturnReason) {
	send(world, ticket.origin, {
		kind: 'ticketReturn', ticket: ticket.ticket, reason, next: '',
	});
}

/** Whether tickets belong elsewhere because this router is leaving; the last ones to leave serve them. */
function mustHandOn(world: World): boolean {
	return world.state === MemberState.Leaving && !isLastToLeave(world);
}

/** Whether this router owns a target of the pool that operators let work go to. */
export function ownsPool(world: World, pool: string): boolean {
	for (const budget of world.budgets.rows()) {
		const target = world.configuration.targets.get(budget.target);
		if (target?.pools.includes(pool) && isIn(world.configuration, target)) {
			return true;
		}
	}

	return false;
}

export function onTicketOffer(world: World, _from: string, offer: PeerMessageOf<'ticketOffer'>) {
	const ticket: Ticket = {
		ticket: offer.ticket,
		origin: getRequestOrigin(offer.ticket),
		workspace: offer.workspace,
		pool: offer.pool,
		inputTokens: offer.inputTokens,
		prefixHash: offer.prefixHash,
		deadline: world.now + offer.remainingMs,
		arrivedAt: world.now - offer.waitedMs,
		excluded: offer.excluded,
	};
	if (world.permits.has(ticket.ticket)) {
		// Its grant is under way; a lost one comes to light when the holder doesn't report the permit.
		return;
	}

	if (mustHandOn(world)) {
		giveTicketBack(world, ticket, TicketReturnReason.Leaving);
		return;
	}

	if (!ownsPool(world, ticket.pool)) {
		giveTicketBack(world, ticket, TicketReturnReason.NotOwner);
		return;
	}

	addTicket(world, ticket);
}

export function onTicketCancel(world: World, _from: string, {ticket}: PeerMessageOf<'ticketCancel'>) {
	removeTicket(world, ticket);
}

/** Gives back tickets that this router can't serve any more, and drops those whose holder or deadline is gone. */
export function ticketsSystem(world: World) {
	if (!startPeriodIfDue(world, 'tickets', sweepMs)) {
		return;
	}

	const isHandingOn = mustHandOn(world);
	for (const ticket of world.tickets.rows()) {
		const reason = isHandingOn ? TicketReturnReason.Leaving : reasonToReturn(world, ticket);
		if (reason !== undefined) {
			removeTicket(world, ticket.ticket);
			giveTicketBack(world, ticket, reason);
		} else if (ticket.deadline < world.now - sweepMs) {
			removeTicket(world, ticket.ticket);
		}
	}
}

/** Why a ticket can't stay here; a holder that isn't heard could not use a permit. */
function reasonToReturn(world: World, {pool, origin}: Ticket): TicketReturnReason | undefined {
	const holder = world.members.get(origin);
	const isReachable = origin === world.self.id || (holder !== undefined && isAlive(world, holder));
	return ownsPool(world, pool) && isReachable ? undefined : TicketReturnReason.NotOwner;
}

/** Gives back the tickets of a member whose stream broke: it may be gone, and grants to it may be lost. */
export function returnTickets(world: World, member: string) {
	for (const ticket of world.tickets.rows()) {
		if (ticket.origin === member) {
			removeTicket(world, ticket.ticket);
			giveTicketBack(world, ticket, TicketReturnReason.NotOwner);
		}
	}
}
