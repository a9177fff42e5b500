/*
The world is the whole state of the decision core: tables, the time of the current step, a seeded random generator and
the outbox. It does no I/O: adapters fill the inbox and execute the items of the outbox.
*/
import {xoroshiro128plus, type RandomGenerator} from 'pure-rand';
import {createEmptyConfiguration, type Configuration} from './configuration.ts';
import {completeLimits, type Limits} from './limits.ts';
import {MemberState, type PeerMessage, type TargetHandover} from './messages.ts';
import type {
	LogPart, Outbound, StoreOperation, StoreResult, StoredObject,
} from './ports.ts';
import type {LeaseRecord} from './records.ts';
import type {
	Budget, PeerLiveness, Demand, Member, OwnershipChange, Ownership, Permit, PreferredOwner, Request, Route, RunWrite, ServedTokens, Ticket,
} from './rows.ts';
import {createTable, type Table} from './table.ts';

export type Self = {
	id: string;
	/** Random, new at each start of the process. */
	incarnation: string;
	failureDomain: string;
	callerUrl: string;
	peerUrl: string;
	/** IP number and port for peers, bound before the first step; undefined when it is not known for certain. */
	boundAddress?: string;
};

export type StoreReply = {
	result: StoreResult;
	objects: StoredObject[];
};

/** Pending renewal of this router's lease. */
export type LeaseRenewal = {
	/** Undefined while the object is read to learn its version. */
	record: LeaseRecord | undefined;
	sentAt: number;
	isRelayed: boolean;
};

/** State of this router's own lease. */
export type Lease = {
	/** Sequence of the last renewal that took effect. */
	sequence: number;
	/** Sequence of the last write that was sent; unique per write, since other routers distinguish renewals by it. */
	attemptedSequence: number;
	/** Version of the object `lease/ROUTER`; 0 while it isn't known. */
	version: number;
	/** The lease is valid before this time; -Infinity before the first. */
	validUntil: number;
	/** The renewal in flight; undefined while none is. */
	renewal: LeaseRenewal | undefined;
	nextRenewalAt: number;
	/** Identifies the time from creating the lease object to losing it; '' while this router has no lease. */
	tenure: string;
	/** When the last renewal that took effect was sent; -Infinity before the first. */
	renewedAt: number;
	/** When that renewal was confirmed to this router. */
	confirmedAt: number;
	/** When this tenure started. */
	startedAt: number;
	/** A member renewed its lease so long after this router that an outage of the Object API is ruled out. */
	isOutageRuledOut: boolean;
	/** Lease of an earlier start of this router: nonce of the last value seen, and when that value was first seen. */
	predecessor: {nonce: string; seenAt: number} | undefined;
	/** Deleted for good, at the end of a planned stop. */
	isDeleted: boolean;
	/** When it was deleted; -Infinity before. */
	deletedAt: number;
};

/** Sequence numbers and send times of this router's digests, from which echoes give a bound of a reply's age. */
export type SentDigests = {
	sequence: number;
	/** When each recent digest was sent, by its sequence. */
	sentAt: Map<number, number>;
};

/** Releases known to this router, besides the configuration in force. */
export type Releases = {
	/** Stored forms by revision: the latest in force, and later ones that wait for a missing earlier release. */
	encoded: Map<number, string>;
	/** Whether the configuration has been read from the Object API since the start. */
	isRead: boolean;
};

