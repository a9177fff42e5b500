/*
Usage of each pool by each workspace over the last few seconds, at all instances: the calls started here, and those
that others report in their digests. The workspace with the fewest served tokens is served first, which gives each its
max-min share.
*/
import type {ServiceEntry} from '../messages.ts';
import type {Gateway} from './gateway.ts';
import type {Call, Usage} from './rows.ts';

/** Usage below this is removed, in weighted tokens. */
const minUsage = 0.01;

/** Applies exponential decay to a usage up to the current time. */
export function decayUsage({now, limits}: Gateway, usage: Usage) {
	if (usage.updatedAt === now) {
		return;
	}

	const factor = Math.exp((usage.updatedAt - now) / limits.shareWindowMs);
	usage.localServed *= factor;
	usage.remoteServed *= factor;
	usage.localStarted *= factor;
	usage.remoteStarted *= factor;
	usage.localDemand *= factor;
	usage.remoteDemand *= factor;
	usage.updatedAt = now;
}

function getOrCreateUsage(gateway: Gateway, pool: string, workspace: string): Usage {
	const known = gateway.usages.get(`${pool}/${workspace}`);
	if (known) {
		decayUsage(gateway, known);
		return known;
	}

	const usage: Usage = {
		pool,
		workspace,
		localServed: 0,
		remoteServed: 0,
		localStarted: 0,
		remoteStarted: 0,
		localDemand: 0,
		remoteDemand: 0,
		updatedAt: gateway.now,
	};
	gateway.usages.set(usage);
	return usage;
}

/** Weighted tokens recently charged to a workspace in a pool. */
export function getServedTokens(gateway: Gateway, pool: string, workspace: string): number {
	const {localServed, remoteServed} = getOrCreateUsage(gateway, pool, workspace);
	return localServed + remoteServed;
}

/** Adds the cost of an arriving call to the demand of its workspace. */
export function recordDemand(gateway: Gateway, call: Call) {
	getOrCreateUsage(gateway, call.pool, call.workspace).localDemand += call.cost;
}

/** Charges a call that starts to its workspace. */
export function chargeCall(gateway: Gateway, call: Call) {
	const usage = getOrCreateUsage(gateway, call.pool, call.workspace);
	usage.localServed += call.cost;
	usage.localStarted += call.cost;
}

/** Reverts the charge of a call that didn't run. */
export function refundCall(gateway: Gateway, call: Call) {
	const usage = getOrCreateUsage(gateway, call.pool, call.workspace);
	usage.localServed = Math.max(0, usage.localServed - call.cost);
	usage.localStarted = Math.max(0, usage.localStarted - call.cost);
}

/** Creates the service entries of this instance's digests from its local usage. */
export function createServiceEntries(gateway: Gateway): ServiceEntry[] {
	const entries: ServiceEntry[] = [];
	for (const usage of gateway.usages.rows()) {
		decayUsage(gateway, usage);
		if (usage.localDemand + usage.remoteDemand + usage.localServed + usage.remoteServed < minUsage) {
			gateway.usages.delete(`${usage.pool}/${usage.workspace}`);
		} else if (usage.localServed + usage.localDemand >= minUsage) {
			const {pool, workspace, localServed, localStarted, localDemand} = usage;
			entries.push({
				workspace, pool, service: localServed, waiting: 0, virtualTime: 0, asked: localDemand, started: localStarted,
			});
		}
	}

	return entries;
}

/** Sums up the usage in the last digests of the other instances, decayed by their age. */
export function updateRemoteUsage(gateway: Gateway) {
	const remote = new Map<string, {served: number; started: number; demand: number}>();
	for (const instance of gateway.instances.rows()) {
		const factor = Math.exp((instance.reportedAt - gateway.now) / gateway.limits.shareWindowMs);
		for (const {
			pool, workspace, service, asked = 0, started = 0,
		} of instance.services) {
			const key = `${pool}/${workspace}`;
			const sum = remote.get(key) ?? {served: 0, started: 0, demand: 0};
			remote.set(key, {
				served: sum.served + (service * factor),
				started: sum.started + (started * factor),
				demand: sum.demand + (asked * factor),
			});
			getOrCreateUsage(gateway, pool, workspace);
		}
	}

	for (const usage of gateway.usages.rows()) {
		decayUsage(gateway, usage);
		const {served, started, demand} = remote.get(`${usage.pool}/${usage.workspace}`) ?? {served: 0, started: 0, demand: 0};
		usage.remoteServed = served;
		usage.remoteStarted = started;
		usage.remoteDemand = demand;
	}
}
