/*
State of the gateway of one instance. Each instance decides alone: it chooses targets for its callers' requests by the load
that targets report and by the requests that it has sent to them itself. Limits that hold for the whole fleet are split among
its members. See docs/design/placement.md.
*/
import {xoroshiro128plus, type RandomGenerator} from 'pure-rand';
import {MemberState, type ServiceEntry} from '../messages.ts';
import type {LogPart} from '../ports.ts';
import {createTable, type Table} from '../table.ts';
import type {Catalogue} from './catalogue.ts';
import type {DataKind, WatchRole} from './data-sources.ts';
import {defaultGatewayLimits, type GatewayLimits} from './limits.ts';
import type {GatewayOutbound} from './ports.ts';
import {createStoredStreams, type StoredStreams} from './stored-streams.ts';
import type {StopBudget} from './time-budgets.ts';
import type {
	Call, Crash, DataVersion, FormerTarget, Instance, MissingData, PoolTarget, Quarantine, SendCount, StoredQuarantine, Usage, StreamOrigin,
} from './rows.ts';

export type GatewaySelf = Pick<Instance, 'id' | 'incarnation' | 'failureDomain' | 'callerAddress' | 'peerUrl' | 'capacity'>;

/** Running estimates for one pool, from the answers that this instance has seen. */
export type PoolEstimates = {
	pool: string;
	/** Prompt tokens that its engines prefill per millisecond; 0 before the first sample. */
	prefillTokensPerMs: number;
	/** Shortest recent time to a first byte; 0 before the first sample. */
	minFirstByteMs: number;
	/**
	Maximum number of requests at once at one of its engines, adjusted by the times to first byte; 0 before the first
	sample.
	*/
	concurrencyLimit: number;
	/** Mean time to the first byte of a call without a prompt; 0 before the first sample. */
	meanWorkMs: number;
};

/** Phase of a planned stop. */
export enum StopPhase {
	/** Calls are taken from callers that cached the address. */
	Lingering = 'lingering',
	/** Calls finish; new ones are taken only if their deadline lies before the end of the stop. */
	Draining = 'draining',
	Done = 'done',
}

/** A planned stop that has been requested. */
export type PlannedStop = {
	requestedAt: number;
	/** Its times as of the request: new settings don't change them. */
	times: Readonly<StopBudget>;
	/** Calls that were refused on arrival because of the stop. */
	refusedCalls: number;
};

/** Whether the platform can be reached, since when, and whether its data is complete. */
export type PlatformReachability = {
	isReached: boolean;
	/** Since when it has or hasn't been reached; interruptions in which no entry can lapse don't count. */
	since: number;
	/** Since when it had been reached before the latest outage. */
	connectedBefore: number;
	/** Time of its last answer. */
	lastAnswerAt: number;
	/** When the latest request for targets that was answered had been sent: the list has all changes up to then. */
	listedAt: number;
	/** Whether this instance has noticed an outage in which entries may have lapsed. */
	hadOutage: boolean;
	/** When it was last seen to have returned with older data; undefined while that hasn't happened. */
	dataReturnedAt: number | undefined;
	/** Era of its data since then; undefined when it didn't state it. */
	returnedEra: number | undefined;
};

