/*
The world is the whole state of the decision core: tables, the time of the current step, a seeded generator and the
outbox. Nothing in it does I/O; edges feed the inbox and carry out the outbox.
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
	Budget, PeerLiveness, Demand, Member, OwnershipChange, Ownership, Permit, PreferredOwner, Request, Route, RunWrite, Service, Ticket,
} from './rows.ts';
import {createTable, type Table} from './table.ts';

export type Self = {
	id: string;
	/** Random, new at each start of the process. */
	incarnation: string;
	failureDomain: string;
	callerUrl: string;
	peerUrl: string;
	/** IP number and port for peers, bound before the first step; undefined when that isn't sure. */
	boundAddress?: string;
};

export type StoreReply = {
	result: StoreResult;
	objects: StoredObject[];
};

/** Renewal of this router's lease whose result isn't known yet. */
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
	/** Sequence of the last write that was sent; no two writes have the same, since others tell renewals apart by it. */
	attemptedSequence: number;
	/** Version of the object `lease/ROUTER`; 0 while it isn't known. */
	version: number;
	/** The lease is valid before this time; -Infinity before the first. */
	validUntil: number;
	/** The renewal in flight; undefined while none is. */
	renewal: LeaseRenewal | undefined;
	nextRenewalAt: number;
	/** Names the time from creating the lease object to losing it; '' while this router has no lease. */
	tenure: string;
	/** When the last renewal that took effect was sent; -Infinity before the first. */
	renewedAt: number;
	/** When this router learnt that it took effect. */
	confirmedAt: number;
	/** When this tenure started. */
	startedAt: number;
	/** A member renewed its lease so long after this one that the Object API can't be down. */
	isOutageRuledOut: boolean;
	/** Leases of an earlier start of this router: the last value seen and when it was first seen. */
	predecessor: {nonce: string; seenAt: number} | undefined;
	/** Deleted for good, at the end of a planned stop. */
	isDeleted: boolean;
	/** When it was deleted; -Infinity before. */
	deletedAt: number;
};

/** Numbers this router's digests, so that echoes of them bound how old an answer is. */
export type SentDigests = {
	sequence: number;
	/** When each recent digest was sent, by its sequence. */
	sentAt: Map<number, number>;
};

/** Releases that this router knows besides the configuration in force. */
export type Releases = {
	/** Stored forms by revision: the latest in force, and later ones for which one before is still missing. */
	encoded: Map<number, string>;
	/** Whether the configuration has been read from the Object API since the start. */
	isRead: boolean;
};

export type World = {
	readonly self: Self;
	readonly limits: Limits;
	/** Monotonic time of the current step. */
	now: number;
	/** When steps last went on after a pause longer than a permit lasts; -Infinity before. */
	resumedAt: number;
	state: MemberState;
	/** When the stop was requested; undefined while none was. */
	stopRequestedAt: number | undefined;
	configuration: Configuration;
	releases: Releases;
	lease: Lease;
	/** When this router itself last reached the Object API; -Infinity before. */
	storeReachedAt: number;
	/** All routers known, this one included. */
	members: Table<Member>;
	/** What leases and digests prove about each router. */
	peerLiveness: Table<PeerLiveness>;
	sentDigests: SentDigests;
	/** When the latest complete list of the leases was asked for; -Infinity before the first. */
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
	/** Handovers to this router whose record it hasn't seen yet, by target. */
	pendingHandovers: Map<string, {message: TargetHandover; receivedAt: number}>;
	preferredOwners: Table<PreferredOwner>;
	/** Preferred owners as last computed, by target, and the view that they follow from. */
	preferredOwnerCache: {cacheKey: string; owners: Map<string, string>};
	budgets: Table<Budget>;
	requests: Table<Request>;
	/** Writes to run records that are still to be done, by the record's nonce. */
	runWrites: Table<RunWrite>;
	/** When a record of each router incarnation that isn't heard was first looked at. */
	lostRunRoutersSeenAt: Map<string, number>;
	/** By pool and workspace, see `serviceKey`. */
	tickets: Table<Ticket>;
	/** By target. */
	permits: Table<Permit>;
	/** Owner's view of service, by pool. */
	services: Table<Service>;
	/** Demand of the callers of this router. */
	demands: Table<Demand>;
	/** Owners of each pool's targets, rebuilt by `routesSystem`. */
	routes: Map<string, Route[]>;
	/** What the routes were built from: the configuration and the version of the ownerships. */
	routesSource: {configuration: Configuration; ownerships: number} | undefined;
	/** Continuations of store operations in flight, by operation. */
	pendingOperations: Map<number, (reply: StoreReply) => void>;
	nextOperationId: number;
	/** When each periodic system last ran, by its name. */
	periodStartedAt: Map<string, number>;
	/** Free slots of which others were last told, by pool; none since the slots were last all taken. */
	advertisedSlots: Map<string, number>;
	/** Virtual time at which a workspace was last served. */
	virtualTime: number;
	randomGenerator: RandomGenerator;
	/** Messages of this router to itself, handled within the same step. */
	loopback: PeerMessage[];
	outbox: Outbound[];
};

