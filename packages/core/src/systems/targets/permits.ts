/*
Permits that this router granted for its targets, or adopted from a previous owner: charging, progress and end.
*/
import type {PeerMessageOf, TargetHandover} from '../../messages.ts';
import type {Permit, Ticket} from '../../rows.ts';
import type {World} from '../../world.ts';
import {
	charge, computeCost, addExpectedRemote, getOrCreateServedTokens,
} from '../fair-shares/served-tokens.ts';

type RunningEntry = TargetHandover['entries'][number];

/** Maximum number of ended permits that are kept for a target while no load reports arrive. */
const maxEndedPermits = 4096;

/** Records a granted permit and charges its input and the workspace's mean output in advance. */
export function addPermit(world: World, ticket: Ticket, target: string): Permit {
	const service = getOrCreateServedTokens(world, ticket);
	const permit: Permit = {
		ticket: ticket.ticket,
		origin: ticket.origin,
		target,
		workspace: ticket.workspace,
		pool: ticket.pool,
		grantedAt: world.now,
		isAdopted: false,
		inputTokens: ticket.inputTokens,
		outputTokens: 0,
		lastReportedAt: world.now,
		charged: computeCost(world, ticket.inputTokens, service.meanOutput),
	};
	world.permits.set(permit);
	service.running += 1;
	charge(world, service, permit.charged);
	addExpectedRemote(world, service, permit.charged);
	return permit;
}

/** Records a permit that a previous owner granted; its origin is the router that the ticket names. */
export function adoptPermit(world: World, target: string, entry: RunningEntry) {
	const known = world.permits.get(entry.ticket);
	if (known) {
		updateProgress(world, known, entry.outputTokens);
		return;
	}

	const service = getOrCreateServedTokens(world, entry);
	service.running += 1;
	world.permits.set({
		ticket: entry.ticket,
		origin: getRequestOrigin(entry.ticket),
		target,
		workspace: entry.workspace,
		pool: entry.pool,
		grantedAt: world.now,
		isAdopted: true,
		inputTokens: entry.inputTokens,
		outputTokens: entry.outputTokens,
		lastReportedAt: world.now,
		// The previous owner has charged the tokens served so far.
		charged: computeCost(world, entry.inputTokens, entry.outputTokens),
	});
}

/** Origin router of a request, by the request's id, which has the form `ROUTER/…`. */
export function getRequestOrigin(ticket: string): string {
	return ticket.slice(0, ticket.indexOf('/'));
}

function adjustCharge(world: World, permit: Permit, cost: number) {
	charge(world, getOrCreateServedTokens(world, permit), cost - permit.charged);
	permit.charged = cost;
}

function updateProgress(world: World, permit: Permit, outputTokens: number) {
	permit.lastReportedAt = world.now;
	permit.outputTokens = Math.max(permit.outputTokens, outputTokens);
	const cost = computeCost(world, permit.inputTokens, permit.outputTokens);
	if (cost > permit.charged) {
		adjustCharge(world, permit, cost);
	}
}

export function onPermitProgress(world: World, _from: string, message: PeerMessageOf<'permitProgress'>) {
	for (const entry of message.entries) {
		const permit = world.permits.get(entry.ticket);
		if (permit) {
			updateProgress(world, permit, entry.outputTokens);
		}
	}
}

/** Deletes a permit and corrects its charge to the tokens that were served. */
export function endPermit(world: World, permit: Permit, outputTokens: number, wasServed: boolean) {
	const service = getOrCreateServedTokens(world, permit);
	service.running -= 1;
	world.permits.delete(permit.ticket);
	adjustCharge(world, permit, wasServed ? computeCost(world, permit.inputTokens, outputTokens) : 0);
	recordEnd(world, permit);
}

/** Keeps the end of a permit until a load report describes a later time. */
function recordEnd(world: World, {target, grantedAt, isAdopted}: Permit) {
	const budget = world.budgets.get(target);
	if (!budget) {
		return;
	}

	budget.endedPermits.push({grantedAt, isAdopted, endedAt: world.now});
	if (budget.endedPermits.length > maxEndedPermits) {
		budget.endedPermits.shift();
	}
}
