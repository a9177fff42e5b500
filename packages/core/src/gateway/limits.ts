/*
Limits, weights and periods of the gateway with their defaults. Times are in milliseconds unless the name says otherwise.
*/
import {kibibyte, mebibyte, second} from '../units.ts';
import type {StopBudget} from './time-budgets.ts';

/** Period at which an instance checks how closely it has to watch data, in milliseconds. */
export const watchRolePeriodMs = 100;

export type GatewayLimits = {
	/** Retries that the targets of a pool accept from the whole fleet, as a fraction of its calls in a window. */
	retryRatio: number;
	/** Retries that the whole fleet may make in a window in addition to that fraction. */
	extraRetries: number;
	retryWindowMs: number;
	/** Fraction of the retry budget that may be spent: the windows of the instances are not aligned, so a margin is kept. */
	retryBudgetFraction: number;
	/** Period of digests to the other instances. */
	digestMs: number;
	/** Period of digests between serving and standby instances. */
	standbyDigestMs: number;
	/** Minimum number of serving instances in a failure domain. */
	minServingPerDomain: number;
	/** Minimum processor capacity of the serving instances of a failure domain, in cores. */
	minServingCapacity: number;
	/** Minimum fraction of the processor capacity of a failure domain that serves. */
	minServingFraction: number;
	/** Number of primary instances in a failure domain that watch the platform closely. */
	watchersPerDomain: number;
	/** Time for which another instance has a change before this one asks the platform for it. */
	missingDataMs: number;
	/** Time without a digest from any instance that watches a kind of data closely after which this one does so itself. */
	watcherSilenceMs: number;
	/** Time for which the answer is awaited before the platform is asked once more. */
	refreshTimeoutMs: number;
	/** Fraction of the capacity of the serving set that may be in use before it grows. */
	maxServingUse: number;
	/** Time constant with which the serving set shrinks when processor use falls. */
	servingDecayMs: number;
	/** Time after the start of a process in which its processor use is that of the start, and no sign of load. */
	startupMs: number;
	/** An instance without a digest for this long counts as silent and is not advertised to callers. */
	heartbeatTimeoutMs: number;
	/**
	Longest time without digests that is put down to stalls of this instance: others may be gone when it goes on.
	*/
	maxStallAllowanceMs: number;
	/** Length of a stall from which an instance counts as overloaded. */
	overloadStallMs: number;
	/** Fraction of an instance's processor capacity from whose use it counts as overloaded. */
	overloadUse: number;
	/** Time without another such stall after which it no longer does. */
	overloadRecoveryMs: number;
	/** Time after its registration within which a new instance is advertised though its first digest is yet to come. */
	joinTimeoutMs: number;
	/** Time for which callers may cache an address. */
	addressTtlMs: number;
	/** Maximum number of addresses in one answer. */
	maxAddresses: number;
	/** Time constant of the decay of usage, from which a workspace's share of a pool is computed. */
	shareWindowMs: number;
	/** Weight of a generated token relative to a prompt token. */
	outputWeight: number;
	/** First time for which a failing target is set aside; doubles with each further consecutive failure. */
	minSetAsideMs: number;
	maxSetAsideMs: number;
	/** Consecutive failures after which a target is set aside. */
	failuresBeforeSetAside: number;
	/** Time for which a target that refused a request is treated as full. */
	fullAfterRefusalMs: number;
	/** Age beyond which a load report is ignored. */
	maxLoadReportAgeMs: number;
	/**
	While the platform can't be reached, a target that hasn't answered for this long is suspected to have restarted. This is
	less than the time that a start takes.
	*/
	suspectedRestartAfterMs: number;
	/** Time for which a prompt segment is assumed to stay in the cache of the target that prefilled it. */
	cachedSegmentMs: number;
	/** Maximum number of cached segments recorded per target. */
	maxCachedSegments: number;
	/** Delay that each running request adds at an engine. */
	delayPerRequestMs: number;
	/** Number of preferred targets of a shared prompt segment, to which all instances send it. */
	preferredTargets: number;
	/** Maximum number of targets to which a shared segment spreads while its preferred ones are full. */
	maxPreferredTargets: number;
	/**
	Minimum number of waiting calls with a shared segment for which it is prefilled at one more target: they share that
	cost.
	*/
	minCallsToSpread: number;
	/** Minimum number of shared tokens for which a call goes only to the preferred targets of its segment. */
	preferredOnlyTokens: number;
	/** Weight of prefilling a shared token at one more target, relative to a token that only the call has. */
	duplicatePrefillWeight: number;
	/** Round-trip delay of a request to another failure domain. */
	crossDomainRoundTripMs: number;
	/** Prompt tokens that an engine is assumed to prefill per millisecond, until the speed has been measured. */
	defaultPrefillTokensPerMs: number;
	/** Queue timeout of a call as a fraction of its route's objective. */
	queueTimeoutFraction: number;
	/** Upper bound of the queue timeout, whatever the objective. */
	maxQueueTimeoutMs: number;
	/** Minimum retry-after delay of refused calls. */
	minRetryAfterMs: number;
	/** Retry-after delay of a call for whose pool no target is known. */
	noTargetRetryAfterMs: number;
	/** Bytes of requests and answers that an instance buffers at once. */
	maxBufferedBytes: number;
	/** Size of a request from which it counts as large, in bytes. */
	largeRequestBytes: number;
	/** Fraction of the buffered bytes that large requests may take. */
	largeRequestsFraction: number;
	/** Retry-after delay of requests that don't fit. */
	buffersFullRetryAfterMs: number;
	/** Time after an outage of the platform within which targets whose entries expired meanwhile have to be listed again. */
	relistTimeoutMs: number;
	/** Shortest outage of the platform in which entries of running targets lapse. */
	minLapseMs: number;
	/**
	Time after a return of the platform with older data within which operators and instances are expected to have written again
	what is missing.
	*/
	rewriteTimeoutMs: number;
	/** Longest pause that a target may request. */
	maxTargetPauseMs: number;
	/** Time for which it is remembered what a target said of itself before it was removed. */
	formerTargetMs: number;
	/** Longest time from the start of an answer to the crash of its target that the answer caused. */
	crashDelayMs: number;
	/** Time within which the answers of a target that crashed break. */
	crashWindowMs: number;
	/** Time within which other evidence that a target's process has ended must follow broken answers. */
	crashConfirmationMs: number;
	/** Time within which such evidence mostly arrives, in digests too. */
	crashEvidenceMs: number;
	/** Crashes closer together than this have one cause, which is no prompt: that crashes one target at a time. */
	commonCauseMs: number;
	/** Time for which crashes, and answers that show a suspect to be sound, are remembered. */
	crashMemoryMs: number;
	soundMemoryMs: number;
	/** Crashes after which a suspect that has never been seen to be sound is put into quarantine. */
	crashesBeforeQuarantine: number;
	/** The same for a suspect that was sound recently: crashes since then. */
	crashesOfSoundSuspect: number;
	/** Time for which no call with a segment in quarantine is sent; doubles with each failed trial up to the maximum. */
	quarantineMs: number;
	maxQuarantineMs: number;
	/** The same for a request in quarantine. */
	requestQuarantineMs: number;
	maxRequestQuarantineMs: number;
	/** Crashes after which a request in quarantine gets no trial any more. */
	crashesBeforeTrialsEnd: number;
	/** Number of other instances that keep a record of where a stream began. */
	streamHolders: number;
	/** Period at which records are sent to them while a pool has several versions. */
	streamRecordMs: number;
	/** Maximum number of instances that are asked where a stream began; its holders are among them. */
	streamLookupPeers: number;
	/** Time after which they are asked again. */
	streamQueryMs: number;
	/** Time after which a stream whose origin nobody knows can't be resumed. */
	streamLookupMs: number;
	/** Shortest period at which an instance writes where its open streams began to the platform's store. */
	storedStreamsMs: number;
	/** Number of these writes per second by all instances together. */
	storedStreamsPerSecond: number;
	/** Longest time for which the first event of a stream waits until the store knows where that began. */
	maxStreamHoldMs: number;
	/** Time after a stall for which no stream is resumed. */
	streamHoldMs: number;
	/** Time within which the platform lists the restart of a target whose process has ended, or removes the target. */
	restartListingMs: number;
	/** An instance without a digest for this long is removed from the platform's list. */
	removalTimeoutMs: number;
	/** Minimum interval between two registrations. */
	minRegisterIntervalMs: number;
} & StopBudget;

