/*
Gateways for tests, with a catalogue of one engine pool and one service pool, targets, and calls; stepped by the test.
*/
import {
	CallKind, createCatalogue, type CallRoute, type Catalogue, type CatalogueOptions,
} from '../../src/gateway/catalogue.ts';
import {createGateway, type Gateway} from '../../src/gateway/gateway.ts';
import type {GatewayLimits} from '../../src/gateway/limits.ts';
import type {
	GatewayInbound, GatewayInboundOf, GatewayOutbound, GatewayOutboundOf, Registration, SendEnd,
} from '../../src/gateway/ports.ts';
import {
	TargetStanding, type CallArrival, type ListedTarget, type Prompt,
} from '../../src/gateway/rows.ts';
import {runGatewayStep} from '../../src/gateway/step.ts';
import {MemberState, type Digest} from '../../src/messages.ts';

export const host = 'desk.example';

export function createRoute(options: Partial<CallRoute> & {pathPrefix: string}): CallRoute {
	return {
		name: options.pathPrefix,
		host,
		kind: CallKind.Repeatable,
		isResumable: false,
		weightedPools: [{pool: 'desk', weight: 1}],
		maxAttempts: 2,
		timeoutMs: 1000,
		objectiveMs: 400,
		priority: 1,
		needsKey: true,
		...options,
	};
}

export function createTestCatalogue(options: Partial<CatalogueOptions> = {}): Catalogue {
	return createCatalogue({
		version: 1,
		routes: [
			createRoute({pathPrefix: '/look/'}),
			createRoute({pathPrefix: '/book/', kind: CallKind.Once, maxAttempts: 1}),
			createRoute({
				pathPrefix: '/chat/', kind: CallKind.Streamed, isResumable: true, weightedPools: [{pool: 'engines', weight: 1}],
			}),
			createRoute({
				pathPrefix: '/plan/', kind: CallKind.Streamed, maxAttempts: 1, weightedPools: [{pool: 'engines', weight: 1}],
			}),
		],
		pools: [
			{
				name: 'desk', coldPerSecond: 0, coldMs: 0, maxConnections: 100, isEngine: false,
			},
			{
				name: 'engines', coldPerSecond: 16, coldMs: 3000, maxConnections: 300, isEngine: true,
			},
		],
		keys: new Map([
			['key-a', {workspace: 'a', priority: undefined}],
			['key-b', {workspace: 'b', priority: undefined}],
			['key-c', {workspace: 'c', priority: 5}],
		]),
		limits: {
			headerBytes: 16_384, bodyBytes: 1_000_000, headersTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tokensPerSecond: 0,
		...options,
	});
}

export function createListedTarget(id: string, options: Partial<ListedTarget> = {}): ListedTarget {
	return {
		id, pool: 'desk', address: `10.0.0.1:${id.length}`, softwareVersion: 'v1',
		failureDomain: 'suva', standing: TargetStanding.Ready, slots: 6, coldForMs: 0, startId: '1', revision: 1, isRestored: false, ...options,
	};
}

export function createRegistration(id: string, options: Partial<Registration> = {}): Registration {
	return {
		id, incarnation: `${id}-1`, failureDomain: 'suva', callerAddress: `${id}:80`, peerUrl: `http://${id}:7400`, capacity: 0.1, state: MemberState.Active, ...options,
	};
}

/** Creates a digest that another instance sends. */
export function createDigestFrom(from: string, digest: Partial<Digest> = {}): GatewayInboundOf<'digest'> {
	return {
		kind: 'digest',
		from,
		incarnation: `${from}-1`,
		digest: {
			kind: 'digest',
			state: MemberState.Active,
			failureDomain: 'suva',
			callerUrl: '',
			peerUrl: '',
			revision: 1,
			leaseSequence: 0,
			storeAgeMs: -1,
			services: [],
			pools: [],
			heard: [],
			platformAnsweredMs: digest.platformReachedMs === undefined ? undefined : 0,
			...digest,
		},
	};
}

export type Bench = {
	gateway: Gateway;
	/** Runs a step at the current time, and returns the actions for the edges. */
	step(...inbox: GatewayInbound[]): GatewayOutbound[];
	/** Advances the time, and runs a step. */
	wait(ms: number): GatewayOutbound[];
	call(arrival: Partial<CallArrival>): GatewayOutbound[];
};

export type BenchOptions = {
	targets?: ListedTarget[];
	/** Ids of the instances, the gateway's own first. */
	instances?: string[];
	catalogue?: Catalogue;
	limits?: Partial<GatewayLimits>;
	seed?: number;
	isFirstStart?: boolean;
	/** Whether it has read what the store holds of streams, which is nothing. */
	hasReadStore?: boolean;
};

const nothingStored: GatewayInbound = {
	kind: 'storedStreams', groups: [], own: [], versions: undefined, era: 0,
};

/** Creates a gateway that has received its catalogue, targets and registrations. */
export function createBench({
	targets = [createListedTarget('t1')], instances = ['self'], catalogue = createTestCatalogue(), limits, seed = 1, isFirstStart, hasReadStore = true,
}: BenchOptions = {}): Bench {
	let now = 10_000;
	let calls = 0;
	const self = createRegistration(instances[0]!);
	const gateway = createGateway({
		self, seed, now, limits: {...limits}, isFirstStart,
	});
	const step = (...inbox: GatewayInbound[]) => runGatewayStep(gateway, now, inbox);
	step(
		{kind: 'catalogue', catalogue},
		{kind: 'targets', targets},
		{kind: 'registrations', registrations: instances.map(id => createRegistration(id))},
		{kind: 'domainsOut', domains: []},
		...(hasReadStore ? [nothingStored] : []),
	);
	return {
		gateway,
		step,
		wait(ms) {
			now += ms;
			return step();
		},
		call(arrival) {
			calls += 1;
			return step({
				kind: 'callArrived',
				call: {
					id: `c${calls}`, requestId: `c${calls}`, resumption: undefined, host, path: '/look/x', key: 'key-a', remainingMs: 1000, prompt: undefined, fingerprint: `f${calls}`, ...arrival,
				},
			});
		},
	};
}

export function createPrompt(id: string, sharedTokens: number, ownTokens = 500): Prompt {
	return {inputTokens: sharedTokens + ownTokens, outputTokens: 100, segments: [{id, tokens: sharedTokens}, {id: `${id}-own`, tokens: ownTokens}]};
}

/** Filters an outbox for the actions of one kind. */
export function filterByKind<Kind extends GatewayOutbound['kind']>(outbox: GatewayOutbound[], kind: Kind): Array<GatewayOutboundOf<Kind>> {
	return outbox.filter((item): item is GatewayOutboundOf<Kind> => item.kind === kind);
}

/** Ends a send of a call at its target. */
export function endSend(bench: Bench, {call, send}: Pick<GatewayOutboundOf<'send'>, 'call' | 'send'>, end: SendEnd): GatewayOutbound[] {
	return bench.step({
		kind: 'sendEnded', call, send, end, load: undefined, detail: '',
	});
}