export type World = {
	readonly self: Self;
	readonly limits: Limits;
	/** Monotonic time of the current step. */
	now: number;
	/**
	When steps last resumed after a pause longer than `startWithinMs`, the lifetime of an unused permit; -Infinity before.
	*/
	resumedAt: number;
	state: MemberState;
	/** When the stop was requested; undefined while none was. */
	stopRequestedAt: number | undefined;
	configuration: Configuration;
	releases: Releases;
	lease: Lease;
	/** When this router itself last reached the Object API; -Infinity before. */
	storeReachedAt: number;
	/** All known routers, including this one. */
	members: Table<Member>;
	/** Evidence from leases and digests, by router. */
	peerLiveness: Table<PeerLiveness>;
	sentDigests: SentDigests;
	/** When the latest complete list of leases was requested; -Infinity before the first. */
	leasesListedAt: number;
	/** Whether all ownership records have been read since the start. */
	ownersListed: boolean;
	/** Instances on the platform's list, by id; undefined before the first. */
	instances: Set<string> | undefined;
	ownerships: Table<Ownership>;
	/** Epochs of the targets that this router serves as owner, by target. */
	ownedTargets: Map<string, number>;
	/** Claims and handovers in progress. */
	ownershipChanges: Table<OwnershipChange>;
	/** Handover messages whose ownership record hasn't arrived yet, by target. */
	pendingHandovers: Map<string, {message: TargetHandover; receivedAt: number}>;
	preferredOwners: Table<PreferredOwner>;
	/** Preferred owners by target as last computed, and the key of the inputs of that computation. */
	preferredOwnerCache: {cacheKey: string; owners: Map<string, string>};
	budgets: Table<Budget>;
	requests: Table<Request>;
	/** Pending writes to run records, by the record's nonce. */
	runWrites: Table<RunWrite>;
	/** By incarnation of a router that is not alive: when one of its run records was first read. */
	lostRunRoutersSeenAt: Map<string, number>;
	/** By pool and workspace, see `getWorkspacePoolKey`. */
	tickets: Table<Ticket>;
	/** By target. */
	permits: Table<Permit>;
	/** Tokens served to each workspace as known to this owner, by pool. */
	servedTokens: Table<ServedTokens>;
	/** Demand of the callers of this router. */
	demands: Table<Demand>;
	/** Owners of each pool's targets, rebuilt by `routesSystem`. */
	routes: Map<string, Route[]>;
	/** Inputs of the routes: the configuration and the version of the table of ownerships. */
	routesSource: {configuration: Configuration; ownerships: number} | undefined;
	/** Callbacks of Object API operations in flight, by operation id. */
	pendingOperations: Map<number, (reply: StoreReply) => void>;
	nextOperationId: number;
	/** Start of the current period of each periodic task, by its name. */
	periodStartedAt: Map<string, number>;
	/** Free slots last advertised to other routers, by pool; removed when no slot is free. */
	advertisedSlots: Map<string, number>;
	/** Virtual time at which a workspace was last served. */
	virtualTime: number;
	randomGenerator: RandomGenerator;
	/** Messages from this router to itself, handled within the same step. */
	loopback: PeerMessage[];
	outbox: Outbound[];
};

export type WorldOptions = {
	self: Self;
	seed: number;
	now: number;
	limits?: Partial<Limits>;
};

