/*
Rows of the core's tables: plain data that systems read and change. All times are in milliseconds of the local
monotonic clock.
*/
import type {CallerRequest} from './ports.ts';
import type {
	MemberState, Phase, PoolEntry, TargetHandover,
} from './messages.ts';
import type {OwnerRecord} from './records.ts';

/** Another router, or this one, as far as it is known here. */
export type Member = {
	id: string;
	incarnation: string;
	failureDomain: string;
	callerUrl: string;
	peerUrl: string;
	state: MemberState;
	/** Revision of the configuration in force there. */
	revision: number;
	/** Highest lease sequence known. */
	leaseSequence: number;
	/** When that sequence was first known here: its lease was sent before then. */
	leaseSeenAt: number;
	/** It sent its last digest later than this, by the echo of this router's own digests; -Infinity before an echo. */
	lastHeartbeatAt: number;
	/** When its own digest last arrived. */
	digestReceivedAt: number;
	/** Latest time at which the Object API was reached by it or by a member that it hears. */
	storeReachedAt: number;
	/** Its counters of service by pool and workspace, as last received. */
	services: Map<string, number>;
	/** Its waiting tickets by pool and workspace, as last received. */
	waiting: Map<string, number>;
	/** Its load by pool, as last received; `free` and `waiting` are adjusted by what was sent there since. */
	pools: Map<string, PoolEntry>;
};

/** A renewal of another router's lease that it told of in a digest. */
export type ObservedRenewal = {
	sequence: number;
	/** The renewal was sent later than this. */
	sentAfter: number;
	/** When the digest that told of it arrived here. */
	receivedAt: number;
};

/** What leases and digests prove about another router. */
export type PeerLiveness = {
	member: string;
	/** Tenure of its lease; '' while it has none that is known. */
	tenure: string;
	/** Version of its lease object, as last read; 0 while it was not read. */
	version: number;
	/** When it was first known here. */
	firstSeenAt: number;
	/** When this tenure was first known here. */
	tenureSeenAt: number;
	/** Incarnation and number of its latest digest heard, directly or through another member. */
	incarnation: string;
	digestSequence: number;
	/** Whether its last digest said that its lease is in order, or that the Object API is down for it too. */
	countsTowardsQuorum: boolean;
	/** Latest renewals that it told of itself, oldest first. */
	renewals: ObservedRenewal[];
};

/** What this router is doing about the ownership of a target. */
export enum OwnershipChangeKind {
	Claim = 'claim',
	Handover = 'handover',
}

/** Claim or handover in progress. */
export type OwnershipChange = {
	target: string;
	kind: OwnershipChangeKind;
	/** A claim is tried again, and the result of a handover looked up, from this time on. */
	retryAt: number;
	/** A write of it got no answer and may take effect at any time. */
	isWriteUnconfirmed?: boolean;
	/** What a handover writes. */
	record?: OwnerRecord;
	/** Budget of the target when the handover began. */
	handover?: TargetHandover;
};

/** Router that should own a target, as seen here. */
export type PreferredOwner = {
	target: string;
	member: string;
	/** Since when this has been so without a change. */
	stableSince: number;
};

/** Who owns a target. */
export type Ownership = {
	target: string;
	/** Router id, or '' while not known. */
	owner: string;
	/** Tenure of the owner's lease under which it owns the target. */
	tenure: string;
	epoch: number;
	/** Version of the object `owner/TARGET`; 0 while it doesn't exist. */
	version: number;
	/** When this was learnt. */
	learntAt: number;
	/** Whether the owner before may tell of the target in a message that follows the record. */
	expectsHandoverMessage: boolean;
	/** When the Object API last refused a handover. */
	handoverRefusedAt?: number;
	/** What the owner before told of the target, when it handed it to this router. */
	handover?: TargetHandover;
};

/** Budget of a target that this router owns. */
export type Budget = {
	target: string;
	/** Where it is by the configuration in force. */
	url: string;
	epoch: number;
	phase: Phase;
	/** Most permits at once. */
	budget: number;
	/** Good completions since the budget last changed. */
	completions: number;
	consecutiveFailures: number;
	setAsideUntil: number;
	/** Start id of the target, '' before the first load report. */
	startId: string;
	/** Requests that ran at the target by its last report. */
	reportedRunning: number;
	/** Time of which the last report tells at the earliest; -Infinity before the first. */
	reportEarliestAt: number;
	/** Time of which it tells at the latest. */
	reportLatestAt: number;
	/** Undefined when the target doesn't tell. */
	reportedCold: boolean | undefined;
	/** When the target last fell back to its cold budget. */
	lastColdAt: number;
	/** Since when it has had permits out without a break that a restart would fit into; the present time while it has none. */
	busySince: number;
	/** When it last had a permit out. */
	lastBusyAt: number;
	/** When this router took it over from an owner that told nothing; -Infinity after a planned handover. */
	takenOverAt: number;
	/** Members whose announcement is still missing. */
	awaitedAnnouncements: Set<string>;
	/** Permits that ended since the time of the last report. */
	endedPermits: Array<Pick<Permit, 'grantedAt' | 'isAdopted'> & {endedAt: number}>;
	/** When a whole answer of it was last heard of. */
	lastAnswerAt: number;
	/** Usual time to first byte and between tokens, exponentially weighted; 0 before the first sample. */
	firstByteMs: number;
	betweenTokensMs: number;
	consecutiveSlowAnswers: number;
};

