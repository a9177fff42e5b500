/*
Grants permits for free slots to waiting tickets: the workspace with the least virtual time first, and within a workspace
the oldest ticket. While others wait, a workspace holds no more than a multiple of its share of the slots.
*/
import {Discipline} from '../../limits.ts';
import {computeRendezvousScore} from '../../rendezvous-hash.ts';
import type {Budget, ServedTokens, Ticket} from '../../rows.ts';
import {
	send, getServedTokensKey, type World,
} from '../../world.ts';
import {countFreeTargetSlots} from '../targets/budgets.ts';
import {canDispatch} from '../membership/lease.ts';
import {addPermit} from '../targets/permits.ts';
import {
	removeTicket, computeVirtualTime, getWaitingPools, getWaitingInOrder, getWeight,
} from './served-tokens.ts';

/** Maximum number of tickets of one workspace to try when the first ones exclude all targets with free slots. */
const maxTicketsTried = 8;

/** Target with free slots. */
type FreeSlots = {budget: Budget; free: number};

/** Returns this router's targets that serve a pool and have free slots. */
export function getFreeSlots(world: World, pool: string): FreeSlots[] {
	const slots: FreeSlots[] = [];
	for (const budget of world.budgets.rows()) {
		if (world.configuration.targets.get(budget.target)?.pools.includes(pool)) {
			const free = countFreeTargetSlots(world, budget);
			if (free > 0) {
				slots.push({budget, free});
			}
		}
	}

	return slots;
}

/** Counts the free slots of this router's targets that serve a pool. */
export function countFreePoolSlots(world: World, pool: string): number {
	let free = 0;
	for (const slot of getFreeSlots(world, pool)) {
		free += slot.free;
	}

	return free;
}

/** Returns the pools that this router's targets serve. */
export function getServedPools(world: World): Set<string> {
	const pools = new Set<string>();
	for (const budget of world.budgets.rows()) {
		for (const pool of world.configuration.targets.get(budget.target)?.pools ?? []) {
			pools.add(pool);
		}
	}

	return pools;
}

/** Adds up the budgets of this router's targets that serve a pool. */
export function computePoolBudget(world: World, pool: string): number {
	let sum = 0;
	for (const budget of world.budgets.rows()) {
		if (world.configuration.targets.get(budget.target)?.pools.includes(pool)) {
			sum += budget.budget;
		}
	}

	return sum;
}

/** Computes the maximum number of permits that a workspace may hold here while others wait. */
function computeInFlightLimit(world: World, served: ServedTokens, waiting: ServedTokens[], budget: number): number {
	let weights = 0;
	for (const other of waiting) {
		weights += getWeight(world, other.workspace);
	}

	const share = getWeight(world, served.workspace) / weights;
	return Math.max(1, Math.ceil(share * budget * world.limits.maxInFlightFactor));
}

function chooseTarget(ticket: Ticket, slots: FreeSlots[]): FreeSlots | undefined {
	const fitting = slots.filter(slot => slot.free > 0 && !ticket.excluded.includes(slot.budget.target));
	if (fitting.length < 2) {
		return fitting[0];
	}

	// Requests with the same prefix go to the same target while that has a free slot, since its cache may hold the prefix.
	const score = ticket.prefixHash === 0
		? (slot: FreeSlots) => slot.free / slot.budget.budget
		: (slot: FreeSlots) => computeRendezvousScore(String(ticket.prefixHash), slot.budget.target);
	let best = fitting[0]!;
	for (const slot of fitting) {
		if (score(slot) > score(best)) {
			best = slot;
		}
	}

	return best;
}

/** Finds the oldest ticket of a workspace that a target with free slots can serve. */
function findFirstFit(world: World, served: ServedTokens, slots: FreeSlots[]): {ticket: Ticket; slot: FreeSlots} | undefined {
	let tried = 0;
	for (const ticket of world.tickets.group(getServedTokensKey(served))) {
		const slot = chooseTarget(ticket, slots);
		if (slot) {
			return {ticket, slot};
		}

		tried += 1;
		if (tried === maxTicketsTried) {
			break;
		}
	}

	return undefined;
}

function grantPermit(world: World, served: ServedTokens, ticket: Ticket, slot: FreeSlots) {
	world.virtualTime = Math.max(world.virtualTime, computeVirtualTime(world, served));
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

/**
Grants one permit; returns false when no ticket fits a free slot. The in-flight limits are ignored when the slots would
otherwise stay free.
*/
function dispatchOne(world: World, pool: string, slots: FreeSlots[], budget: number): boolean {
	const waiting = getWaitingInOrder(world, pool);
	const isFair = world.limits.discipline === Discipline.Fair;
	for (const ignoreLimit of [false, true]) {
		for (const served of waiting) {
			const isLimited = isFair && !ignoreLimit && served.running >= computeInFlightLimit(world, served, waiting, budget);
			const fit = isLimited ? undefined : findFirstFit(world, served, slots);
			if (fit) {
				grantPermit(world, served, fit.ticket, fit.slot);
				return true;
			}
		}
	}

	return false;
}

/** Grants permits until free slots or fitting tickets run out. */
export function dispatchSystem(world: World) {
	if (!canDispatch(world)) {
		return;
	}

	for (const pool of getWaitingPools(world)) {
		const slots = getFreeSlots(world, pool);
		const budget = computePoolBudget(world, pool);
		while (slots.some(slot => slot.free > 0) && dispatchOne(world, pool, slots, budget)) {
			// Each iteration grants one permit.
		}
	}
}
