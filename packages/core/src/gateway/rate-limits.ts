/*
Rate limits that targets name in their answers: the requests per second that a process takes from all instances together, for as
long as its answers name it. The load that this answers: targets in need while callers ask for more than they take.

Each instance reads limits in its own answers and in the digests of the others; the latest answer counts, whichever instance received
it. `rate-shares.ts` splits them among the instances.
*/
import type {RateLimitEntry, TargetEntry} from '../messages.ts';
import {LogPart} from '../ports.ts';
import {selectByRendezvous} from '../rendezvous-hash.ts';
import {second} from '../units.ts';
import {startPeriodIfDue} from '../world.ts';
import {addLogLine, type Gateway} from './gateway.ts';
import type {GatewayInboundOf} from './ports.ts';
import {refreshShare, updateLimitCandidates} from './rate-shares.ts';
import type {Instance, PoolTarget, RateLimit} from './rows.ts';
import {findProcess, type TargetProcess} from './target-notices.ts';

/** Time for which an instance that holds no share of a limit reports that it saw it, in milliseconds. */
const reportedObservationMs = 5 * second;

/** Time for which the end of a limit is reported, to instances that were cut off or stood still; in milliseconds. */
const reportedEndMs = 60 * second;

/** Age from which a limit that no instance observed again is forgotten, in milliseconds: an instance without a share receives no answers. */
const maxObservationAgeMs = 60 * second;

/** Whether a target names a rate limit, by its latest known answer. */
export function isRateLimited({rateLimit}: Pick<PoolTarget, 'rateLimit'>): boolean {
	return rateLimit?.requestsPerSecond !== undefined;
}

function logRateLimit(gateway: Gateway, target: string, {before, next, source}: {before: RateLimit | undefined; next: RateLimit; source: string}) {
	const {requestsPerSecond} = next;
	if (before?.requestsPerSecond === requestsPerSecond) {
		return;
	}

	addLogLine(gateway, requestsPerSecond === undefined
		? {part: LogPart.Target, text: 'names no rate limit any more', fields: {target, source}}
		: {
			part: LogPart.Target, level: 'warn', text: 'named a rate limit', fields: {
				target, requestsPerSecond, before: before?.requestsPerSecond, source,
			},
		});
}

function setRateLimit(gateway: Gateway, targetProcess: TargetProcess, next: RateLimit, source: string) {
	const known = findProcess(gateway, targetProcess);
	if (!known) {
		return;
	}

	const before = known.rateLimit;
	known.rateLimit = next;
	logRateLimit(gateway, targetProcess.target, {before, next, source});
	const target = gateway.targets.get(targetProcess.target);
	if (target === known && before?.requestsPerSecond !== next.requestsPerSecond) {
		refreshShare(gateway, target);
	}
}

export function onTargetRateLimit(gateway: Gateway, {
	call, target, startId, requestsPerSecond,
}: GatewayInboundOf<'targetRateLimit'>) {
	const known = findProcess(gateway, {target, startId})?.rateLimit;
	const sentAt = gateway.calls.get(call)?.sentAt ?? Number.NEGATIVE_INFINITY;
	// Answers may arrive out of order: one to an earlier request doesn't show that a limit named since has ended.
	if (requestsPerSecond === undefined && known && sentAt <= known.observedAt) {
		return;
	}

	setRateLimit(gateway, {target, startId}, {requestsPerSecond, observedAt: gateway.now, isOwn: true}, 'its answer');
}

/** Applies the rate limits that another instance reported in a digest, as far as they are later than what is known. */
export function applyReportedRateLimits(gateway: Gateway, {id: source, targets: entries}: Pick<Instance, 'id' | 'targets'>) {
	for (const {target, rateLimit: entry} of entries) {
		if (!entry) {
			continue;
		}

		const {startId, requestsPerSecond, ageMs} = entry;
		const observedAt = gateway.now - ageMs;
		const known = findProcess(gateway, {target, startId})?.rateLimit;
		const knownAt = known ? known.observedAt : gateway.targets.get(target)?.lastAnswerAt ?? Number.NEGATIVE_INFINITY;
		if (observedAt > knownAt) {
			setRateLimit(gateway, {target, startId}, {requestsPerSecond, observedAt, isOwn: false}, source);
		}
	}
}