export type WorldOptions = {
	self: Self;
	seed: number;
	now: number;
	limits?: Partial<Limits>;
};

/** Creates the state of a router that has just started and knows nothing. */
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
		peerLiveness: createTable<PeerLiveness>({key: contact => contact.member}),
		sentDigests: {sequence: 0, sentAt: new Map()},
		leasesListedAt: Number.NEGATIVE_INFINITY,
		ownersListed: false,
		instances: undefined,
		ownerships: createTable<Ownership>({key: ownership => ownership.target}),
		ownedTargets: new Map(),
		ownershipChanges: createTable<OwnershipChange>({key: move => move.target}),
		pendingHandovers: new Map(),
		preferredOwners: createTable<PreferredOwner>({key: preference => preference.target}),
		preferredOwnerCache: {cacheKey: '', owners: new Map()},
		budgets: createTable<Budget>({key: budget => budget.target}),
		requests: createTable<Request>({key: request => request.id}),
		runWrites: createTable<RunWrite>({key: write => write.nonce}),
		lostRunRoutersSeenAt: new Map(),
		tickets: createTable<Ticket>({key: ticket => ticket.ticket, index: ticket => getServiceKey(ticket)}),
		permits: createTable<Permit>({key: permit => permit.ticket, index: permit => permit.target}),
		services: createTable<Service>({key: service => getServiceKey(service), index: service => service.pool}),
		demands: createTable<Demand>({key: demand => getServiceKey(demand)}),
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

/** Uniform number in [0, 1). */
export function randomFraction(world: Pick<World, 'randomGenerator'>): number {
	return (world.randomGenerator.unsafeNext() / 0x1_00_00_00_00) + 0.5;
}

/** Uniform element of a list that isn't empty. */
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

/** Key of the rows that stand for one workspace in one pool. */
export function getServiceKey({pool, workspace}: {pool: string; workspace: string}): string {
	return `${pool}/${workspace}`;
}

/** Sends a message to a member, this router included; messages to members that are not known are dropped. */
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

/** Starts an operation on the Object API; `then` runs in the step that gets the reply. */
export function startStoreOperation(world: World, action: StoreOperation, then: (reply: StoreReply) => void) {
	const operation = world.nextOperationId;
	world.nextOperationId += 1;
	world.pendingOperations.set(operation, then);
	world.outbox.push({kind: 'store', operation, action});
}

/** Adds a log line to the outbox. */
export function log(world: World, part: LogPart, text: string, level: 'debug' | 'info' | 'warn' | 'error' = 'info') {
	world.outbox.push({
		kind: 'log', part, level, text,
	});
}

/** Whether a periodic system is due; when it is, its period starts anew. */
export function startPeriodIfDue(world: Pick<World, 'now' | 'periodStartedAt'>, name: string, periodMs: number): boolean {
	const last = world.periodStartedAt.get(name);
	if (last !== undefined && world.now - last < periodMs) {
		return false;
	}

	world.periodStartedAt.set(name, world.now);
	return true;
}
