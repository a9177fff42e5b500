/*
Interface between the core and its adapters. The inbox holds events from callers, peers, targets and the Object API;
the outbox holds actions for the adapters to carry out. Every reply carries the id of the request or operation that it
answers.
*/
import type {AttemptEnd, PeerMessage} from './messages.ts';
import type {Refusal} from './refusal.ts';
import type {AuditAction} from './release.ts';

/** One request of a caller, after validation and authentication by the adapter. */
export type CallerRequest = {
	id: string;
	workspace: string;
	pool: string;
	inputTokens: number;
	/** Caller's estimate of output tokens; may be off by a factor of ten either way. */
	costHint: number;
	prefixHash: number;
	/** Deadline on the monotonic clock, in milliseconds. */
	deadline: number;
	/** May run at most once: needs an idempotency key and is never sent twice. */
	once: boolean;
	/** '' when the caller gave none. */
	idempotencyKey: string;
};

/** Result of one operation on the Object API. */
export type StoreResult
	= | {kind: 'ok'; version: number; value: string}
		| {kind: 'absent'}
	/** The object has another version than the operation expects. */
		| {kind: 'conflict'}
	/** No answer: the operation may or may not have taken effect. */
		| {kind: 'unknown'}
	/** Rejected because of an outage or a rate limit; it took no effect. */
		| {kind: 'unavailable'};

export type StoredObject = {
	key: string;
	version: number;
	value: string;
};

/**
Operation on the Object API. `ifVersion` 0 means that the object must not exist. A list returns all objects at once,
sorted by key.
*/
export type StoreOperation
	= | {kind: 'get'; key: string}
		| {kind: 'put'; key: string; value: string; ifVersion: number}
		| {kind: 'delete'; key: string; ifVersion: number}
		| {kind: 'list'; prefix: string; after?: string};

export type Inbound
	= | {kind: 'callerRequest'; request: CallerRequest}
		| {kind: 'callerGone'; request: string}
	/** First byte of an answer arrived from the target. */
		| {kind: 'answerStarted'; request: string; firstByteMs: number}
		| {kind: 'answerProgress'; request: string; outputTokens: number}
		| {
			kind: 'answerEnded';
			request: string;
			target: string;
			end: AttemptEnd;
			outputTokens: number;
			/** Whether any byte of the answer has been sent to the caller. */
			delivered: boolean;
			firstByteMs: number;
			betweenTokensMs: number;
			/** Complete answer of a `once` request, for its run record. */
			answer?: string;
		}
		| {kind: 'peerMessage'; from: string; incarnation: string; message: PeerMessage}
	/** The stream to a peer broke or can't be opened. */
		| {kind: 'peerLost'; member: string}
	/** Reply to a `store` item of the outbox. */
		| {kind: 'storeReply'; operation: number; result: StoreResult; objects?: StoredObject[]}
	/** An object under a watched prefix changed; `value` is '' when it was deleted. */
		| {kind: 'storeEvent'; object: StoredObject}
		/**
		Load of a target as it was `ageMs` ago, or up to `roundTripMs` earlier, the duration of the poll; 0 by default.
		`cold` is undefined when the target doesn't report it.
		*/
		| {
			kind: 'loadReport'; target: string; startId: string; running: number; ageMs: number; roundTripMs?: number; reachable: boolean; cold?: boolean;
		}
	/** An operator's release note, validated by the adapter; `note` is its JSON form. */
		| {kind: 'releaseProposed'; proposal: string; note: unknown; operator: string; action: AuditAction; reason: string; at: string; ifRevision?: number}
		| {kind: 'instanceList'; instances: Array<{id: string; state: 'live' | 'leaving'}>}
		| {kind: 'stopRequested'};

/** Result of a proposed release. */
export type ReleaseAnswer
	= | {kind: 'accepted'; revision: number}
		| {kind: 'superseded'; revision: number; audit: unknown}
		| {kind: 'invalid'; problems: unknown[]}
	/** Nothing was changed. */
		| {kind: 'unavailable'}
	/** It may have taken effect as this revision, or may still do so. */
		| {kind: 'unknown'; revision: number};

export type InboundOf<Kind extends Inbound['kind']> = Extract<Inbound, {kind: Kind}>;

export type Outbound
	= | {kind: 'send'; to: string; peerUrl: string; message: PeerMessage}
	/** Connect to the target and stream its answer to the caller. */
		| {kind: 'startAnswer'; request: string; target: string; url: string; epoch: number}
	/** Fetch the rest of a broken stream from its offset. */
		| {kind: 'resumeAnswer'; request: string; target: string; url: string}
	/** Cancel the stream at the target. */
		| {kind: 'abortAnswer'; request: string}
	/** Final answer of a request that was not served, or only in part. */
		| {kind: 'refuse'; request: string; refusal: Refusal}
	/** Nothing more follows: the caller has the complete answer or has disconnected. */
		| {kind: 'closed'; request: string}
	/** Final answer from the run record. */
		| {kind: 'replay'; request: string; answer: string}
		| {kind: 'store'; operation: number; action: StoreOperation}
		| {kind: 'log'; part: LogPart; level: 'debug' | 'info' | 'warn' | 'error'; text: string; request?: string}
	/** Answer to `releaseProposed`. */
		| {kind: 'releaseAnswered'; proposal: string; answer: ReleaseAnswer}
	/** All targets are handed over and all requests answered; the process may exit. */
		| {kind: 'stopped'};

export type OutboundOf<Kind extends Outbound['kind']> = Extract<Outbound, {kind: Kind}>;

/** Fixed prefix of a log line. */
export enum LogPart {
	Lease = 'lease',
	Membership = 'membership',
	Ownership = 'ownership',
	Fair = 'fair',
	Target = 'target',
	Domain = 'domain',
	Release = 'release',
	Request = 'request',
	Run = 'run',
	Stop = 'stop',
}
