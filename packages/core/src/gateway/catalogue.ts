/*
The catalogue that routed calls are served by: routes by host and path prefix, pools of targets, and workspaces by their
keys. A catalogue is replaced as a whole; its version only rises.
*/

/** What a call's kind says about running it again. */
export enum CallKind {
	/** May run any number of times. */
	Repeatable = 'repeatable',
	/** May run at most once. */
	Once = 'once',
	/** Answered with a stream of events; runs at most once unless it may be resumed. */
	Streamed = 'streamed',
}

/** One of the pools that a route sends its calls to. */
export type Share = {
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
	/** Whether a broken stream may go on at another target from the last event that arrived. */
	isResumable: boolean;
	shares: Share[];
	/** Most targets that one call may be sent to. */
	maxAttempts: number;
	/** Longest time until the final answer. */
	timeoutMs: number;
	/** Time within which the first byte of an answer is on time. */
	objectiveMs: number;
	/** 0 is the most urgent. */
	priority: number;
	needsKey: boolean;
};

export type CallPool = {
	name: string;
	/** Requests a second that a cold target takes from the whole fleet; 0 when its targets are never cold. */
	coldPerSecond: number;
	/** Time for which a target is cold after its start. */
	coldMs: number;
	/** Most connections that a target takes from the whole fleet. */
	connections: number;
	/** Whether its targets are model engines, which read prompts and keep parts of them. */
	isEngine: boolean;
};

/** Bounds on what a caller may send. */
export type CallerLimits = {
	headerBytes: number;
	bodyBytes: number;
	headersTimeoutMs: number;
	idleTimeoutMs: number;
};

export type Tenancy = {
	workspace: string;
	/** Rank that goes before that of the route; undefined leaves the route's. */
	priority: number | undefined;
};

export type Catalogue = {
	version: number;
	/** Routes by host and path prefix. */
	routes: Map<string, Map<string, CallRoute>>;
	pools: Map<string, CallPool>;
	/** Workspaces by caller key; undefined when callers need none. */
	keys: Map<string, Tenancy> | undefined;
	limits: CallerLimits;
	/** Weighted tokens that all engines together serve a second; 0 when that isn't known. */
	tokensPerSecond: number;
};

export type CatalogueOptions = Omit<Catalogue, 'routes' | 'pools'> & {routes: CallRoute[]; pools: CallPool[]};

/** Builds a catalogue with the indexes that look-ups need. */
export function createCatalogue({routes, pools, ...rest}: CatalogueOptions): Catalogue {
	const byHost = new Map<string, Map<string, CallRoute>>();
	for (const route of routes) {
		const byPrefix = byHost.get(route.host) ?? new Map<string, CallRoute>();
		byPrefix.set(route.pathPrefix, route);
		byHost.set(route.host, byPrefix);
	}

	return {...rest, routes: byHost, pools: new Map(pools.map(pool => [pool.name, pool]))};
}

/** The route with the longest prefix of the path among those of the host; undefined when none fits. */
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
