/*
Permits that this router gave for its targets: charging, progress, return, and the permits of holders that are gone.
*/
import {AttemptEnd, type PeerMessageOf, type TargetHandover} from '../../messages.ts';
import type {Permit, Ticket} from '../../rows.ts';
import {send, type World} from '../../world.ts';
import {
	charge, computeCost, addExpectedRemote, updateMeanOutput, getOrCreateServedTokens,
} from '../fair-shares/served-tokens.ts';

type RunningEntry = TargetHandover['entries'][number];

/** Most ends of permits that are kept for a target while its load reports don't come. */
const endedLimit = 4096;

/** Records a permit, charging the input and the workspace's usual output ahead. */
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

/** Records a permit that another owner gave; its holder is the router that its ticket names. */
export function adoptPermit(world: World, target: string, entry: RunningEntry) {
	const known = world.permits.get(entry.ticket);
	if (known) {
		reportTokens(world, known, entry.outputTokens);
		return;
	}

	const service = getOrCreateServedTokens(world, entry);
	service.running += 1;
	world.permits.set({
		ticket: entry.ticket,
		origin: originOf(entry.ticket),
		target,
		workspace: entry.workspace,
		pool: entry.pool,
		grantedAt: world.now,
		isAdopted: true,
		inputTokens: entry.inputTokens,
		outputTokens: entry.outputTokens,
		lastReportedAt: world.now,
		// The owner before has charged what was served until now.
		charged: computeCost(world, entry.inputTokens, entry.outputTokens),
	});
}

/** Router that holds a request, by the request's id. */
export function originOf(ticket: string): string {
	return ticket.slice(0, ticket.indexOf('/'));
}

function chargeUpTo(world: World, permit: Permit, cost: number) {
	charge(world, getOrCreateServedTokens(world, permit), cost - permit.charged);
	permit.charged = cost;
}

function reportTokens(world: World, permit: Permit, outputTokens: number) {
	permit.lastReportedAt = world.now;
	permit.outputTokens = Math.max(permit.outputTokens, outputTokens);
	const cost = computeCost(world, permit.inputTokens, permit.outputTokens);
	if (cost > permit.charged) {
		chargeUpTo(world, permit, cost);
	}
}

export function onPermitProgress(world: World, _from: string, message: PeerMessageOf<'permitProgress'>) {
	for (const entry of message.entries) {
		const permit = world.permits.get(entry.ticket);
		if (permit) {
			reportTokens(world, permit, entry.outputTokens);
		}
	}
}

/** Forgets a permit and corrects its charge to what was served. */
export function endPermit(world: World, permit: Permit, outputTokens: number, wasServed: boolean) {
	const service = getOrCreateServedTokens(world, permit);
	service.running -= 1;
	world.permits.delete(permit.ticket);
	chargeUpTo(world, permit, wasServed ? computeCost(world, permit.inputTokens, outputTokens) : 0);
	noteEnd(world, permit);
}

/** Keeps the end of a permit until a load report tells of a later time. */
function noteEnd(world: World, {target, grantedAt, isAdopted}: Permit) {
	const budget = world.budgets.get(target);
	if (!budget) {
		return;
	}

	budget.endedPermits.push({grantedAt, isAdopted, endedAt: world.now});
	if (budget.endedPermits.length > endedLimit) {
		budget.endedPermits.shift();
	}
}