function createEntry({now}: Gateway, startId: string, {requestsPerSecond, observedAt}: RateLimit): RateLimitEntry {
	return {startId, requestsPerSecond, ageMs: Math.round(now - observedAt)};
}

/**
Creates the entry of a target's rate limit for this instance's digests; undefined when it saw none itself. What others reported isn't
forwarded among serving instances: its age would be lost little by little.
*/
export function createRateLimitEntry(gateway: Gateway, {startId, rateLimit, rateShare}: PoolTarget): RateLimitEntry | undefined {
	if (!rateLimit?.isOwn) {
		return undefined;
	}

	const isHeld = rateShare !== undefined && rateShare.requestsPerSecond > 0;
	const reportedMs = isRateLimited({rateLimit}) ? reportedObservationMs : reportedEndMs;
	return isHeld || gateway.now - rateLimit.observedAt <= reportedMs ? createEntry(gateway, startId, rateLimit) : undefined;
}

/** Whether what is known of a target's limit is to be forwarded: it is in force, or ended so recently that standby instances may not know. */
function isForwarded({now}: Gateway, rateLimit: RateLimit): boolean {
	return isRateLimited({rateLimit}) || now - rateLimit.observedAt <= reportedEndMs;
}

/**
Adds the rate limits that other instances reported to target entries for the standby instances of this failure domain, which receive
digests only from its serving instances. Of these, rendezvous hashing selects one for each target.
*/
export function addForwardedRateLimits(gateway: Gateway, entries: TargetEntry[]): TargetEntry[] {
	const {instances, servingInstances, self} = gateway;
	const members = [...instances.rows()].filter(({id, failureDomain}) => failureDomain === self.failureDomain && servingInstances.has(id));
	const forwarded = new Map<string, RateLimitEntry>();
	for (const {id, startId, rateLimit} of gateway.targets.rows()) {
		if (rateLimit && !rateLimit.isOwn && isForwarded(gateway, rateLimit) && selectByRendezvous(id, members, member => member.id)?.id === self.id) {
			forwarded.set(id, createEntry(gateway, startId, rateLimit));
		}
	}

	if (forwarded.size === 0) {
		return entries;
	}

	const known = entries.map(entry => forwarded.has(entry.target) ? {...entry, rateLimit: forwarded.get(entry.target)!} : entry);
	const added = [...forwarded.keys()].filter(target => entries.every(entry => entry.target !== target));
	return [...known, ...added.map(target => ({
		target, running: 0, coldForMs: 0, rateLimit: forwarded.get(target)!,
	}))];
}

/** Forgets a limit that no instance has observed for long. */
function forgetOldLimit({now}: Gateway, target: PoolTarget) {
	if (target.rateLimit && now - target.rateLimit.observedAt > maxObservationAgeMs) {
		target.rateLimit = undefined;
	}
}

/** Forgets old limits, and adapts the shares of the others to the demand and to the instances that serve. */
export function rateLimitsSystem(gateway: Gateway) {
	if (!startPeriodIfDue(gateway, 'rateShares', gateway.limits.digestMs)) {
		return;
	}

	updateLimitCandidates(gateway);
	for (const target of gateway.targets.rows()) {
		forgetOldLimit(gateway, target);
		refreshShare(gateway, target);
	}
}

/** Number of targets of a pool that name a rate limit; undefined for none, which the log leaves out. */
export function countRateLimited({targets}: Gateway, pool: string): number | undefined {
	const count = [...targets.group(pool)].filter(target => isRateLimited(target)).length;
	return count > 0 ? count : undefined;
}
