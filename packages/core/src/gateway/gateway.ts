/*
State of the routed calls of one instance. Every instance decides on its own: it places its callers' requests by the load
that targets report and by what it has sent them itself. What the whole fleet must not exceed is split among its
members. See docs/design/placement.md.
*/
import {xoroshiro128plus, type RandomGenerator} from 'pure-rand';
import {MemberState} from '../messages.ts';
import type {LogPart} from '../ports.ts';
import {createTable, type Table} from '../table.ts';
import type {Catalogue} from './catalogue.ts';
import {gatewayLimitDefaults, type GatewayLimits} from './limits.ts';
import type {GatewayOutbound} from './ports.ts';
import type {
	Call, Instance, PoolTarget, SendCount, Usage,
} from './rows.ts';

export type GatewaySelf = Pick<Instance, 'id' | 'incarnation' | 'failureDomain' | 'callerAddress' | 'peerUrl'>;

/** Pace of one pool as this instance sees it. */
export type Pace = {
	pool: string;
	/** Prompt tokens that its engines read in a millisecond; 0 before the first sample. */
	readTokensPerMs: number;
	/** Least time to a first byte seen of late. */
	floorMs: number;
	/** Most requests at once at one of its engines, by the times to first byte seen; 0 before the first call. */
	limit: number;
	/** Mean time that a target works on a call without a prompt; 0 before the first sample. */
	workMs: number;
};

/** How far a planned stop has come. */
export enum StopPhase {
	/** Callers that keep an address longer are still served. */
	Lingering = 'lingering',
	/** No connection is taken any more; calls finish. */
	Draining = 'draining',
	Done = 'done',
}

/** Whether the platform answers. */
export type PlatformReach = {
	isReached: boolean;
	/** Since when it answers, or doesn't. */
	since: number;
	/** When it answered last. */
	answeredAt: number;
	/** When it had answered last before it was lost; undefined while it never was. */
	answeredBefore: number | undefined;
};

export type Gateway = {
	readonly self: GatewaySelf;
	readonly limits: GatewayLimits;
	readonly startedAt: number;
	/** Monotonic time of the current step. */
	now: number;
	state: MemberState;
	/** When a stop was requested; undefined while none was. */
	stopAt: number | undefined;
	stopPhase: StopPhase;
	/** Undefined before the first. */
	catalogue: Catalogue | undefined;
	/** Whether the platform's list of targets has been read. */
	targetsListed: boolean;
	targets: Table<PoolTarget>;
	/** Targets that the platform no longer lists, while that may be its own outage. */
	missing: Set<string>;
	/** Targets in the order of a part of prompts, by pool and part, as of a version of the table of targets. */
	ranks: Map<string, {version: number; targets: PoolTarget[]}>;
	domainsOut: Set<string>;
	platform: PlatformReach;
	calls: Table<Call>;
	/** Ids of the calls that wait for a place, by pool, oldest first. */
	waiting: Map<string, Set<string>>;
	usages: Table<Usage>;
	/** Use by a workspace up to which a pool's capacity goes round, by pool. */
	levels: Map<string, number>;
	/** Level against which past use is measured, by pool. */
	levelReferences: Map<string, number>;
	/** When a call last found all targets of a pool full, by pool. */
	fullAt: Map<string, number>;
	sendCounts: Map<string, SendCount[]>;
	paces: Table<Pace>;
	instances: Table<Instance>;
	/** Whether the platform's list of instances has been read. */
	instancesListed: boolean;
	/** When a registration was last asked for; -Infinity before the first. */
	registeredAt: number;
	/** State that was last asked to be registered. */
	registeredState: MemberState | undefined;
	periodStartedAt: Map<string, number>;
	randomGenerator: RandomGenerator;
	outbox: GatewayOutbound[];
};

export type GatewayOptions = {
	self: GatewaySelf;
	seed: number;
	now: number;
	limits?: Partial<GatewayLimits>;
};

/** Creates the state of an instance that has just started and knows nothing. */
export function createGateway({self, seed, now, limits}: GatewayOptions): Gateway {
	return {
		self,
		limits: {...gatewayLimitDefaults, ...limits},
		startedAt: now,
		now,
		state: MemberState.Active,
		stopAt: undefined,
		stopPhase: StopPhase.Lingering,
		catalogue: undefined,
		targetsListed: false,
		targets: createTable<PoolTarget>({key: target => target.id, index: target => target.pool}),
		missing: new Set(),
		ranks: new Map(),
		domainsOut: new Set(),
		platform: {
			isReached: true, since: now, answeredAt: now, answeredBefore: undefined,
		},
		calls: createTable<Call>({key: call => call.id}),
		waiting: new Map(),
		usages: createTable<Usage>({key: usage => `${usage.pool}/${usage.workspace}`, index: usage => usage.pool}),
		levels: new Map(),
		levelReferences: new Map(),
		fullAt: new Map(),
		sendCounts: new Map(),
		paces: createTable<Pace>({key: pace => pace.pool}),
		instances: createTable<Instance>({key: instance => instance.id}),
		instancesListed: false,
		registeredAt: Number.NEGATIVE_INFINITY,
		registeredState: undefined,
		periodStartedAt: new Map(),
		randomGenerator: xoroshiro128plus(seed),
		outbox: [],
	};
}

/** Pace of a pool; a new one before its first sample. */
export function paceOf({paces}: Gateway, pool: string): Pace {
	const known = paces.get(pool);
	if (known) {
		return known;
	}

	const pace: Pace = {
		pool, readTokensPerMs: 0, floorMs: 0, limit: 0, workMs: 0,
	};
	paces.set(pace);
	return pace;
}

/** Whether the targets of a pool are model engines; not, while no catalogue names the pool. */
export function isEnginePool({catalogue}: Gateway, pool: string): boolean {
	return catalogue?.pools.get(pool)?.isEngine ?? false;
}

/** Whether another instance has told of itself of late. */
export function wasHeard({now, limits}: Gateway, {heardAt}: Pick<Instance, 'heardAt'>): boolean {
	return now - heardAt <= limits.heardMs;
}

type Note = {
	part: LogPart;
	level?: 'debug' | 'info' | 'warn' | 'error';
	text: string;
	request?: string;
	fields?: Record<string, unknown>;
};

/** Adds a log line to the outbox. */
export function note(gateway: Gateway, {level = 'info', ...rest}: Note) {
	gateway.outbox.push({kind: 'log', level, ...rest});
}