export type Gateway = {
	readonly self: GatewaySelf;
	readonly limits: GatewayLimits;
	startedAt: number;
	/** Monotonic time of the current step. */
	now: number;
	state: MemberState;
	/** Undefined until a stop is requested. */
	stop: PlannedStop | undefined;
	stopPhase: StopPhase;
	/** Undefined until the first one arrives. */
	catalogue: Catalogue | undefined;
	/** Whether the platform's list of targets has been received. */
	hasTargetList: boolean;
	targets: Table<PoolTarget>;
	/** Targets that are kept though the platform no longer lists them, since an outage may be the cause; and since when. */
	unlistedTargets: Map<string, number>;
	/** Processes of targets whose rows were removed, by target and start id; in the order of their removal. */
	formerTargets: Map<string, FormerTarget>;
	/**
	Targets of a pool in the rendezvous order of a prompt segment, by pool and segment; valid for one version of
	`targets`.
	*/
	targetRankings: Map<string, {version: number; targets: PoolTarget[]}>;
	domainsOut: Set<string>;
	/** Of these, the ones that haven't been listed since the platform returned with older data. */
	unconfirmedDomainsOut: Set<string>;
	platform: PlatformReachability;
	calls: Table<Call>;
	/** Ids of the calls that wait for a slot, by pool; oldest first. */
	queues: Map<string, Set<string>>;
	usages: Table<Usage>;
	/** Fair level by pool, in served tokens of one workspace; Infinity while all demands can be met. */
	fairLevels: Map<string, number>;
	/** Smoothed fair level by pool, relative to which served tokens are lowered when the fair level falls. */
	fairLevelReferences: Map<string, number>;
	/** When all targets of a pool were last found full, by pool. */
	lastFullAt: Map<string, number>;
	sendCounts: Map<string, SendCount[]>;
	poolEstimates: Table<PoolEstimates>;
	/** Ends of targets' processes, by target and start id; oldest first. */
	crashes: Map<string, Crash>;
	/** When an answer last showed that a suspect does no harm, by suspect; least recent first. */
	soundSuspects: Map<string, number>;
	/** Prompt segments and requests that crash targets, by suspect; oldest first. */
	quarantines: Map<string, Quarantine>;
	/** What the platform's store holds of quarantines, by suspect. */
	storedQuarantines: Map<string, StoredQuarantine>;
	/** Whether a quarantine has begun since the open calls were last checked. */
	hasNewQuarantine: boolean;
	/** Where streams began that callers may resume, by stream; oldest first. */
	streamOrigins: Map<number, StreamOrigin & {recordedAt: number}>;
	/** Instances that may be holders of streams, and their rankings by group of streams; the version changes with the instances. */
	holderRanking: {candidates: Instance[]; version: number; byGroup: Map<number, Instance[]>};
	storedStreams: StoredStreams;
	/** When the last target of a software version that a pool no longer has was removed, by pool and version. */
	formerVersions: Map<string, Map<string, number>>;
	/** Since when this instance knows all software versions of all pools; undefined before its first list of targets. */
	versionsKnownSince: number | undefined;
	instances: Table<Instance>;
	/** Whether the platform's list of instances has been received. */
	hasInstanceList: boolean;
	/** Instances that are kept though the platform no longer lists them, since it returned with older data. */
	unlistedInstances: Set<string>;
	/** Processes of instances that were replaced or removed, by id and incarnation. */
	formerIncarnations: Set<string>;
	/** When a registration was last requested; -Infinity before the first. */
	registerRequestedAt: number;
	/** State in the last requested registration. */
	registerRequestedState: MemberState | undefined;
	periodStartedAt: Map<string, number>;
	randomGenerator: RandomGenerator;
	/** Ids of the instances to which callers are sent. */
	servingInstances: Set<string>;
	/** Ids of the instances that would serve in an idle and healthy fleet. */
	primaryInstances: Set<string>;
	/** Ids of the primary instances that watch the platform most closely. */
	watchers: Set<string>;
	/** How closely this instance watches the platform's data, by kind. */
	watchRoles: Map<DataKind, WatchRole>;
	/** Latest change that this instance has, by kind of data. */
	dataVersions: Map<DataKind, DataVersion>;
	/** Revision up to which this instance has all changes, by kind of data. */
	coveredVersions: Map<DataKind, DataVersion>;
	/** Changes that another instance has and this one misses, by kind of data. */
	missingData: Map<DataKind, MissingData>;
	/** Instances among which rate limits of targets are split; the version changes with them. */
	limitCandidates: {ids: string[]; version: number};
	/** Usage of the pools by this instance's callers, as in its last digest. */
	reportedServices: ServiceEntry[];
	/** Processor capacity that this process uses, in cores. */
	usedCapacity: number;
	/** Processor use of the fleet for which the serving set is sized, in cores, and when it was computed. */
	demandCapacity: number;
	demandUpdatedAt: number;
	/** Time until which no stream is resumed, after a stall: what became of the targets meanwhile isn't read yet. */
	streamsHeldUntil: number;
	/** Time until which this instance counts as overloaded. */
	overloadedUntil: number;
	outbox: GatewayOutbound[];
};

export type GatewayOptions = {
	self: GatewaySelf;
	seed: number;
	now: number;
	limits?: Partial<GatewayLimits>;
	/** Whether the whole fleet starts for the first time, so that nothing has happened before. */
	isFirstStart?: boolean | undefined;
};

/** Lets the life of an instance begin now: the time that passed since it was created, before its first step, doesn't count. */
export function beginGateway(gateway: Gateway, now: number) {
	gateway.startedAt = now;
	gateway.now = now;
	Object.assign(gateway.platform, {since: now, connectedBefore: now, lastAnswerAt: now});
}

