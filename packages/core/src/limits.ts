/*
Limits and periods of the core with their defaults. All times are in milliseconds, all costs in weighted tokens.
*/
import {kibibyte, minute, second} from './units.ts';

/** How an owner picks the next ticket. All but `Fair` are baselines for measurements. */
export enum Discipline {
	/** Least weighted service first. */
	Fair = 'fair',
	/** Oldest ticket first. */
	Fifo = 'fifo',
	/** Each ticket is bound to one target when it arrives, oldest first. */
	Bound = 'bound',
}

/** Digests in a row that may be missing before a member counts as silent. */
const maxMissedDigests = 6;

export type Limits = {
	/** Time for which a lease is valid after its renewal was sent. */
	leaseDurationMs: number;
	leaseRenewMs: number;
	/** Allowance for clocks that run at different rates, as a fraction of the lease. */
	clockDrift: number;
	/** A renewal that another member sent so much later than this router's last one shows that the Object API is up. */
	outageToleranceMs: number;
	/** Least period at which the leases are listed; grows with the fleet. */
	minLeaseListMs: number;
	/** Time for which the preferred owner of a target must stay the same before a claim or handover. */
	preferredOwnerStableMs: number;
	/** A router hands over at most one target in this time for the sake of balance. */
	handoverIntervalMs: number;
	digestMs: number;
	progressMs: number;
	/** A member counts as heard while its last digest, direct or by another, is younger. */
	heartbeatTimeoutMs: number;
	/** How long callers may keep an address. */
	addressTtlMs: number;
	/** Longest time for which a planned stop waits for targets that the Object API's outage keeps from being handed over. */
	stopStoreWaitMs: number;
	discipline: Discipline;
	/** Whether owners charge what other owners served. False is a baseline for measurements. */
	exchange: boolean;
	/** Weight of one output token; an input token weighs 1. */
	outputWeight: number;
	/** Most permits of one workspace at an owner, as a multiple of its weighted share, while others wait. */
	maxInFlightFactor: number;
	/** Lead in weighted tokens from which tickets move to an owner that serves less deserving work. */
	rebalanceThreshold: number;
	/** Most requests of one workspace that wait at a router for one pool: each holds a connection that others need too. */
	maxQueuedRequests: number;
	/** A granted permit is void when the request hasn't left by then. */
	startWithinMs: number;
	/** Good completions at the cold budget before it rises. */
	coldCompletions: number;
	/** Factor by which a budget rises in one step. */
	rampFactor: number;
	/** How many times the usual time to first byte or between tokens counts as slow. */
	slowFactor: number;
	/** First time for which a failing target is set aside; doubles with each failure in a row. */
	setAsideMs: number;
	setAsideMaxMs: number;
	/** Time for which a new owner waits for the holders' permits. */
	permitReconcileMs: number;
	/** Time for which a new owner waits for a load report that tells of the time since it took the target over. */
	loadReportWaitMs: number;
	maxAttempts: number;
	/** Retries that a workspace may spend for each success. */
	retryRatio: number;
	/** Retries that a workspace may save up. */
	retryReserve: number;
	maxResumes: number;
	workRequestMs: number;
	/** Largest answer of a `once` request that its run record keeps, in bytes. */
	maxStoredAnswerBytes: number;
	/** Period at which a duplicate of a running `once` request looks at the run record. */
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
	setAsideMs: 500,
	setAsideMaxMs: minute,
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
member must get several digests through before it counts as silent, and the allowance of an outage spans two renewals.
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
