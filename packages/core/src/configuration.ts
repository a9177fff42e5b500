/*
The configuration that operators release: workspaces with their shares, targets, and failure domains. A release note
turns revision N into revision N + 1; `apply` (in `release.ts`) is the only way to make a new one.
*/

/** What a target is: a model engine that streams tokens, or a plain application service. */
export enum TargetKind {
	Engine = 'engine',
	Service = 'service',
}

/** Whether new work may go to a target or into a failure domain. */
export enum Standing {
	In = 'in',
	/** Running answers finish, nothing new starts. */
	Out = 'out',
}

export type Workspace = {
	id: string;
	/** Relative share of capacity, above 0. */
	weight: number;
	/** SHA-256 of the workspace key, in hex. */
	keyHash: string;
	/** Maximum cost queued for the workspace at one router, in weighted tokens. */
	queueLimit: number;
};

export type Target = {
	id: string;
	/** Base URL, by IP number. */
	url: string;
	kind: TargetKind;
	failureDomain: string;
	/** Names of the models or services served. */
	pools: string[];
	/** Maximum concurrent requests when warm. */
	warmBudget: number;
	/** Maximum concurrent requests during cold start. */
	coldBudget: number;
	standing: Standing;
	/** Whether the target rejects requests with an outdated epoch. */
	fences: boolean;
};

export type FailureDomain = {
	name: string;
	standing: Standing;
};

export type Configuration = {
	/** 0 before the first release. */
	revision: number;
	workspaces: Map<string, Workspace>;
	targets: Map<string, Target>;
	failureDomains: Map<string, FailureDomain>;
};

/** The configuration before the first release. */
export function createEmptyConfiguration(): Configuration {
	return {
		revision: 0, workspaces: new Map(), targets: new Map(), failureDomains: new Map(),
	};
}
