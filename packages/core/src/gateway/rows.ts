/*
Rows of the gateway's tables: calls, targets, usage of pools, and instances. Times are in milliseconds of the local
monotonic clock.
*/
import type {
	MemberState, PoolEntry, PoolVersions, ServiceEntry, TargetEntry,
} from '../messages.ts';
import type {CallRoute} from './catalogue.ts';
import type {DataKind} from './data-sources.ts';

/** Segment of a prompt: the unit by which engines cache prefilled prompts. */
export type PromptSegment = {
	id: string;
	tokens: number;
};

/** Size and segments of a model request, as its caller states them. */
export type Prompt = {
	inputTokens: number;
	/** Upper bound of the generated tokens. */
	outputTokens: number;
	/** In the order of the prompt; the last one belongs to this call or its session only and is never shared. */
	segments: PromptSegment[];
};

/** What a caller says of the stream that it resumes: it has received the events up to some id, in one or more attempts. */
export type Resumption = {
	/** Request id of the attempt that received the first event; undefined when the caller doesn't name it. */
	firstRequestId: string | undefined;
};

/** Call as the adapter parsed it from the caller's request. */
export type CallArrival = {
	/** Unique at this instance. */
	id: string;
	/** Chosen by the caller; each of its attempts has its own. */
	requestId: string;
	host: string;
	/** Without the query string. */
	path: string;
	/** API key of the workspace; '' when the caller sent none. */
	key: string;
	/** How long the caller waits for the answer; undefined when it sent no deadline. */
	remainingMs: number | undefined;
	prompt: Prompt | undefined;
	/** Undefined for a call that begins its answer from the start. */
	resumption: Resumption | undefined;
	/** Equal for requests with the same method, host, path, query and body, whatever their ids. */
	fingerprint: string;
};

/** Pool and software version at which a stream began. */
export type StreamOrigin = {
	pool: string;
	softwareVersion: string;
};

/** Software version of an origin that isn't known for certain; no target has it. */
export const unknownSoftwareVersion = '';

/** Lookup of where the stream of a call began. */
export type StreamLookup = {
	/** Key by which the stream is asked for. */
	key: number;
	startedAt: number;
	/** When the instances were last asked. */
	queriedAt: number;
	asked: string[];
	/** Versions of the pools in the replies, by instance. */
	replies: Map<string, PoolVersions[]>;
	/** Origin that an instance replied. */
	origin: StreamOrigin | undefined;
	/** Whether the platform has been asked for targets on its behalf. */
	hasAskedPlatform: boolean;
};

export enum CallState {
	/** Waits for an answer of other instances where its stream began. */
	Locating = 'locating',
	/** Waits in the queue of its pool for a slot at a target. */
	Waiting = 'waiting',
	/** Sent to a target. */
	Sent = 'sent',
}

export type Call = {
	id: string;
	route: CallRoute;
	pool: string;
	workspace: string;
	priority: number;
	prompt: Prompt | undefined;
	resumption: Resumption | undefined;
	fingerprint: string;
	/** Weighted tokens, or 1 for a call without a prompt. */
	cost: number;
	arrivedAt: number;
	/** Time by which the final answer is due. */
	deadline: number;
	/** Time at which it stops waiting for a slot and is refused. */
	queueTimeoutAt: number;
	state: CallState;
	/** Sends that count against the route's `maxAttempts`: those that reached a target and were not misdirected. */
	attempts: number;
	/** All sends, including those that no target can have run. */
	sends: number;
	/** Target that it was last sent to; '' while it has none. */
	target: string;
	/** Software version of that target. */
	targetVersion: string;
	sentAt: number;
	/** Prompt tokens that the target was expected to prefill, since they are not in its cache; 0 after the first byte. */
	uncachedTokens: number;
	/** When the first byte of its current answer arrived; undefined before. */
	firstByteAt: number | undefined;
	/** Targets that failed it; it is not sent to them again. */
	triedTargets: string[];
	/** Whether a target may have run it. */
	mayHaveRun: boolean;
	/** Whether the caller has received part of the answer. */
	hasAnswerBytes: boolean;
	/** Where the stream began of which the caller has received events: it is resumed only at this pool and version. */
	origin: StreamOrigin | undefined;
	/** Key of its stream; undefined when the answer is no stream, or resumes one that its caller doesn't name. */
	stream: number | undefined;
	/** Records of its stream that were sent: holder, incarnation and version. */
	records: Set<string>;
	/** Software version in these records; unknown before the first. */
	recordedVersion: string;
	/** Version and possible holders for which the records were last sent. */
	recordedFor: string;
	/** Lookup of its stream; undefined when there is none. */
	lookup: StreamLookup | undefined;
	/** Software version that the platform's store has for its stream; undefined while that isn't known. */
	storedVersion: string | undefined;
	/** Versions that the store may have for it: those of the last successful write, and of the writes that were begun since. */
	possibleStoredVersions: Set<string>;
	/** Whether the first events of its stream are held back until the store knows where that began, and since when they wait. */
	isHeld: boolean;
	heldSince: number | undefined;
};

