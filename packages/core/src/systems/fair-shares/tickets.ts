/*
Tickets that wait at this router as an owner of targets that can serve them: offers, cancellations and returns to the origin
router.
*/
import {
	MemberState, TicketReturnReason, type PeerMessageOf,
} from '../../messages.ts';
import type {Ticket} from '../../rows.ts';
import {startPeriodIfDue, send, type World} from '../../world.ts';
import {isLastToLeave} from '../stop/leaving.ts';
import {getRequestOrigin} from '../targets/permits.ts';
import {isAlive} from '../membership/quorum.ts';
import {isStandingIn} from '../requests/routes.ts';
import {addTicket, removeTicket} from './served-tokens.ts';

/** Period at which waiting tickets are checked, in milliseconds. */
const sweepPeriodMs = 250;

function returnTicket(world: World, ticket: {ticket: string; origin: string}, reason: TicketReturnReason) {
	send(world, ticket.origin, {
		kind: 'ticketReturn', ticket: ticket.ticket, reason, next: '',
	});
}

/** Returns whether this router returns all tickets because it is leaving; it keeps them when no active router is left. */
function mustReturnTickets(world: World): boolean {
	return world.state === MemberState.Leaving && !isLastToLeave(world);
}

/** Returns whether this router owns a target of the pool that may have new work. */
export function ownsTargetInPool(world: World, pool: string): boolean {
	for (const budget of world.budgets.rows()) {
		const target = world.configuration.targets.get(budget.target);
		if (target?.pools.includes(pool) && isStandingIn(world.configuration, target)) {
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
		// Its grant is in flight. A lost grant is detected when the origin doesn't report the permit.
		return;
	}

	if (mustReturnTickets(world)) {
		returnTicket(world, ticket, TicketReturnReason.Leaving);
		return;
	}

	if (!ownsTargetInPool(world, ticket.pool)) {
		returnTicket(world, ticket, TicketReturnReason.NotOwner);
		return;
	}

	addTicket(world, ticket);
}

export function onTicketCancel(world: World, _from: string, {ticket}: PeerMessageOf<'ticketCancel'>) {
	removeTicket(world, ticket);
}

/** Returns tickets that this router can't serve any more or whose origin is silent, and drops those past their deadline. */
export function ticketsSystem(world: World) {
	if (!startPeriodIfDue(world, 'tickets', sweepPeriodMs)) {
		return;
	}

	const isReturningAll = mustReturnTickets(world);
	for (const ticket of world.tickets.rows()) {
		const reason = isReturningAll ? TicketReturnReason.Leaving : findReturnReason(world, ticket);
		if (reason !== undefined) {
			removeTicket(world, ticket.ticket);
			returnTicket(world, ticket, reason);
		} else if (ticket.deadline < world.now - sweepPeriodMs) {
			removeTicket(world, ticket.ticket);
		}
	}
}

/** Returns why a ticket can't stay here; undefined when it can. A silent origin could not use a permit. */
function findReturnReason(world: World, {pool, origin}: Ticket): TicketReturnReason | undefined {
	const member = world.members.get(origin);
	const isReachable = origin === world.self.id || (member !== undefined && isAlive(world, member));
	return ownsTargetInPool(world, pool) && isReachable ? undefined : TicketReturnReason.NotOwner;
}

/** Returns the tickets of an origin router whose stream broke: it may be gone, and grants sent to it may be lost. */
export function returnOriginTickets(world: World, origin: string) {
	for (const ticket of world.tickets.rows()) {
		if (ticket.origin === origin) {
			removeTicket(world, ticket.ticket);
			returnTicket(world, ticket, TicketReturnReason.NotOwner);
		}
	}
}
