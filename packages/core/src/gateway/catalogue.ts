/*
Catalogue of the gateway: routes by host and path prefix, pools of targets, and workspaces by API key. A catalogue is
replaced as a whole; its version only increases.
*/

/** How often a call may run. */
export enum CallKind {
	/** May run any number of times. */
	Repeatable = 'repeatable',
	/** May run at most once. */
	Once = 'once',
	/** Answered with a stream of events; may run at most once unless its route is resumable. */
	Streamed = 'streamed',
}

/** One of the pools that a route sends its calls to. */
export type WeightedPool = {
	pool: string;
	/** Relative share of the route's calls, above 0. */
	weight: number;
};

export type CallRoute = {
	name: string;
	/** Lower case, without a port. */
	host: string;
	/** Begins and ends with a slash. */
	pathPrefix: string;
	kind: CallKind;
	/** Whether a broken stream may be resumed at another target after the last event that arrived. */
	isResumable: boolean;
	weightedPools: WeightedPool[];
	/** Maximum number of targets that one call may be sent to. */
	maxAttempts: number;
	/** Maximum time until the final answer. */
	timeoutMs: number;
	/** Latency objective: time within which the first byte of an answer is due. */
	objectiveMs: number;
	/** 0 is the most urgent. */
	priority: number;
	needsKey: boolean;
};

export type CallPool = {
	name: string;
	/** Requests per second that a cold target accepts from the whole fleet; 0 when its targets are never cold. */
	coldPerSecond: number;
	/** Time for which a target is cold after its start. */
	coldMs: number;
	/** Maximum number of connections that a target accepts from the whole fleet. */
	maxConnections: number;
	/** Whether its targets are model engines, which prefill prompts and cache segments of them. */
	isEngine: boolean;
};

/** Limits of a caller's request and connection. */
export type CallerLimits = {
	headerBytes: number;
	bodyBytes: number;
	headersTimeoutMs: number;
	idleTimeoutMs: number;
};

export type Tenancy = {
	workspace: string;
	/** Overrides the priority of the route; undefined keeps it. */
	priority: number | undefined;
};

export type Catalogue = {
	version: number;
	/** Routes by host and path prefix. */
	routes: Map<string, Map<string, CallRoute>>;
	pools: Map<string, CallPool>;
	/** Workspaces by API key; undefined when callers need no key. */
	keys: Map<string, Tenancy> | undefined;
	limits: CallerLimits;
	/** Weighted tokens per second that all engines together serve; 0 when unknown. */
	tokensPerSecond: number;
	/** Longest time-out of a streamed answer, in milliseconds; 0 without streams. */
	maxStreamMs: number;
};

export type CatalogueOptions = Omit<Catalogue, 'routes' | 'pools' | 'maxStreamMs'> & {routes: CallRoute[]; pools: CallPool[]};

/** Creates a catalogue with its routes and pools indexed for look-up. */
export function createCatalogue({routes, pools, ...rest}: CatalogueOptions): Catalogue {
	const byHost = new Map<string, Map<string, CallRoute>>();
	for (const route of routes) {
		const byPrefix = byHost.get(route.host) ?? new Map<string, CallRoute>();
		byPrefix.set(route.pathPrefix, route);
		byHost.set(route.host, byPrefix);
	}

	return {
		...rest,
		routes: byHost,
		pools: new Map(pools.map(pool => [pool.name, pool])),
		maxStreamMs: Math.max(0, ...routes.filter(({kind}) => kind === CallKind.Streamed).map(({timeoutMs}) => timeoutMs)),
	};
}

/** Finds the route of the host with the longest matching path prefix. */
export function findRoute({routes}: Catalogue, host: string, path: string): CallRoute | undefined {
	const byPrefix = routes.get(host);
	if (!byPrefix) {
		return undefined;
	}

	for (let slash = path.lastIndexOf('/'); slash >= 0; slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1)) {
		const route = byPrefix.get(path.slice(0, slash + 1));
		if (route) {
			return route;
		}
	}

	return undefined;
}