export enum TargetStanding {
	Ready = 'ready',
	/** Accepts no new work and is about to stop. */
	Leaving = 'leaving',
}

/** Target as listed by the platform. */
export type ListedTarget = {
	id: string;
	pool: string;
	/** IP address and port. */
	address: string;
	/** Version of the target's software; versions have no order. */
	softwareVersion: string;
	failureDomain: string;
	standing: TargetStanding;
	slots: number;
	/** Remaining time for which it is cold, in milliseconds. */
	coldForMs: number;
	/** Identifies the start of the target's process: it changes with each restart. */
	startId: string;
	/** Changes whenever the platform's entry changes. */
	revision: number;
	/** Whether the entry may date from before a return of the platform with older data. */
	isRestored: boolean;
};

/** Load that a target reported with an answer. */
export type LoadReport = {
	running: number;
	waiting: number;
	slots: number;
};

/** Listed target with what this instance knows of it. */
export type PoolTarget = ListedTarget & {
	coldUntil: number;
	/** The same, as reported in digests of other instances. */
	reportedColdUntil: number;
	/** It may have restarted unnoticed, and is treated as cold until this time. */
	suspectedRestartUntil: number;
	/** When a connection to it last failed; -Infinity while none has. */
	connectionFailedAt: number;
	/** Time of its last answer to this instance. */
	lastAnswerAt: number;
	/** Times of the sends while it was, or was suspected to be, cold; oldest first. */
	coldSendTimes: number[];
	/** Requests of this instance in flight at it. */
	running: number;
	/** Requests of other instances in flight at it, by their last digests. */
	remoteRunning: number;
	/** Uncached prompt tokens of this instance's requests that have no first byte yet. */
	prefillBacklogTokens: number;
	/** Running and waiting requests in its last load report. */
	reportedLoad: number;
	loadReportedAt: number;
	/** Requests that this instance has sent to it since that report. */
	sentSinceReport: number;
	/** Requests of this instance that have ended at it since that report. */
	endedSinceReport: number;
	/** Time until which it is treated as full. */
	fullUntil: number;
	consecutiveFailures: number;
	setAsideUntil: number;
	/** Whether one of its answers, here or at another instance, said that it is leaving. */
	hasAnnouncedLeaving: boolean;
	/** Time until which it wants no request from this instance. */
	pausedUntil: number;
	/** Rate limit that its process named, or named last; undefined while it has named none. */
	rateLimit: RateLimit | undefined;
	/** This instance's share of that limit; undefined while the target names none. */
	rateShare: RateShare | undefined;
	/** When a prompt with a segment was last sent to it, by segment id; least recent first. */
	cachedSegments: Map<string, number>;
};

/** Limit on the requests that a process of a target takes from all instances together. */
export type RateLimit = {
	/** Undefined after the process has stopped naming it. */
	requestsPerSecond: number | undefined;
	/** When an answer last showed that, here or at another instance. */
	observedAt: number;
	/** Whether that was an answer to this instance. */
	isOwn: boolean;
};

/** What this instance may send of the requests that a target's rate limit allows. */
export type RateShare = {
	/** Limit of the whole fleet, in requests per second, and the instances that hold a share of it. */
	limit: number;
	holders: string[];
	/** Version of `Gateway.limitCandidates` for which the holders were selected. */
	candidatesVersion: number;
	/** Share of this instance, in requests per second; 0 while it is no holder. */
	requestsPerSecond: number;
	/** Requests that it may send now. */
	allowance: number;
	refilledAt: number;
};

/** Latest change of a kind of the platform's data. */
export type DataVersion = {
	kind: DataKind;
	/** Rises each time the platform returns with older data, after which it gives out revisions again. */
	era: number;
	revision: number;
};

