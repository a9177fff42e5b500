/*
Row types of the core's tables: plain data that systems read and change. All times are in milliseconds of the local
monotonic clock.
*/
import type {CallerRequest} from './ports.ts';
import type {
	MemberState, Phase, PoolEntry, TargetHandover,
} from './messages.ts';
import type {OwnerRecord} from './records.ts';

/** State of a router (another one or this one) as known here. */
export type Member = {
	id: string;
	incarnation: string;
	failureDomain: string;
	callerUrl: string;
	peerUrl: string;
	state: MemberState;
	/** Revision of the configuration in force there. */
	revision: number;
	/** Highest known sequence number of its lease. */
	leaseSequence: number;
	/** When that sequence was first seen here; the renewal was sent before then. */
	leaseSeenAt: number;
	/**
	Lower bound of the send time of its last digest, from the echo of this router's own digests; -Infinity before an echo.
	*/
	lastHeartbeatAt: number;
	/** When a digest last arrived directly from it. */
	digestReceivedAt: number;
	/** Latest time at which it, or a member whose digests it receives, reached the Object API. */
	storeReachedAt: number;
	/** Its cumulative counters of served tokens, by pool and workspace, as last received. */
	services: Map<string, number>;
	/** Number of its waiting tickets by pool and workspace, as last received. */
	waiting: Map<string, number>;
	/** Its load by pool, as last received; `free` and `waiting` are adjusted for tickets sent there since. */
	pools: Map<string, PoolEntry>;
};

/** Lease renewal that another router reported in a digest. */
export type ObservedRenewal = {
	sequence: number;
	/** Lower bound of the time at which the renewal was sent. */
	sentAfter: number;
	/** When the digest that reported it arrived here. */
	receivedAt: number;
};

/** Evidence from leases and digests that another router is alive. */
export type PeerLiveness = {
	member: string;
	/** Tenure of its lease; '' while none is known. */
	tenure: string;
	/** Version of its lease object, as last read; 0 before the first read. */
	version: number;
	/** When the router was first seen here. */
	firstSeenAt: number;
	/** When this tenure was first seen here. */
	tenureSeenAt: number;
	/** Incarnation and sequence number of its latest known digest, received directly or reported by another member. */
	incarnation: string;
	digestSequence: number;
	/** Whether its last digest reported a valid lease, or that it can't reach the Object API either. */
	countsTowardsQuorum: boolean;
	/** Latest renewals that it reported itself, oldest first. */
	renewals: ObservedRenewal[];
};

/** How this router is changing the ownership of a target. */
export enum OwnershipChangeKind {
	Claim = 'claim',
	Handover = 'handover',
}

/** Change of ownership in progress: a claim or a handover. */
export type OwnershipChange = {
	target: string;
	kind: OwnershipChangeKind;
	/** Earliest time to retry a claim, or to look up the result of a handover. */
	retryAt: number;
	/** One of its writes got no answer and may take effect at any time. */
	isWriteUnconfirmed?: boolean;
	/** Record that a handover writes. */
	record?: OwnerRecord;
	/** Budget of the target when the handover began. */
	handover?: TargetHandover;
};

/** Router that should own a target, as computed here. */
export type PreferredOwner = {
	target: string;
	member: string;
	/** Time of the last change of `member`. */
	stableSince: number;
};

/** Ownership of a target, from its record. */
export type Ownership = {
	target: string;
	/** Router id, or '' while not known. */
	owner: string;
	/** Tenure of the owner's lease under which it owns the target. */
	tenure: string;
	epoch: number;
	/** Version of the object `owner/TARGET`; 0 while it doesn't exist. */
	version: number;
	/** When the record was received. */
	learntAt: number;
	/** Whether the previous owner may still send a handover message after the record. */
	expectsHandoverMessage: boolean;
	/** When the Object API last refused a handover. */
	handoverRefusedAt?: number;
	/** Handover message of the previous owner, if it handed the target to this router. */
	handover?: TargetHandover;
};

/** Budget of a target that this router owns. */
export type Budget = {
	target: string;
	/** Base URL in the configuration in force. */
	url: string;
	epoch: number;
	phase: Phase;
	/** Maximum number of concurrent permits. */
	budget: number;
	/** Successful completions since the budget last changed. */
	completions: number;
	consecutiveFailures: number;
	setAsideUntil: number;
	/** Start id of the target process; '' before the first load report. */
	startId: string;
	/** Requests running at the target according to its last report. */
	reportedRunning: number;
	/** Earliest time that the last load report may describe; -Infinity before the first. */
	reportEarliestAt: number;
	/** Latest time that it may describe. */
	reportLatestAt: number;
	/** Undefined when the target doesn't report it. */
	reportedCold: boolean | undefined;
	/** When the target was last reset to its cold budget. */
	lastColdAt: number;
	/** Start of the current period with outstanding permits and no gap long enough for a restart; now while there are none. */
	busySince: number;
	/** When a permit was last outstanding. */
	lastBusyAt: number;
	/** When this router took over without a handover message; -Infinity after a planned handover. */
	takenOverAt: number;
	/** Members whose permit announcement has not arrived yet. */
	awaitedAnnouncements: Set<string>;
	/** Permits that ended after the earliest time of the last load report. */
	endedPermits: Array<Pick<Permit, 'grantedAt' | 'isAdopted'> & {endedAt: number}>;
	/** When a complete answer was last reported. */
	lastAnswerAt: number;
	/** Exponentially weighted mean time to first byte and between tokens; 0 before the first sample. */
	firstByteMs: number;
	betweenTokensMs: number;
	consecutiveSlowAnswers: number;
};

