/*
Shares of the rate limits that targets name. Each instance sends at most its share of a limit, from a token bucket, and the shares add
up to the limit without an exchange of permits: they are split among a few holders, which rendezvous hashing selects for the target, by
the demand that each last reported to the others. An instance that falls silent keeps its share while it is registered, so a network
cut doesn't raise the sum. The number of holders follows from the limit, since each bucket has room for a whole request.
*/
import type {ServiceEntry} from '../messages.ts';
import {rankByRendezvous} from '../rendezvous-hash.ts';
import {second} from '../units.ts';
import {hasRecentDigest, type Gateway} from './gateway.ts';
import type {PoolTarget, RateShare} from './rows.ts';
import {getServingCandidates} from './serving-set.ts';

/** Rate at which a target with a lower limit still gets requests, in requests per second: only its answers show that the limit has ended. */
const minRequestsPerSecond = 0.2;

/** Minimum number of holders of a limit: a target isn't left without requests when one of them fails. */
const minHolders = 3;

/** Number of further holders for each request per second of a limit. */
const holdersPerRequestPerSecond = 1;

/** Time for which an unused share accumulates, in seconds; a bucket always has room for one request. */
const maxAccumulationSeconds = 0.25;

/** Fraction of a limit that is split equally, so that a holder without demand can send the first calls that arrive. */
const equalFraction = 0.2;

/** Selects the instances that hold a share of a target's limit. */
function selectHolders({limitCandidates: {ids}}: Gateway, {id}: PoolTarget, requestsPerSecond: number): string[] {
	const count = minHolders + Math.floor(requestsPerSecond * holdersPerRequestPerSecond);
	if (ids.length <= count) {
		return ids;
	}

	return rankByRendezvous(id, ids, instance => instance).slice(0, count);
}

function sumDemand(services: ServiceEntry[], pool: string): number {
	let demand = 0;
	for (const {pool: servicePool, asked = 0} of services) {
		demand += servicePool === pool ? asked : 0;
	}

	return demand;
}

/**
Recent demand for a pool by the callers of an instance, as it last reported it, in weighted tokens. A silent instance is assumed to have
at least the demand of this one: otherwise both sides of a network cut would take more than their share.
*/
function getReportedDemand(gateway: Gateway, id: string, pool: string): number {
	const ownDemand = sumDemand(gateway.reportedServices, pool);
	const instance = gateway.instances.get(id);
	if (id === gateway.self.id || !instance) {
		return ownDemand;
	}

	const demand = sumDemand(instance.services, pool);
	return hasRecentDigest(gateway, instance) ? demand : Math.max(demand, ownDemand);
}

/** Computes the fraction of a target's limit that this instance holds. */
function computeFraction(gateway: Gateway, {pool}: PoolTarget, holders: string[]): number {
	if (!holders.includes(gateway.self.id)) {
		return 0;
	}

	const demands = holders.map(id => getReportedDemand(gateway, id, pool));
	let total = 0;
	for (const demand of demands) {
		total += demand;
	}

	const ownFraction = total === 0 ? 1 / holders.length : demands[holders.indexOf(gateway.self.id)]! / total;
	return ((1 - equalFraction) * ownFraction) + (equalFraction / holders.length);
}

function refill({now}: Gateway, share: RateShare) {
	const maxAllowance = Math.max(1, share.requestsPerSecond * maxAccumulationSeconds);
	share.allowance = Math.min(maxAllowance, share.allowance + (share.requestsPerSecond * (now - share.refilledAt) / second));
	share.refilledAt = now;
}

/** Computes the share of a target's limit that this instance holds. */
function updateShare(gateway: Gateway, target: PoolTarget, limit: number): RateShare {
	const {limitCandidates: {version}, now} = gateway;
	const known = target.rateShare;
	const holders = known?.candidatesVersion === version && known.limit === limit ? known.holders : selectHolders(gateway, target, limit);
	const share: RateShare = known ?? {
		limit, holders, candidatesVersion: version, requestsPerSecond: 0, allowance: 0, refilledAt: now,
	};
	refill(gateway, share);
	const requestsPerSecond = Math.max(limit, minRequestsPerSecond) * computeFraction(gateway, target, holders);
	target.rateShare = Object.assign(share, {
		limit, holders, candidatesVersion: version, requestsPerSecond,
	});
	return share;
}

/** Adapts the share after the limit or the demand changed. */
export function refreshShare(gateway: Gateway, target: PoolTarget) {
	const limit = target.rateLimit?.requestsPerSecond;
	if (limit === undefined) {
		target.rateShare = undefined;
	} else {
		updateShare(gateway, target, limit);
	}
}

/** Updates the instances among which limits are split; the version changes only when these do. */
export function updateLimitCandidates(gateway: Gateway) {
	const ids = getServingCandidates(gateway);
	const {limitCandidates: {ids: known, version}} = gateway;
	if (ids.length !== known.length || ids.some((id, index) => id !== known[index])) {
		gateway.limitCandidates = {ids, version: version + 1};
	}
}

/** Whether other instances hold all shares of a target's limit. */
export function isHeldByOthers({rateShare}: PoolTarget): boolean {
	return rateShare?.requestsPerSecond === 0;
}

/** Whether this instance's share of a target's limit allows one more request now; always true for a target that names none. */
export function isWithinRateShare(gateway: Gateway, target: PoolTarget): boolean {
	const limit = target.rateLimit?.requestsPerSecond;
	if (limit === undefined) {
		return true;
	}

	// A target that is listed again keeps its limit, but not its share.
	const share = target.rateShare ?? updateShare(gateway, target, limit);
	refill(gateway, share);
	return share.allowance >= 1;
}

/** Sums up this instance's shares of the targets' limits, in requests per second; Infinity when one of them names none. */
export function sumRateShares(targets: PoolTarget[]): number {
	let sum = 0;
	for (const {rateShare} of targets) {
		sum += rateShare ? rateShare.requestsPerSecond : Number.POSITIVE_INFINITY;
	}

	return sum;
}

/** Charges a request that is about to be sent to this instance's share of the target's limit. */
export function spendRateShare({rateShare}: PoolTarget) {
	if (rateShare) {
		rateShare.allowance -= 1;
	}
}
