/*
What each workspace has used of a pool over the last few seconds, all instances together: own starts, and those that others
tell in their digests. The workspace that has used least is served first, which gives each its max-min share.
*/
import type {ServiceEntry} from '../messages.ts';
import type {Gateway} from './gateway.ts';
import type {Call, Usage} from './rows.ts';

/** Use below this is forgotten, in weighted tokens. */
const leastUse = 0.01;

function fade({now, limits}: Gateway, usage: Usage) {
	const factor = Math.exp((usage.at - now) / limits.shareWindowMs);
	usage.own *= factor;
	usage.remote *= factor;
	usage.at = now;
}

function usageOf(gateway: Gateway, pool: string, workspace: string): Usage {
	const known = gateway.usages.get(`${pool}/${workspace}`);
	if (known) {
		fade(gateway, known);
		return known;
	}

	const usage: Usage = {
		pool, workspace, own: 0, remote: 0, at: gateway.now,
	};
	gateway.usages.set(usage);
	return usage;
}

/** Weighted tokens that a workspace has used of a pool of late. */
export function usedBy(gateway: Gateway, pool: string, workspace: string): number {
	const {own, remote} = usageOf(gateway, pool, workspace);
	return own + remote;
}

/** Charges a call that starts. */
export function chargeCall(gateway: Gateway, call: Call) {
	usageOf(gateway, call.pool, call.workspace).own += call.cost;
}

/** Takes back the charge of a call that didn't run. */
export function refundCall(gateway: Gateway, call: Call) {
	const usage = usageOf(gateway, call.pool, call.workspace);
	usage.own = Math.max(0, usage.own - call.cost);
}

/** This instance's use, for its digests. */
export function ownServices(gateway: Gateway): ServiceEntry[] {
	const entries: ServiceEntry[] = [];
	for (const usage of gateway.usages.rows()) {
		fade(gateway, usage);
		if (usage.own + usage.remote < leastUse) {
			gateway.usages.delete(`${usage.pool}/${usage.workspace}`);
		} else if (usage.own >= leastUse) {
			const {pool, workspace, own} = usage;
			entries.push({
				workspace, pool, service: own, waiting: 0, virtualTime: 0,
			});
		}
	}

	return entries;
}

/** Sums up what the other instances told last. */
export function updateRemoteUse(gateway: Gateway) {
	const remote = new Map<string, number>();
	for (const instance of gateway.instances.rows()) {
		const factor = Math.exp((instance.heardAt - gateway.now) / gateway.limits.shareWindowMs);
		for (const {pool, workspace, service} of instance.services) {
			const key = `${pool}/${workspace}`;
			remote.set(key, (remote.get(key) ?? 0) + (service * factor));
			usageOf(gateway, pool, workspace);
		}
	}

	for (const usage of gateway.usages.rows()) {
		fade(gateway, usage);
		usage.remote = remote.get(`${usage.pool}/${usage.workspace}`) ?? 0;
	}
}