export enum RequestState {
	/** Newly arrived, not queued yet. */
	Arrived = 'arrived',
	/** The run record of its idempotency key is being read. */
	Checking = 'checking',
	/** Waits for a permit. */
	Queued = 'queued',
	/** Has a permit; its run record is being written. */
	Claiming = 'claiming',
	/** Its answer is being streamed. */
	Running = 'running',
	/** Waits for a duplicate that runs elsewhere. */
	AwaitingDuplicate = 'following',
}

/** Request of a caller that is connected to this router. */
export type Request = CallerRequest & {
	state: RequestState;
	arrivedAt: number;
	attempts: number;
	resumes: number;
	/** Owner whose queue has the ticket; '' while none has it. */
	ticketOwner: string;
	/** When the ticket was last offered to that owner. */
	offeredAt: number;
	/** Cost of the request in its workspace's queue, in weighted tokens. */
	queueCost: number;
	excluded: string[];
	target: string;
	epoch: number;
	startedAt: number;
	outputTokens: number;
	delivered: boolean;
	/** Nonce of the run record that this request wrote; '' before. */
	runNonce: string;
	/** Version of that record; 0 while it isn't known to exist. */
	runVersion: number;
	/** The permit expires if the request hasn't been sent by then. */
	startBy: number;
	/** Whether any byte of the request may have been sent to a target. */
	mayHaveRun: boolean;
	/** Whether the caller has its final answer or has disconnected while an attempt is still running. */
	isClosed: boolean;
};

export enum RunWriteKind {
	/** Writes the end of a run. */
	End = 'end',
	/** Deletes the record of a request that was never sent. */
	Delete = 'drop',
}

/** Pending write to a run record. */
export type RunWrite = {
	/** Key of the record in the Object API. */
	key: string;
	/** Nonce of the record; identifies the write. */
	nonce: string;
	kind: RunWriteKind;
	/** Value written at the end of a run; '' for a deletion. */
	value: string;
	/** Current version of the record; 0 while it isn't known whether the record exists. */
	version: number;
	attempts: number;
	isInFlight: boolean;
	retryAt: number;
	/** A record that hasn't appeared by then is treated as never written. */
	giveUpAt: number;
};

/** Ticket queued at this router for a permit of one of its targets. */
export type Ticket = {
	ticket: string;
	/** Router that has the caller's connection. */
	origin: string;
	workspace: string;
	pool: string;
	inputTokens: number;
	prefixHash: number;
	deadline: number;
	arrivedAt: number;
	excluded: string[];
};

/** Permit granted by this router for one of its targets. */
export type Permit = {
	ticket: string;
	origin: string;
	target: string;
	workspace: string;
	pool: string;
	grantedAt: number;
	/** A previous owner granted it; `grantedAt` then is when this router learnt of it. */
	isAdopted: boolean;
	inputTokens: number;
	outputTokens: number;
	/** When the origin router last reported it. */
	lastReportedAt: number;
	/** Weighted tokens charged for it so far. */
	charged: number;
};

/** Tokens served to one workspace in one pool as known to an owner, in weighted tokens. */
export type ServedTokens = {
	pool: string;
	workspace: string;
	/** Charged by this router since it started. */
	local: number;
	/** Charged by other owners since this router started. */
	remote: number;
	/** Added when the workspace returns from idleness. */
	offset: number;
	/** Expected charges by other owners that haven't been reported yet: in this digest period and in the previous one. */
	expectedRemote: number;
	expectedRemotePrevious: number;
	/** Number of other owners with waiting tickets of the workspace, by their last digests. */
	remoteOwners: number;
	/** Tickets waiting here. */
	waiting: number;
	/** Tickets waiting at other owners, by their last digests. */
	remoteWaiting: number;
	/** Outstanding permits granted here. */
	running: number;
	/** Mean output tokens of its answers, exponentially weighted; 0 before the first. */
	meanOutput: number;
	/** When `local` last changed. */
	changedAt: number;
};

/** Demand of the callers of one workspace at this router for one pool, in weighted tokens. */
export type Demand = {
	pool: string;
	workspace: string;
	/** Its requests waiting for a permit, and their cost. */
	queued: number;
	queuedCost: number;
	/** Cost that left the queue since the rate was last measured. */
	drained: number;
	/** Cost that leaves the queue per second, exponentially weighted. */
	drainRate: number;
	/** Retries still available. */
	retriesLeft: number;
	/** Retries used so far. */
	retriesSpent: number;
};

/** Owner of targets that serve a pool. */
export type Route = {
	owner: string;
	/** Its targets that serve the pool. */
	targets: string[];
};
