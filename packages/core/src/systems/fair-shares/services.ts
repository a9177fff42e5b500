/*
Counters of service, by workspace and pool. An owner orders its tickets by virtual time: the weighted tokens charged to a
workspace by all owners, divided by its weight. A workspace whose tickets were all served is lifted to the least virtual
time of the waiting ones when it returns, so that idleness saves up no credit.

Source: virtual token counter (Sheng et al., "Fairness in Serving Large Language Models", 2024), extended to several
owners by cumulative counters in digests. See docs/design/fairness.md.
*/
import {Discipline} from '../../limits.ts';
import type {Service, Ticket} from '../../rows.ts';
import {getServiceKey, type World} from '../../world.ts';

/** Weight of a sample in the running means. */
const meanWeight = 0.1;

/** Counters of a workspace in a pool; created at the first use. */
export function serviceOf(world: World, id: {pool: string; workspace: string}): Service {
	const known = world.services.get(getServiceKey(id));
	if (known) {
		return known;
	}

	const service: Service = {
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
	world.services.set(service);
	return service;
}

/** Share of a workspace relative to the others; 1 for one that was withdrawn meanwhile. */
export function weightOf(world: World, workspace: string): number {
	return world.configuration.workspaces.get(workspace)?.weight ?? 1;
}

/** Weighted tokens charged to the workspace, divided by its weight. */
export function virtualTimeOf(world: World, service: Service): number {
	return (service.local + service.remote + service.offset) / weightOf(world, service.workspace);
}

/** Virtual time with the charges that are expected of other owners. */
function expectedTimeOf(world: World, service: Service): number {
	const expected = service.expectedRemote + service.expectedRemotePrevious;
	return virtualTimeOf(world, service) + (expected / weightOf(world, service.workspace));
}

/**
Expects that every other owner at which the workspace waits gives it as much as this one has just done. All owners see
the same counters, so until the next digests all of them would pick the same workspace.
*/
export function expectOthers(world: World, service: Service, amount: number) {
	if (world.limits.exchange) {
		service.expectedRemote += amount * service.remoteOwners;
	}
}

/** Starts a digest period: what was expected two periods ago has been heard of by now. */
export function shiftExpected(world: World) {
	for (const service of world.services.rows()) {
		service.expectedRemotePrevious = service.expectedRemote;
		service.expectedRemote = 0;
	}
}

/** Charges an amount of weighted tokens, negative to correct an earlier charge. */
export function charge(world: World, service: Service, amount: number) {
	service.local += amount;
	service.changedAt = world.now;
}

/** Cost of a request in weighted tokens. */
export function costOf(world: World, inputTokens: number, outputTokens: number): number {
	return inputTokens + (outputTokens * world.limits.outputWeight);
}

/** Takes a sample of an answer's length into the workspace's mean. */
export function learnOutput(service: Service, outputTokens: number) {
	service.meanOutput = service.meanOutput === 0
		? outputTokens
		: (service.meanOutput * (1 - meanWeight)) + (outputTokens * meanWeight);
}

function isBacklogged(service: Service): boolean {
	return service.waiting + service.remoteWaiting > 0;
}

function leastVirtualTime(world: World, pool: string): number {
	let least = Number.POSITIVE_INFINITY;
	for (const service of world.services.group(pool)) {
		if (isBacklogged(service)) {
			least = Math.min(least, virtualTimeOf(world, service));
		}
	}

	return least === Number.POSITIVE_INFINITY ? world.virtualTime : least;
}

/** Changes the numbers of waiting tickets, and lifts a workspace that had none anywhere. */
export function setWaiting(world: World, service: Service, waiting: number, remoteWaiting: number) {
	const returns = !isBacklogged(service) && waiting + remoteWaiting > 0;
	if (returns) {
		const lead = leastVirtualTime(world, service.pool) - virtualTimeOf(world, service);
		service.offset += Math.max(0, lead) * weightOf(world, service.workspace);
	}

	service.waiting = waiting;
	service.remoteWaiting = remoteWaiting;
}

/** Adds a ticket to the queue of its workspace here. */
export function addTicket(world: World, ticket: Ticket) {
	if (world.tickets.has(ticket.ticket)) {
		return;
	}

	const service = serviceOf(world, ticket);
	setWaiting(world, service, service.waiting + 1, service.remoteWaiting);
	world.tickets.set(ticket);
}

/** Takes a ticket out of its queue; undefined when it isn't here. */
export function removeTicket(world: World, id: string): Ticket | undefined {
	const ticket = world.tickets.get(id);
	if (ticket) {
		const service = serviceOf(world, ticket);
		service.waiting -= 1;
		world.tickets.delete(id);
	}

	return ticket;
}

/** First ticket of a workspace in the queue; undefined when none waits here. */
export function headTicket(world: World, service: Service): Ticket | undefined {
	const [head] = world.tickets.group(getServiceKey(service));
	return head;
}

/** Key by which the next workspace is picked, least first. */
export const order: Record<Discipline, (world: World, service: Service) => number> = {
	[Discipline.Fair]: expectedTimeOf,
	[Discipline.Fifo]: (world, service) => headTicket(world, service)?.arrivedAt ?? 0,
	[Discipline.Bound]: (world, service) => headTicket(world, service)?.arrivedAt ?? 0,
};

/** Services of a pool that have tickets here, in the order in which they are to be served. */
export function waitingServices(world: World, pool: string): Service[] {
	const key = order[world.limits.discipline];
	return [...world.services.group(pool)]
		.filter(service => service.waiting > 0)
		.map(service => ({service, key: key(world, service)}))
		.toSorted((a, b) => a.key - b.key)
		.map(({service}) => service);
}

/** Pools that have tickets here. */
export function waitingPools(world: World): string[] {
	return [...world.services.groups()].filter(pool => {
		for (const service of world.services.group(pool)) {
			if (service.waiting > 0) {
				return true;
			}
		}

		return false;
	});
}
