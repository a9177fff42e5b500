/*
Messages that routers send to each other. The wire form is `packages/protocol/proto/peer.proto`, field by field; enums
that travel are numbers equal to those of the proto. Times on the wire are durations in milliseconds, since clocks of
two instances are not comparable.
*/
import type {DataVersion} from './gateway/rows.ts';

/** How one attempt at a target ended. */
export enum AttemptEnd {
	/** The complete answer arrived. */
	Whole = 1,
	/** The connection to the target failed: no byte of the request was sent. */
	NotSent = 2,
	/** The target refused it before it ran (overload, cold, draining). */
	Refused = 3,
	/** The connection or the stream broke after the request was sent. */
	Broken = 4,
	/** The caller disconnected and the stream was cancelled. */
	Cancelled = 5,
	/** The target's answer belonged to another request and was dropped. */
	Mismatched = 6,
	/** The origin router no longer needed the permit. */
	Unused = 7,
}

/** Why an owner returns a ticket to its origin router. */
export enum TicketReturnReason {
	/** The owner doesn't own a fitting target any more. */
	NotOwner = 1,
	/** The owner is stopping. */
	Leaving = 2,
	/** Another owner serves work of lower precedence; offer the ticket there. */
	Rebalance = 3,
}

export enum MemberState {
	Active = 1,
	/** Stopping: accepts no new callers, tickets or targets. */
	Leaving = 2,
}

/** Phases of a target's budget. */
export enum Phase {
	Cold = 1,
	Ramping = 2,
	Warm = 3,
	/** Failing: no new work until a time that doubles with each consecutive failure. */
	SetAside = 4,
}

/** Requests a permit for one request from an owner. */
export type TicketOffer = {
	kind: 'ticketOffer';
	/** Request id, unique in the fleet; starts with the id of its origin router. */
	ticket: string;
	workspace: string;
	pool: string;
	/** Prompt tokens, known when the request arrives. */
	inputTokens: number;
	/** 32-bit hash of the prompt's prefix; 0 when there is none. */
	prefixHash: number;
	/** Time left until the caller's deadline. */
	remainingMs: number;
	/** Time that the ticket has waited since the request arrived. */
	waitedMs: number;
	/** Targets at which this request has failed. */
	excluded: string[];
};

export type TicketCancel = {
	kind: 'ticketCancel';
	ticket: string;
};

/** Returns a ticket to its origin router. */
export type TicketReturn = {
	kind: 'ticketReturn';
	ticket: string;
	reason: TicketReturnReason;
	/** Router to offer it to next, or '' when the origin router chooses. */
	next: string;
};

/** Lets the origin router of the ticket start one request at one target. */
export type PermitGrant = {
	kind: 'permitGrant';
	ticket: string;
	target: string;
	epoch: number;
	/** The permit expires if the request isn't sent within this time after the grant. */
	startWithinMs: number;
};

export type PermitProgress = {
	kind: 'permitProgress';
	/** Output tokens so far, by ticket. */
	entries: Array<{ticket: string; outputTokens: number}>;
};

export type PermitReturn = {
	kind: 'permitReturn';
	ticket: string;
	target: string;
	epoch: number;
	end: AttemptEnd;
	outputTokens: number;
	/** Time from sending the request to the first byte of the answer; 0 when none came. */
	firstByteMs: number;
	/** Mean time between output tokens; 0 when there were fewer than two. */
	betweenTokensMs: number;
};

/** Announces to a new owner the permits that are still in use at its target. */
export type PermitAnnounce = {
	kind: 'permitAnnounce';
	target: string;
	epoch: number;
	/** All permits of the sender for the target; empty when it has none. */
	entries: Array<{ticket: string; workspace: string; pool: string; inputTokens: number; outputTokens: number}>;
};

/** Requests tickets of a pool from a router, since the sender's targets have free slots. */
export type WorkRequest = {
	kind: 'workRequest';
	pool: string;
	slots: number;
};

export type TargetHandover = {
	kind: 'targetHandover';
	target: string;
	/** Epoch of the new owner. */
	epoch: number;
	/** Tenure of the new owner's lease that the record names. */
	tenure: string;
	/** Version of the record. */
	version: number;
	phase: Phase;
	budget: number;
	entries: Array<{ticket: string; workspace: string; pool: string; inputTokens: number; outputTokens: number}>;
};

/** Counter of the tokens served to one workspace in one pool at one owner. */
export type ServiceEntry = {
	workspace: string;
	pool: string;
	/** Weighted tokens charged by the sender since it started. */
	service: number;
	/** Tickets that wait at the sender. */
	waiting: number;
	/** The sender's view of the workspace's virtual time, which an owner that has just started adopts. */
	virtualTime: number;
	/**
	Weighted tokens that its callers requested at the sender over the window of shares; left out where shares are kept by
	permits.
	*/
	asked?: number;
	/** Weighted tokens of its calls that started at the sender over that window; left out likewise. */
	started?: number;
};

/** Rate limit that a process of a target named in its latest answer to the instance. */
export type RateLimitEntry = {
	startId: string;
	/** Requests per second that it takes from all instances together; undefined when that answer named no limit any more. */
	requestsPerSecond: number | undefined;
	/** Time since that answer. */
	ageMs: number;
};

/** State of a target as observed by the instance itself. */
export type TargetEntry = {
	target: string;
	/** Requests of the instance in flight at the target. */
	running: number;
	/** Remaining time for which it is cold; 0 for one that isn't. */
	coldForMs: number;
	/** Start id of its process when that one said that it is leaving. */
	leavingStartId?: string;
	rateLimit?: RateLimitEntry;
};

