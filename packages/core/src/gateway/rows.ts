/*
Rows of the tables of routed calls. Times are in milliseconds of the local monotonic clock.
*/
import type {
	MemberState, PoolEntry, ServiceEntry, TargetEntry,
} from '../messages.ts';
import type {CallRoute} from './catalogue.ts';

/** Part of a prompt, by which engines keep what they have read. */
export type PromptPart = {
	id: string;
	tokens: number;
};

/** What a caller says of the cost of its call; empty for calls that are no model requests. */
export type Prompt = {
	inputTokens: number;
	/** Most output tokens. */
	outputTokens: number;
	/** In the order of the prompt; the last one belongs to the call or its session alone. */
	parts: PromptPart[];
};

/** Call of a caller as the edge read it. */
export type CallArrival = {
	/** Names the call at this instance. */
	id: string;
	host: string;
	/** Without the query. */
	path: string;
	/** Key of the workspace; '' when the caller sent none. */
	key: string;
	/** Time that the caller waits for the answer; undefined when it didn't say. */
	remainingMs: number | undefined;
	prompt: Prompt | undefined;
};

export enum CallState {
	/** Waits for a place at a target. */
	Waiting = 'waiting',
	/** Was sent to a target. */
	Sent = 'sent',
}

export type Call = {
	id: string;
	route: CallRoute;
	pool: string;
	workspace: string;
	priority: number;
	prompt: Prompt | undefined;
	/** Weighted tokens, or 1 for a call without a prompt. */
	cost: number;
	arrivedAt: number;
	/** The final answer is due by then. */
	deadline: number;
	/** Waits for a place until then. */
	patienceUntil: number;
	state: CallState;
	/** Targets that it was sent to and that may have run it. */
	attempts: number;
	/** Times that it was sent, those included that no target can have run. */
	sends: number;
	/** Target that has it; '' while none does. */
	target: string;
	sentAt: number;
	/** Tokens of the prompt that the target was expected to read anew. */
	unreadTokens: number;
	/** Targets that failed it. */
	tried: string[];
	/** Whether a target may have run it. */
	mayHaveRun: boolean;
	/** Whether the caller has a byte of the answer. */
	isAnswered: boolean;
};

export enum TargetStanding {
	Ready = 'ready',
	/** Takes no new work and leaves soon. */
	Leaving = 'leaving',
}

/** Target as the platform lists it. */
export type ListedTarget = {
	id: string;
	pool: string;
	/** IP number and port. */
	address: string;
	failureDomain: string;
	standing: TargetStanding;
	slots: number;
	/** How much longer it is cold. */
	coldForMs: number;
	/** Names the start of the target: another value is another start. */
	start: string;
	/** Rises whenever the platform's entry changes. */
	revision: number;
};

/** Load that a target told of in an answer. */
export type LoadReport = {
	running: number;
	waiting: number;
	slots: number;
};

/** Target as this instance knows it. */
export type PoolTarget = ListedTarget & {
	coldUntil: number;
	/** The same by the digests of other instances. */
	coldUntilElsewhere: number;
	/** It may have started again unnoticed, and counts as cold here until then. */
	doubtUntil: number;
	/** When it last answered this instance. */
	contactAt: number;
	/** When requests were sent while it was or might be cold, oldest first. */
	coldSends: number[];
	/** Requests of this instance that it has. */
	running: number;
	/** Requests of the other instances that it has, by their last digests. */
	remoteRunning: number;
	/** Prompt tokens of this instance's requests that have no first byte yet. */
	unreadTokens: number;
	/** Running and waiting requests by its last report, and what this instance sent and saw end since. */
	reported: number;
	reportedAt: number;
	sentSince: number;
	endedSince: number;
	/** Counts as full until then. */
	fullUntil: number;
	failuresInRow: number;
	setAsideUntil: number;
	/** When it last turned out to keep a part of a prompt, by part, least recent first. */
	parts: Map<string, number>;
};

/** Use of a pool by one workspace, here and at the other instances, in weighted tokens that fade over the window of shares. */
export type Usage = {
	pool: string;
	workspace: string;
	/** Use that counts against its share. */
	own: number;
	remote: number;
	/** Calls that started. */
	ownStarted: number;
	remoteStarted: number;
	/** What callers asked for, served or not. */
	ownAsked: number;
	remoteAsked: number;
	/** When all of them were last brought up to date. */
	at: number;
};

/** Sends to a pool in one slice of the retry window. */
export type SendCount = {
	startedAt: number;
	calls: number;
	/** Calls that found a place, first sends only. */
	starts: number;
	resends: number;
};

/** Another instance of the fleet, or this one. */
export type Instance = {
	id: string;
	incarnation: string;
	failureDomain: string;
	/** Where callers connect: IP number and port. */
	callerAddress: string;
	peerUrl: string;
	state: MemberState;
	/** When it was first listed. */
	listedAt: number;
	/** When its last digest arrived; -Infinity before the first. */
	heardAt: number;
	/** Since when it has reached the platform without a break, by its last digest; undefined when it doesn't. */
	platformSince: number | undefined;
	/** What its callers have used of late, by its last digest. */
	services: ServiceEntry[];
	/** Its limits at engines, by its last digest. */
	pools: PoolEntry[];
	/** What it knows of targets, by its last digest. */
	targets: TargetEntry[];
};