export const defaultGatewayLimits: GatewayLimits = {
	retryRatio: 0.2,
	extraRetries: 50,
	retryWindowMs: 10 * second,
	retryBudgetFraction: 0.7,
	digestMs: 500,
	standbyDigestMs: second,
	minServingPerDomain: 3,
	minServingCapacity: 2,
	minServingFraction: 0.25,
	watchersPerDomain: 2,
	missingDataMs: 300,
	watcherSilenceMs: 1.5 * second,
	refreshTimeoutMs: 2 * second,
	maxServingUse: 0.5,
	servingDecayMs: 10 * second,
	startupMs: 5 * second,
	heartbeatTimeoutMs: 2 * second,
	maxStallAllowanceMs: 2 * second,
	overloadStallMs: 200,
	overloadUse: 0.9,
	overloadRecoveryMs: 2 * second,
	joinTimeoutMs: 3 * second,
	addressTtlMs: 2 * second,
	maxAddresses: 64,
	shareWindowMs: 4 * second,
	outputWeight: 2,
	minSetAsideMs: 500,
	maxSetAsideMs: 4 * second,
	failuresBeforeSetAside: 3,
	fullAfterRefusalMs: 100,
	maxLoadReportAgeMs: second,
	suspectedRestartAfterMs: second,
	cachedSegmentMs: 30 * second,
	maxCachedSegments: 4096,
	delayPerRequestMs: 2,
	preferredTargets: 1,
	maxPreferredTargets: 2,
	minCallsToSpread: 2,
	preferredOnlyTokens: 1000,
	duplicatePrefillWeight: 5,
	crossDomainRoundTripMs: 3,
	defaultPrefillTokensPerMs: 50,
	queueTimeoutFraction: 0.5,
	maxQueueTimeoutMs: second,
	minRetryAfterMs: 200,
	noTargetRetryAfterMs: second,
	maxBufferedBytes: 64 * mebibyte,
	largeRequestBytes: 64 * kibibyte,
	largeRequestsFraction: 0.8,
	buffersFullRetryAfterMs: second,
	relistTimeoutMs: 2.2 * second,
	minLapseMs: 2.4 * second,
	rewriteTimeoutMs: 10 * second,
	maxTargetPauseMs: 60 * second,
	formerTargetMs: 120 * second,
	crashDelayMs: 2 * second,
	crashWindowMs: 100,
	crashConfirmationMs: 10 * second,
	crashEvidenceMs: second,
	commonCauseMs: 30,
	crashMemoryMs: 120 * second,
	soundMemoryMs: 60 * second,
	crashesBeforeQuarantine: 3,
	crashesOfSoundSuspect: 5,
	quarantineMs: 600 * second,
	maxQuarantineMs: 3600 * second,
	requestQuarantineMs: 60 * second,
	maxRequestQuarantineMs: 24 * 3600 * second,
	crashesBeforeTrialsEnd: 5,
	streamHolders: 4,
	streamRecordMs: 100,
	streamLookupPeers: 16,
	streamQueryMs: 150,
	streamLookupMs: 500,
	storedStreamsMs: 75,
	storedStreamsPerSecond: 80,
	maxStreamHoldMs: 90,
	streamHoldMs: 300,
	restartListingMs: 5 * second,
	removalTimeoutMs: 10 * second,
	minRegisterIntervalMs: 2 * second,
	lingerMs: 2.5 * second,
	maxStopMs: 7 * second,
	stopFlushMs: 333,
	stopExitMs: 333,
};