/** Change of the platform's data that another instance has and this one misses. */
export type MissingData = {
	version: DataVersion;
	/** Since when this instance has known of it. */
	since: number;
	/** The instance that reported it. */
	source: string;
	/** Change for which the platform was last asked; undefined before the first time. */
	requested: {version: DataVersion; at: number} | undefined;
};

/** What is kept of a target's process after its row was removed or replaced by that of another process. */
export type FormerTarget = Pick<PoolTarget, 'hasAnnouncedLeaving' | 'pausedUntil' | 'rateLimit'> & {removedAt: number};

/**
Usage of a pool by one workspace, here and at the other instances, in weighted tokens that decay over the share window.
*/
export type Usage = {
	pool: string;
	workspace: string;
	/** Served tokens that count against its share. */
	localServed: number;
	remoteServed: number;
	/** Weighted tokens of the calls that started. */
	localStarted: number;
	remoteStarted: number;
	/** Demand: what callers requested, served or not. */
	localDemand: number;
	remoteDemand: number;
	/** When the decay was last applied to the fields above. */
	updatedAt: number;
};

/** Sends to a pool in one slice of the sliding retry window. */
export type SendCount = {
	startedAt: number;
	calls: number;
	/** First sends of calls. */
	firstSends: number;
	resends: number;
};

/** Instance of the fleet; this one included. */
export type Instance = {
	id: string;
	incarnation: string;
	failureDomain: string;
	/** Where callers connect: IP address and port. */
	callerAddress: string;
	peerUrl: string;
	state: MemberState;
	/** Processor capacity of its machine, in cores. */
	capacity: number;
	/** When its registration was first listed. */
	listedAt: number;
	/** When its last digest arrived here, or by their reports at another instance; -Infinity before the first. */
	lastDigestAt: number;
	/** Time since then in which this instance stood still and could read no digest. */
	stalledMs: number;
	/** When its last digest to this instance arrived; -Infinity before the first. */
	reportedAt: number;
	/** Processor capacity in use, by its last digest; in cores. */
	usedCapacity: number;
	/** Since when digests of it are expected; undefined while they aren't. */
	expectedSince: number | undefined;
	/** Whether digests of it were expected and didn't arrive. */
	isUnreachable: boolean;
	/** Whether it is overloaded, by its last digest. */
	isOverloaded: boolean;
	/** Start of its current uninterrupted connection to the platform, by its last digest; undefined while it has none. */
	platformReachedSince: number | undefined;
	/** When the platform last answered it, by its last digest; -Infinity while it doesn't reach the platform. */
	platformAnsweredAt: number;
	/** Recent usage by its callers, from its last digest. */
	services: ServiceEntry[];
	/** Its concurrency limits for engines, from its last digest. */
	pools: PoolEntry[];
	/** Targets that it uses or knows to be cold, from its last digest. */
	targets: TargetEntry[];
};

/** End of a target's process while it had answers in work, by what this instance and others saw. */
export type Crash = {
	target: string;
	startId: string;
	/** When the first answer broke. */
	at: number;
	/** Number of calls whose answers broke, by instance. */
	brokenCalls: Map<string, number>;
	/** Whether the process has ended for certain: several answers broke at once, or connections to it fail. */
	isConfirmed: boolean;
	/** Whether the process began an answer later, so that it hadn't ended. */
	isDisproved: boolean;
	/** What may have caused it, of this instance's calls: prompt segments and requests. */
	ownSuspects: Set<string>;
	/** The same, of all instances. */
	suspects: Set<string>;
};

/** What the platform's store holds of a quarantine, as far as this instance has read or written it. */
export type StoredQuarantine = Pick<Quarantine, 'crashes' | 'until'> & {
	/** When a write or removal that the store hasn't confirmed is repeated. */
	retryAt: number;
	/** Whether the store has confirmed the last write or removal. */
	isConfirmed: boolean;
};

/** Prompt segment or request that crashes targets. */
export type Quarantine = {
	suspect: string;
	/** Number of crashes that it caused. */
	crashes: number;
	lastCrashAt: number;
	/** Time from which one call at a time is let through at one instance, as a trial. */
	until: number;
	/** How long the quarantine lasts before the trial, in milliseconds. */
	durationMs: number;
	/** Call of this instance that is the current trial; undefined while there is none. */
	trialCall: string | undefined;
};