/** Load of one pool at one owner. */
export type PoolEntry = {
	pool: string;
	free: number;
	budget: number;
	waiting: number;
	/** Virtual time of the workspace that the owner serves next; -1 when nothing waits. */
	frontier: number;
};

/** Latest digest of another member that the sender knows of. The entry of the sender itself has age 0. */
export type HeardEntry = {
	member: string;
	incarnation: string;
	/**
	Upper bound of the time since the member sent the last digest that reached the sender, directly or through another
	member.
	*/
	ageMs: number;
	leaseSequence: number;
	/** Number of that digest, counted by the member since its start. */
	digestSequence: number;
	/** Tenure of the member's lease, '' while it has none. */
	tenure: string;
};

/** End of a target's process, as the sender saw it. */
export type CrashEntry = {
	target: string;
	startId: string;
	ageMs: number;
	/** Number of the sender's calls whose answers broke. */
	brokenCalls: number;
	isConfirmed: boolean;
	/** Whether the process began an answer later, so that it hadn't ended. */
	isDisproved: boolean;
	/** Prompt segments and requests that may have caused it. */
	suspects: string[];
};

/** Age of the last answer that showed that a suspected prompt segment does no harm. */
export type SoundSuspectEntry = {
	suspect: string;
	ageMs: number;
};

/** Prompt segment that is sent to no target. */
export type QuarantineEntry = {
	suspect: string;
	/** Number of crashes that it caused. */
	crashes: number;
	/** Time since the last of them. */
	ageMs: number;
	/** Time until a trial; negative while one is due. */
	remainingMs: number;
};

/** Periodic state of one router. */
export type Digest = {
	kind: 'digest';
	state: MemberState;
	failureDomain: string;
	callerUrl: string;
	peerUrl: string;
	/** Revision of the configuration in force at the sender. */
	revision: number;
	leaseSequence: number;
	/**
	Time since the sender sent the renewal of its lease that last took effect, directly or by a relay; -1 when it has no
	lease, or when it knows that members go on renewing theirs while its own has stopped.
	*/
	storeAgeMs: number;
	services: ServiceEntry[];
	pools: PoolEntry[];
	heard: HeardEntry[];
	/** For how long the sender has reached the platform without interruption; undefined when it doesn't reach it. */
	platformReachedMs?: number | undefined;
	/** Time since the platform last answered the sender; undefined when it doesn't reach it. */
	platformAnsweredMs?: number | undefined;
	crashes?: CrashEntry[];
	soundSuspects?: SoundSuspectEntry[];
	quarantines?: QuarantineEntry[];
	/** Targets that are in use at the sender or cold; left out where targets have owners. */
	targets?: TargetEntry[];
	/** Whether the sender is overloaded, so that callers should be sent to other instances. */
	isOverloaded?: boolean;
	/** Processor capacity that the sender uses, in cores. */
	usedCapacity?: number;
	/** Latest change of each kind of the platform's data that the sender has. */
	dataVersions?: DataVersion[];
};

/** Requests the releases after a revision from a peer. */
export type ReleaseRequest = {
	kind: 'releaseRequest';
	after: number;
};

export type ReleaseNotes = {
	kind: 'releaseNotes';
	/** Stored form of each release, in JSON, in order. */
	releases: string[];
};

/** Requests a renewal of the sender's lease from a peer that can reach the Object API. */
export type LeaseRelay = {
	kind: 'leaseRelay';
	key: string;
	value: string;
	ifVersion: number;
};

export type LeaseRelayResult = {
	kind: 'leaseRelayResult';
	key: string;
	/** Nonce of the renewal that was relayed. */
	nonce: string;
	/** New version, or 0 when the write didn't take effect. */
	version: number;
};

/** Streams that began at one pool and software version, by their keys. */
export type StreamGroup = {pool: string; softwareVersion: string; streams: number[]};

/** Software versions that pools have had recently, in the platform's store. */
export type StoredVersions = {
	/** Era of the store's data in which they were written. */
	era: number;
	pools: Array<{pool: string; softwareVersions: string[]}>;
};

/** Records of where streams began, for one of their holders. */
export type StreamRecords = {
	kind: 'streamRecords';
	groups: StreamGroup[];
};

/** Query for where a stream began, and for the versions of the pools at which it may have begun. */
export type StreamQuery = {
	kind: 'streamQuery';
	stream: number;
	pools: string[];
};

/** Software versions of a pool at which a stream that may still be resumed can have begun, as the sender knows them. */
export type PoolVersions = {
	pool: string;
	softwareVersions: string[];
	/** Whether the sender knows all of them. */
	isComplete: boolean;
};

export type StreamReply = {
	kind: 'streamReply';
	stream: number;
	/** Where the stream began; undefined when the sender doesn't know it. */
	pool?: string | undefined;
	softwareVersion?: string | undefined;
	/** Empty when the origin is known. */
	versions: PoolVersions[];
};

/** Messages about streams, between instances that serve routed calls. */
export type StreamMessage = StreamRecords | StreamQuery | StreamReply;

export type PeerMessage
	= | TicketOffer
		| TicketCancel
		| TicketReturn
		| PermitGrant
		| PermitProgress
		| PermitReturn
		| PermitAnnounce
		| WorkRequest
		| TargetHandover
		| Digest
		| ReleaseRequest
		| ReleaseNotes
		| LeaseRelay
		| LeaseRelayResult
		| StreamMessage;

/** One peer message by its kind. */
export type PeerMessageOf<Kind extends PeerMessage['kind']> = Extract<PeerMessage, {kind: Kind}>;