export enum RequestState {
	/** Has just come, and is in no queue. */
	Arrived = 'arrived',
	/** Reads the run record of its idempotency key. */
	Checking = 'checking',
	/** Waits for a permit. */
	Queued = 'queued',
	/** Has a permit and writes its run record. */
	Claiming = 'claiming',
	/** Its answer streams. */
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
	/** Router that holds the ticket, '' while it is nowhere. */
	ticketOwner: string;
	/** When the ticket was last offered to it. */
	offeredAt: number;
	/** Weighted tokens that the request counts for in its workspace's queue. */
	queueCost: number;
	excluded: string[];
	target: string;
	epoch: number;
	startedAt: number;
	outputTokens: number;
	delivered: boolean;
	/** Nonce of the run record that this request wrote, '' before. */
	runNonce: string;
	/** Version of that record; 0 while it isn't known to be there. */
	runVersion: number;
	/** The permit is void when the request hasn't left by then. */
	startBy: number;
	/** Whether a byte of the request may have left for a target. */
	mayHaveRun: boolean;
	/** Whether the caller has its final answer or is gone, while an attempt still has to end. */
	isClosed: boolean;
};

export enum RunWriteKind {
	/** Writes the end of a run. */
	End = 'end',
	/** Removes the record of a request that never left. */
	Delete = 'drop',
}

/** Write to a run record that is still to be done. */
export type RunWrite = {
	/** Key of the record in the Object API. */
	key: string;
	/** Nonce of the record; names the write. */
	nonce: string;
	kind: RunWriteKind;
	/** What an end writes; '' for a removal. */
	value: string;
	/** Version that the record has; 0 while it isn't known whether the record exists. */
	version: number;
	attempts: number;
	isInFlight: boolean;
	retryAt: number;
	/** A record that hasn't appeared by then never will. */
	giveUpAt: number;
};

/** Ticket that waits at this router for a permit of its targets. */
export type Ticket = {
	ticket: string;
	/** Router that holds the request. */
	origin: string;
	workspace: string;
	pool: string;
	inputTokens: number;
	prefixHash: number;
	deadline: number;
	arrivedAt: number;
	excluded: string[];
};

/** Permit that this router gave for one of its targets. */
export type Permit = {
	ticket: string;
	origin: string;
	target: string;
	workspace: string;
	pool: string;
	grantedAt: number;
	/** An owner before gave it; `grantedAt` then is when this router learnt of it. */
	isAdopted: boolean;
	inputTokens: number;
	outputTokens: number;
	/** When the holder last reported it. */
	lastReportedAt: number;
	/** Weighted tokens charged for it so far. */
	charged: number;
};

/** Service of one workspace in one pool as an owner sees it, in weighted tokens. */
export type Service = {
	pool: string;
	workspace: string;
	/** Charged by this router since it started. */
	local: number;
	/** Charged by others since this router started. */
	remote: number;
	/** Lift on return from idleness. */
	offset: number;
	/** Expected charges of other owners that this one hasn't heard of yet: of this digest period, and of the one before. */
	expectedRemote: number;
	expectedRemotePrevious: number;
	/** Other owners at which its tickets wait, by their last digests. */
	remoteOwners: number;
	/** Tickets that wait here. */
	waiting: number;
	/** Tickets that wait at other owners, by their last digests. */
	remoteWaiting: number;
	/** Permits given here that are still out. */
	running: number;
	/** Mean output tokens of its answers, exponentially weighted; 0 before the first. */
	meanOutput: number;
	/** When `own` last changed. */
	changedAt: number;
};

/** Demand of the callers of one workspace at this router for one pool, in weighted tokens. */
export type Demand = {
	pool: string;
	workspace: string;
	/** Its requests that wait for a permit, and their cost. */
	queued: number;
	queuedCost: number;
	/** Cost that left the queue since the rate was last measured. */
	drained: number;
	/** Cost that leaves the queue a second, exponentially weighted. */
	drainRate: number;
	/** Retries that it may still spend. */
	retriesLeft: number;
	/** Retries that it has spent. */
	retriesSpent: number;
};

/** What an owner can do for a pool. */
export type Route = {
	owner: string;
	/** Fitting targets. */
	targets: string[];
};
