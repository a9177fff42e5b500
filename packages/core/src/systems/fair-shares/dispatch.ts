/*
Gives permits for free slots to waiting tickets: the workspace with the least virtual time first, and within it the oldest
ticket. While others wait, a workspace holds no more than a multiple of its share of the slots.
*/
import {Discipline} from '../../limits.ts';
import {computeRendezvousScore} from '../../rendezvous-hash.ts';
import type {Budget, Service, Ticket} from '../../rows.ts';
import {
	send, getServiceKey, type World,
} from '../../world.ts';
import {countFreeSlots} from '../targets/budgets.ts';
import {canDispatch} from '../membership/lease.ts';
import {addPermit} from '../targets/permits.ts';
import {
	removeTicket, virtualTimeOf, waitingPools, waitingServices, weightOf,
} from './services.ts';

/** How many tickets of one workspace are tried when the first ones exclude the free targets. */
const depth = 8;

type Slot = {budget: Budget; free: number};

/** Free slots of this router's targets that serve a pool. */
export function slotsOf(world: World, pool: string): Slot[] {
	const slots: Slot[] = [];
	for (const budget of world.budgets.rows()) {
		if (world.configuration.targets.get(budget.target)?.pools.includes(pool)) {
			const free = countFreeSlots(world, budget);
			if (free > 0) {
				slots.push({budget, free});
			}
		}
	}

	return slots;
}

/** Number of free slots of this router's targets that serve a pool. */
export function freeOf(world: World, pool: string): number {
	let free = 0;
	for (const slot of slotsOf(world, pool)) {
		free += slot.free;
	}

	return free;
}

/** Pools that this router's targets serve. */
export function ownPools(world: World): Set<string> {
	const pools = new Set<string>();
	for (const budget of world.budgets.rows()) {
		for (const pool of world.configuration.targets.get(budget.target)?.pools ?? []) {
			pools.add(pool);
		}
	}

	return pools;
}

/** Sum of the budgets of this router's targets that serve a pool. */
export function budgetOf(world: World, pool: string): number {
	let sum = 0;
	for (const budget of world.budgets.rows()) {
		if (world.configuration.targets.get(budget.target)?.pools.includes(pool)) {
			sum += budget.budget;
		}
	}

	return sum;
}

/** Most permits that a workspace may hold here while others wait. */
function inFlightLimit(world: World, service: Service, waiting: Service[], budget: number): number {
	let weights = 0;
	for (const other of waiting) {
		weights += weightOf(world, other.workspace);
	}

	const share = weightOf(world, service.workspace) / weights;
	return Math.max(1, Math.ceil(share * budget * world.limits.maxInFlightFactor));
}

function chooseSlot(ticket: Ticket, slots: Slot[]): Slot | undefined {
	const fitting = slots.filter(slot => slot.free > 0 && !ticket.excluded.includes(slot.budget.target));
	if (fitting.length < 2) {
		return fitting[0];
	}

	// The same prefix goes to the same target while that has a free slot: its cache may hold the prefix.
	const score = ticket.prefixHash === 0
		? (slot: Slot) => slot.free / slot.budget.budget
		: (slot: Slot) => computeRendezvousScore(String(ticket.prefixHash), slot.budget.target);
	let best = fitting[0]!;
	for (const slot of fitting) {
		if (score(slot) > score(best)) {
			best = slot;
		}
	}

	return best;
}

function firstFitting(world: World, service: Service, slots: Slot[]): {ticket: Ticket; slot: Slot} | undefined {
	let tried = 0;
	for (const ticket of world.tickets.group(getServiceKey(service))) {
		const slot = chooseSlot(ticket, slots);
		if (slot) {
			return {ticket, slot};
		}

		tried += 1;
		if (tried === depth) {
			break;
		}
	}

	return undefined;
}

function grant(world: World, service: Service, ticket: Ticket, slot: Slot) {
	world.virtualTime = Math.max(world.virtualTime, virtualTimeOf(world, service));
	removeTicket(world, ticket.ticket);
	addPermit(world, ticket, slot.budget.target);
	slot.free -= 1;
	send(world, ticket.origin, {
		kind: 'permitGrant',
		ticket: ticket.ticket,
		target: slot.budget.target,
		epoch: slot.budget.epoch,
		startWithinMs: world.limits.startWithinMs,
	});
}

function dispatchOne(world: World, pool: string, slots: Slot[], budget: number): boolean {
	const waiting = waitingServices(world, pool);
	const isFair = world.limits.discipline === Discipline.Fair;
	for (const ignoreLimit of [false, true]) {
		for (const service of waiting) {
			const isLimited = isFair && !ignoreLimit && service.running >= inFlightLimit(world, service, waiting, budget);
			const fit = isLimited ? undefined : firstFitting(world, service, slots);
			if (fit) {
				grant(world, service, fit.ticket, fit.slot);
				return true;
			}
		}
	}

	return false;
}

/** Gives permits until slots or tickets run out. */
export function dispatchSystem(world: World) {
	if (!canDispatch(world)) {
		return;
	}

	for (const pool of waitingPools(world)) {
		const slots = slotsOf(world, pool);
		const budget = budgetOf(world, pool);
		while (slots.some(slot => slot.free > 0) && dispatchOne(world, pool, slots, budget)) {
			// Each round gives one permit.
		}
	}
}
