/*
Counters of served tokens, by workspace and pool. An owner orders its tickets by virtual time: the weighted tokens charged to
a workspace by all owners, divided by its weight. A workspace that had no waiting tickets is raised to the least virtual time
of the backlogged workspaces when it returns, so that it gains no credit from idle time.

Source: virtual token counter (Sheng et al., "Fairness in Serving Large Language Models", 2024), extended to several
owners by cumulative counters in digests. See docs/design/fairness.md.
*/
import {Discipline} from '../../limits.ts';
import type {ServedTokens, Ticket} from '../../rows.ts';
import {getWorkspacePoolKey, type World} from '../../world.ts';

/** Weight of a sample in the exponentially weighted means. */
const sampleWeight = 0.1;

export function getOrCreateServedTokens(world: World, id: {pool: string; workspace: string}): ServedTokens {
	const known = world.servedTokens.get(getWorkspacePoolKey(id));
	if (known) {
		return known;
	}

	const served: ServedTokens = {
		pool: id.pool,
		workspace: id.workspace,
		local: 0,
		remote: 0,
		offset: 0,
		expectedRemote: 0,
		expectedRemotePrevious: 0,
		remoteOwners: 0,
		waiting: 0,
		remoteWaiting: 0,
		running: 0,
		meanOutput: 0,
		changedAt: world.now,
	};
	world.servedTokens.set(served);
	return served;
}

/** Returns the weight of a workspace; 1 for one that is no longer in the configuration. */
export function getWeight(world: World, workspace: string): number {
	return world.configuration.workspaces.get(workspace)?.weight ?? 1;
}

/** Computes the weighted tokens charged to the workspace, divided by its weight. */
export function computeVirtualTime(world: World, served: ServedTokens): number {
	return (served.local + served.remote + served.offset) / getWeight(world, served.workspace);
}

/** Computes the virtual time including the charges that other owners are expected to make. */
function computeExpectedVirtualTime(world: World, served: ServedTokens): number {
	const expected = served.expectedRemote + served.expectedRemotePrevious;
	return computeVirtualTime(world, served) + (expected / getWeight(world, served.workspace));
}

/**
Assumes that every other owner at which the workspace waits charges it as much as this one just did. All owners have the
same counters, so without this all of them would pick the same workspace until the next digests.
*/
export function addExpectedRemote(world: World, served: ServedTokens, amount: number) {
	if (world.limits.exchange) {
		served.expectedRemote += amount * served.remoteOwners;
	}
}

/** Starts a digest period: charges expected two periods ago are discarded, since digests have reported them by now. */
export function rotateExpectedRemote(world: World) {
	for (const served of world.servedTokens.rows()) {
		served.expectedRemotePrevious = served.expectedRemote;
		served.expectedRemote = 0;
	}
}

/** Charges an amount of weighted tokens, negative to correct an earlier charge. */
export function charge(world: World, served: ServedTokens, amount: number) {
	served.local += amount;
	served.changedAt = world.now;
}

/** Computes the cost of a request in weighted tokens. */
export function computeCost(world: World, inputTokens: number, outputTokens: number): number {
	return inputTokens + (outputTokens * world.limits.outputWeight);
}

/** Updates the workspace's mean output with the length of an answer. */
export function updateMeanOutput(served: ServedTokens, outputTokens: number) {
	served.meanOutput = served.meanOutput === 0
		? outputTokens
		: (served.meanOutput * (1 - sampleWeight)) + (outputTokens * sampleWeight);
}

function isBacklogged(served: ServedTokens): boolean {
	return served.waiting + served.remoteWaiting > 0;
}

function computeMinVirtualTime(world: World, pool: string): number {
	let min = Number.POSITIVE_INFINITY;
	for (const served of world.servedTokens.group(pool)) {
		if (isBacklogged(served)) {
			min = Math.min(min, computeVirtualTime(world, served));
		}
	}

	return min === Number.POSITIVE_INFINITY ? world.virtualTime : min;
}

/** Sets the numbers of waiting tickets. Raises the virtual time of a workspace that had none at any owner. */
export function setWaiting(world: World, served: ServedTokens, waiting: number, remoteWaiting: number) {
	const isReturning = !isBacklogged(served) && waiting + remoteWaiting > 0;
	if (isReturning) {
		const deficit = computeMinVirtualTime(world, served.pool) - computeVirtualTime(world, served);
		served.offset += Math.max(0, deficit) * getWeight(world, served.workspace);
	}

	served.waiting = waiting;
	served.remoteWaiting = remoteWaiting;
}

/** Adds a ticket to the queue of its workspace; does nothing when the ticket is already there. */
export function addTicket(world: World, ticket: Ticket) {
	if (world.tickets.has(ticket.ticket)) {
		return;
	}

	const served = getOrCreateServedTokens(world, ticket);
	setWaiting(world, served, served.waiting + 1, served.remoteWaiting);
	world.tickets.set(ticket);
}

/** Removes a ticket from its queue; undefined when it isn't here. */
export function removeTicket(world: World, id: string): Ticket | undefined {
	const ticket = world.tickets.get(id);
	if (ticket) {
		const served = getOrCreateServedTokens(world, ticket);
		served.waiting -= 1;
		world.tickets.delete(id);
	}

	return ticket;
}

/** Returns the first ticket in a workspace's queue; undefined when none waits here. */
export function findHeadTicket(world: World, served: ServedTokens): Ticket | undefined {
	const [head] = world.tickets.group(getWorkspacePoolKey(served));
	return head;
}

/** Sort keys of the waiting workspaces, by discipline; the least key is served first. */
export const orderKeys: Record<Discipline, (world: World, served: ServedTokens) => number> = {
	[Discipline.Fair]: computeExpectedVirtualTime,
	[Discipline.Fifo]: (world, served) => findHeadTicket(world, served)?.arrivedAt ?? 0,
	[Discipline.Bound]: (world, served) => findHeadTicket(world, served)?.arrivedAt ?? 0,
};

/** Returns the workspaces of a pool that have tickets here, in the order in which they are to be served. */
export function getWaitingInOrder(world: World, pool: string): ServedTokens[] {
	const key = orderKeys[world.limits.discipline];
	return [...world.servedTokens.group(pool)]
		.filter(served => served.waiting > 0)
		.map(served => ({served, key: key(world, served)}))
		.toSorted((a, b) => a.key - b.key)
		.map(({served}) => served);
}

/** Returns the pools that have tickets here. */
export function getWaitingPools(world: World): string[] {
	return [...world.servedTokens.groups()].filter(pool => {
		for (const served of world.servedTokens.group(pool)) {
			if (served.waiting > 0) {
				return true;
			}
		}

		return false;
	});
}
