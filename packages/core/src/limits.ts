/*
Limits and periods of the core with their defaults. All times are in milliseconds, all costs in weighted tokens.
*/
import {kibibyte, minute, second} from './units.ts';

/** Queue discipline: how an owner selects the next ticket. All but `Fair` are baselines for benchmarks. */
export enum Discipline {
	/** Workspace with the least virtual time first. */
	Fair = 'fair',
	/** Oldest ticket first. */
	Fifo = 'fifo',
	/** Each ticket is bound to one target when it arrives, oldest first. */
	Bound = 'bound',
}

/** Consecutive digests that may be lost before a member counts as silent. */
const maxMissedDigests = 6;

export type Limits = {
	/** Time for which a lease is valid after its renewal was sent. */
	leaseDurationMs: number;
	leaseRenewMs: number;
	/** Allowance for clocks that run at different rates, as a fraction of the lease. */
	clockDrift: number;
	/** A renewal by another member this much later than this router's last one rules out an outage of the Object API. */
	outageToleranceMs: number;
	/** Minimum period of listing the leases; the period grows with the fleet. */
	minLeaseListMs: number;
	/** Time for which the preferred owner of a target must stay the same before a claim or handover. */
	preferredOwnerStableMs: number;
	/** Minimum interval between two handovers that a router makes to balance load. */
	handoverIntervalMs: number;
	digestMs: number;
	progressMs: number;
	/** A member counts as silent once its last digest, received directly or reported by another member, is older. */
	heartbeatTimeoutMs: number;
	/** Time for which callers may cache an address. */
	addressTtlMs: number;
	/** Maximum time for which a planned stop waits when an outage of the Object API prevents handovers. */
	stopStoreWaitMs: number;
	discipline: Discipline;
	/** Whether owners take the tokens that other owners served into account. False is a baseline for benchmarks. */
	exchange: boolean;
	/** Weight of one output token; an input token weighs 1. */
	outputWeight: number;
	/** Maximum permits of one workspace at an owner, as a multiple of its weighted share, while others wait. */
	maxInFlightFactor: number;
	/** Lead in weighted tokens above which tickets move to an owner that serves work of lower precedence. */
	rebalanceThreshold: number;
	/** Maximum waiting requests of one workspace per pool at a router: each occupies one of the shared connections. */
	maxQueuedRequests: number;
	/** A granted permit expires if the request isn't sent within this time. */
	startWithinMs: number;
	/** Successful completions at the cold budget before it rises. */
	coldCompletions: number;
	/** Factor by which a budget rises in one step. */
	rampFactor: number;
	/** Multiple of the mean time to first byte or between tokens that counts as slow. */
	slowFactor: number;
	/** Time for which a failing target is first set aside; doubles with each consecutive failure. */
	minSetAsideMs: number;
	maxSetAsideMs: number;
	/** Time for which a new owner waits for permit announcements. */
	permitReconcileMs: number;
	/** Time for which a new owner waits for a load report that describes the time after the takeover. */
	loadReportWaitMs: number;
	maxAttempts: number;
	/** Retries that a workspace earns with each success. */
	retryRatio: number;
	/** Maximum retries that a workspace may accumulate. */
	retryReserve: number;
	maxResumes: number;
	workRequestMs: number;
	/** Maximum size of the answer that the run record of a `once` request stores, in bytes. */
	maxStoredAnswerBytes: number;
	/** Period at which a duplicate of a running `once` request polls the run record. */
	runPollMs: number;
};

export const defaultLimits: Limits = {
	leaseDurationMs: 6 * second,
	leaseRenewMs: 2 * second,
	clockDrift: 0.05,
	outageToleranceMs: 4 * second,
	minLeaseListMs: 2 * second,
	preferredOwnerStableMs: second,
	handoverIntervalMs: second,
	digestMs: 250,
	progressMs: 500,
	heartbeatTimeoutMs: 1.5 * second,
	addressTtlMs: 5 * second,
	stopStoreWaitMs: 10 * second,
	discipline: Discipline.Fair,
	exchange: true,
	outputWeight: 1,
	maxInFlightFactor: 2,
	rebalanceThreshold: 100,
	maxQueuedRequests: 500,
	startWithinMs: second,
	coldCompletions: 8,
	rampFactor: 1.5,
	slowFactor: 4,
	minSetAsideMs: 500,
	maxSetAsideMs: minute,
	permitReconcileMs: second,
	loadReportWaitMs: 5 * second,
	maxAttempts: 3,
	retryRatio: 0.1,
	retryReserve: 10,
	maxResumes: 2,
	workRequestMs: 50,
	maxStoredAnswerBytes: 64 * kibibyte,
	runPollMs: 250,
};

/**
Limits with defaults for those that are not given. Times that depend on the period of digests or renewals follow it: a
member must miss several digests before it counts as silent, and the outage tolerance spans two renewals.
*/
export function completeLimits(limits: Partial<Limits> = {}): Limits {
	const {digestMs, leaseRenewMs} = {...defaultLimits, ...limits};
	return {
		...defaultLimits,
		heartbeatTimeoutMs: Math.max(defaultLimits.heartbeatTimeoutMs, maxMissedDigests * digestMs),
		outageToleranceMs: 2 * leaseRenewMs,
		minLeaseListMs: leaseRenewMs,
		...limits,
	};
}