/** Creates the state of an instance that has just started and has received nothing yet. */
export function createGateway({
	self, seed, now, limits, isFirstStart = false,
}: GatewayOptions): Gateway {
	return {
		self,
		limits: {...defaultGatewayLimits, ...limits},
		startedAt: now,
		now,
		state: MemberState.Active,
		stop: undefined,
		stopPhase: StopPhase.Lingering,
		catalogue: undefined,
		hasTargetList: false,
		targets: createTable<PoolTarget>({key: target => target.id, index: target => target.pool}),
		unlistedTargets: new Map(),
		formerTargets: new Map(),
		targetRankings: new Map(),
		domainsOut: new Set(),
		unconfirmedDomainsOut: new Set(),
		platform: {
			isReached: true, since: now, connectedBefore: now, lastAnswerAt: now, listedAt: Number.NEGATIVE_INFINITY, hadOutage: false, dataReturnedAt: undefined, returnedEra: undefined,
		},
		calls: createTable<Call>({key: call => call.id}),
		queues: new Map(),
		usages: createTable<Usage>({key: usage => `${usage.pool}/${usage.workspace}`, index: usage => usage.pool}),
		fairLevels: new Map(),
		fairLevelReferences: new Map(),
		lastFullAt: new Map(),
		sendCounts: new Map(),
		poolEstimates: createTable<PoolEstimates>({key: estimates => estimates.pool}),
		crashes: new Map(),
		soundSuspects: new Map(),
		quarantines: new Map(),
		storedQuarantines: new Map(),
		hasNewQuarantine: false,
		streamOrigins: new Map(),
		holderRanking: {candidates: [], version: 0, byGroup: new Map()},
		storedStreams: createStoredStreams(),
		formerVersions: new Map(),
		versionsKnownSince: isFirstStart ? Number.NEGATIVE_INFINITY : undefined,
		instances: createTable<Instance>({key: instance => instance.id}),
		hasInstanceList: false,
		unlistedInstances: new Set(),
		formerIncarnations: new Set(),
		registerRequestedAt: Number.NEGATIVE_INFINITY,
		registerRequestedState: undefined,
		periodStartedAt: new Map(),
		randomGenerator: xoroshiro128plus(seed),
		servingInstances: new Set(),
		primaryInstances: new Set(),
		watchers: new Set(),
		watchRoles: new Map(),
		dataVersions: new Map(),
		coveredVersions: new Map(),
		missingData: new Map(),
		limitCandidates: {ids: [self.id], version: 0},
		reportedServices: [],
		usedCapacity: 0,
		demandCapacity: 0,
		demandUpdatedAt: now,
		streamsHeldUntil: Number.NEGATIVE_INFINITY,
		overloadedUntil: Number.NEGATIVE_INFINITY,
		outbox: [],
	};
}

/** Estimates for a pool; created when missing. */
export function getOrCreatePoolEstimates({poolEstimates}: Gateway, pool: string): PoolEstimates {
	const known = poolEstimates.get(pool);
	if (known) {
		return known;
	}

	const estimates: PoolEstimates = {
		pool, prefillTokensPerMs: 0, minFirstByteMs: 0, concurrencyLimit: 0, meanWorkMs: 0,
	};
	poolEstimates.set(estimates);
	return estimates;
}

/** Whether the targets of a pool are model engines; false while the pool is in no catalogue. */
export function isEnginePool({catalogue}: Gateway, pool: string): boolean {
	return catalogue?.pools.get(pool)?.isEngine ?? false;
}

/** Whether a row is that of this instance itself. */
export function isSelf({self}: Gateway, {id}: Pick<Instance, 'id'>): boolean {
	return id === self.id;
}

/**
Whether the last digest of another instance, or a report of it, is recent. Reports by others arrive later than the digest itself.
*/
export function isAlive({now, limits, self, servingInstances}: Gateway, {lastDigestAt, stalledMs}: Pick<Instance, 'lastDigestAt' | 'stalledMs'>): boolean {
	const isReportedByOthers = servingInstances.size > 0 && !servingInstances.has(self.id);
	return now - lastDigestAt - stalledMs <= limits.heartbeatTimeoutMs + (isReportedByOthers ? limits.standbyDigestMs : 0);
}

/** Whether the last digest of another instance to this one is recent, so that what it reported holds. */
export function hasRecentDigest({now, limits}: Gateway, {reportedAt, stalledMs}: Pick<Instance, 'reportedAt' | 'stalledMs'>): boolean {
	return now - reportedAt - stalledMs <= limits.heartbeatTimeoutMs;
}

type LogLine = {
	part: LogPart;
	level?: 'debug' | 'info' | 'warn' | 'error';
	text: string;
	request?: string;
	fields?: Record<string, unknown>;
};

/** Adds a log line to the outbox. */
export function addLogLine(gateway: Gateway, {level = 'info', ...rest}: LogLine) {
	gateway.outbox.push({kind: 'log', level, ...rest});
}
