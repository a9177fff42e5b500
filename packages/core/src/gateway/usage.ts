/*
What each workspace has used of a pool over the last few seconds, all instances together: own starts, and those that others
tell in their digests. The workspace that has used least is served first, which gives each its max-min share.
*/
import type {ServiceEntry} from '../messages.ts';
import type {Gateway} from './gateway.ts';
import type {Call, Usage} from './rows.ts';

/** Use below this is forgotten, in weighted tokens. */
const leastUse = 0.01;

/** Brings a usage up to date: what is older counts less. */
export function fade({now, limits}: Gateway, usage: Usage) {
	if (usage.at === now) {
		return;
	}

	const factor = Math.exp((usage.at - now) / limits.shareWindowMs);
	usage.own *= factor;
	usage.remote *= factor;
	usage.ownStarted *= factor;
	usage.remoteStarted *= factor;
	usage.ownAsked *= factor;
	usage.remoteAsked *= factor;
	usage.at = now;
}

function usageOf(gateway: Gateway, pool: string, workspace: string): Usage {
	const known = gateway.usages.get(`${pool}/${workspace}`);
	if (known) {
		fade(gateway, known);
		return known;
	}

	const usage: Usage = {
		pool,
		workspace,
		own: 0,
		remote: 0,
		ownStarted: 0,
		remoteStarted: 0,
		ownAsked: 0,
		remoteAsked: 0,
		at: gateway.now,
	};
	gateway.usages.set(usage);
	return usage;
}

/** Weighted tokens that a workspace has used of a pool of late. */
export function usedBy(gateway: Gateway, pool: string, workspace: string): number {
	const {own, remote} = usageOf(gateway, pool, workspace);
	return own + remote;
}

/** Notes that a caller asks for a call. */
export function noteAsked(gateway: Gateway, call: Call) {
	usageOf(gateway, call.pool, call.workspace).ownAsked += call.cost;
}

/** Charges a call that starts. */
export function chargeCall(gateway: Gateway, call: Call) {
	const usage = usageOf(gateway, call.pool, call.workspace);
	usage.own += call.cost;
	usage.ownStarted += call.cost;
}

/** Takes back the charge of a call that didn't run. */
export function refundCall(gateway: Gateway, call: Call) {
	const usage = usageOf(gateway, call.pool, call.workspace);
	usage.own = Math.max(0, usage.own - call.cost);
	usage.ownStarted = Math.max(0, usage.ownStarted - call.cost);
}

/** This instance's use, for its digests. */
export function ownServices(gateway: Gateway): ServiceEntry[] {
	const entries: ServiceEntry[] = [];
	for (const usage of gateway.usages.rows()) {
		fade(gateway, usage);
		if (usage.ownAsked + usage.remoteAsked + usage.own + usage.remote < leastUse) {
			gateway.usages.delete(`${usage.pool}/${usage.workspace}`);
		} else if (usage.own + usage.ownAsked >= leastUse) {
			const {pool, workspace, own, ownStarted, ownAsked} = usage;
			entries.push({
				workspace, pool, service: own, waiting: 0, virtualTime: 0, asked: ownAsked, started: ownStarted,
			});
		}
	}

	return entries;
}

/** Sums up what the other instances told last. */
export function updateRemoteUse(gateway: Gateway) {
	const remote = new Map<string, {used: number; started: number; asked: number}>();
	for (const instance of gateway.instances.rows()) {
		const factor = Math.exp((instance.heardAt - gateway.now) / gateway.limits.shareWindowMs);
		for (const {
			pool, workspace, service, asked = 0, started = 0,
		} of instance.services) {
			const key = `${pool}/${workspace}`;
			const sum = remote.get(key) ?? {used: 0, started: 0, asked: 0};
			remote.set(key, {
				used: sum.used + (service * factor),
				started: sum.started + (started * factor),
				asked: sum.asked + (asked * factor),
			});
			usageOf(gateway, pool, workspace);
		}
	}

	for (const usage of gateway.usages.rows()) {
		fade(gateway, usage);
		const {used, started, asked} = remote.get(`${usage.pool}/${usage.workspace}`) ?? {used: 0, started: 0, asked: 0};
		usage.remote = used;
		usage.remoteStarted = started;
		usage.remoteAsked = asked;
	}
}