/** Creates the state of a router at its start. */
export function createWorld({self, seed, now, limits}: WorldOptions): World {
	return {
		self,
		limits: completeLimits(limits),
		now,
		resumedAt: Number.NEGATIVE_INFINITY,
		state: MemberState.Active,
		stopRequestedAt: undefined,
		configuration: createEmptyConfiguration(),
		releases: {encoded: new Map(), isRead: false},
		lease: {
			sequence: 0, attemptedSequence: 0, version: 0, validUntil: Number.NEGATIVE_INFINITY, renewal: undefined, nextRenewalAt: now,
			tenure: '', renewedAt: Number.NEGATIVE_INFINITY, confirmedAt: Number.NEGATIVE_INFINITY, startedAt: Number.POSITIVE_INFINITY,
			isOutageRuledOut: false, predecessor: undefined, isDeleted: false, deletedAt: Number.NEGATIVE_INFINITY,
		},
		storeReachedAt: Number.NEGATIVE_INFINITY,
		members: createTable<Member>({key: member => member.id, index: member => member.failureDomain}),
		peerLiveness: createTable<PeerLiveness>({key: peer => peer.member}),
		sentDigests: {sequence: 0, sentAt: new Map()},
		leasesListedAt: Number.NEGATIVE_INFINITY,
		ownersListed: false,
		instances: undefined,
		ownerships: createTable<Ownership>({key: ownership => ownership.target}),
		ownedTargets: new Map(),
		ownershipChanges: createTable<OwnershipChange>({key: change => change.target}),
		pendingHandovers: new Map(),
		preferredOwners: createTable<PreferredOwner>({key: preferred => preferred.target}),
		preferredOwnerCache: {cacheKey: '', owners: new Map()},
		budgets: createTable<Budget>({key: budget => budget.target}),
		requests: createTable<Request>({key: request => request.id}),
		runWrites: createTable<RunWrite>({key: write => write.nonce}),
		lostRunRoutersSeenAt: new Map(),
		tickets: createTable<Ticket>({key: ticket => ticket.ticket, index: ticket => getWorkspacePoolKey(ticket)}),
		permits: createTable<Permit>({key: permit => permit.ticket, index: permit => permit.target}),
		servedTokens: createTable<ServedTokens>({key: served => getWorkspacePoolKey(served), index: served => served.pool}),
		demands: createTable<Demand>({key: demand => getWorkspacePoolKey(demand)}),
		routes: new Map(),
		routesSource: undefined,
		pendingOperations: new Map(),
		nextOperationId: 1,
		periodStartedAt: new Map(),
		advertisedSlots: new Map(),
		virtualTime: 0,
		randomGenerator: xoroshiro128plus(seed),
		loopback: [],
		outbox: [],
	};
}

/** Uniformly distributed number in [0, 1). */
export function randomFraction(world: Pick<World, 'randomGenerator'>): number {
	return (world.randomGenerator.unsafeNext() / 0x1_00_00_00_00) + 0.5;
}

/** Uniformly random element; undefined for an empty list. */
export function pickRandom<Item>(world: Pick<World, 'randomGenerator'>, items: readonly Item[]): Item | undefined {
	return items[Math.floor(randomFraction(world) * items.length)];
}

/** The items in random order. */
export function shuffle<Item>(world: Pick<World, 'randomGenerator'>, items: Item[]): Item[] {
	return items
		.map(item => ({item, key: randomFraction(world)}))
		.toSorted((a, b) => a.key - b.key)
		.map(({item}) => item);
}

/** Random text of `length` letters and digits, for nonces. */
export function createNonce(world: World, length = 12): string {
	let text = '';
	while (text.length < length) {
		text += Math.floor(randomFraction(world) * 36).toString(36);
	}

	return text;
}

/** Key of rows about one workspace in one pool. */
export function getWorkspacePoolKey({pool, workspace}: {pool: string; workspace: string}): string {
	return `${pool}/${workspace}`;
}

/** Sends a message to a member, including this router; messages to unknown members are dropped. */
export function send(world: World, to: string, message: PeerMessage) {
	if (to === world.self.id) {
		world.loopback.push(message);
		return;
	}

	const member = world.members.get(to);
	if (member) {
		world.outbox.push({
			kind: 'send', to, peerUrl: member.peerUrl, message,
		});
	}
}

/** Starts an operation on the Object API; `onReply` runs in the step that receives the reply. */
export function startStoreOperation(world: World, action: StoreOperation, onReply: (reply: StoreReply) => void) {
	const operation = world.nextOperationId;
	world.nextOperationId += 1;
	world.pendingOperations.set(operation, onReply);
	world.outbox.push({kind: 'store', operation, action});
}

/** Adds a log line to the outbox. */
export function log(world: World, part: LogPart, text: string, level: 'debug' | 'info' | 'warn' | 'error' = 'info') {
	world.outbox.push({
		kind: 'log', part, level, text,
	});
}

/** Returns whether a periodic task is due, and starts its next period if so. */
export function startPeriodIfDue(world: Pick<World, 'now' | 'periodStartedAt'>, name: string, periodMs: number): boolean {
	const last = world.periodStartedAt.get(name);
	if (last !== undefined && world.now - last < periodMs) {
		return false;
	}

	world.periodStartedAt.set(name, world.now);
	return true;
}
