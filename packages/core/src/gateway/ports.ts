/*
What the edges tell the core of routed calls, and what it has them do.
*/
import type {Digest} from '../messages.ts';
import type {LogPart} from '../ports.ts';
import type {Refusal} from '../refusal.ts';
import type {Catalogue} from './catalogue.ts';
import type {
	CallArrival, Instance, ListedTarget, LoadReport,
} from './rows.ts';

/** How a send of a call to a target ended. */
export enum SendEnd {
	/** The whole answer has reached the caller. */
	Whole = 'whole',
	/** No connection was made: no byte left. */
	NotSent = 'not-sent',
	/** The target says that it didn't run the call. */
	Refused = 'refused',
	/** Another target has the address; it didn't run the call. */
	WrongTarget = 'wrong-target',
	/** The target ran the call and failed it; the edge holds its answer. */
	Failed = 'failed',
	/** The connection or the answer broke. */
	Broken = 'broken',
}

/** Instance as it is registered at the platform. */
export type Registration = Pick<Instance, 'id' | 'incarnation' | 'failureDomain' | 'callerAddress' | 'peerUrl' | 'state'>;

export type GatewayInbound
	= | {kind: 'callArrived'; call: CallArrival}
		| {kind: 'callerGone'; call: string}
		/** The head of a target's answer, or its first event, has arrived. */
		| {kind: 'answerStarted'; call: string; send: number; load: LoadReport | undefined}
		/** The caller has been sent the first byte of the answer. */
		| {kind: 'answerDelivered'; call: string}
		| {kind: 'sendEnded'; call: string; send: number; end: SendEnd; load: LoadReport | undefined; detail: string}
		| {kind: 'catalogue'; catalogue: Catalogue}
		/** All targets that the platform lists. */
		| {kind: 'targets'; targets: ListedTarget[]}
		/** All failure domains that are taken out. */
		| {kind: 'domainsOut'; domains: string[]}
		/** All instances that are registered. */
		| {kind: 'registrations'; registrations: Registration[]}
		/** Whether the platform answers. */
		| {kind: 'platformReach'; isReached: boolean}
		| {kind: 'digest'; from: string; incarnation: string; digest: Digest}
		| {kind: 'stopRequested'};

export type GatewayInboundOf<Kind extends GatewayInbound['kind']> = Extract<GatewayInbound, {kind: Kind}>;

export type GatewayOutbound
	= | {
		kind: 'send'; call: string; send: number; target: string; address: string; pool: string; remainingMs: number;
		/** '' for a call that needs no key. */
		workspace: string;
		/** Whether callers have keys. */
		hasKeys: boolean;
		/** Whether the answer is a stream of events, and whether it follows one that broke. */
		isStreamed: boolean; isResumed: boolean; isRepeatable: boolean;
	}
	/** Cancel the call at its target; nothing more follows. */
	| {kind: 'cancel'; call: string}
	/** Give the caller the failure of the target that the edge holds. */
	| {kind: 'deliverFailure'; call: string}
	| {kind: 'refuse'; call: string; refusal: Refusal}
	/** Forget the call. */
	| {kind: 'closed'; call: string}
	/** A target is gone: close idle connections to it. */
	| {kind: 'targetGone'; address: string}
	| {kind: 'sendDigest'; to: string; peerUrl: string; digest: Digest}
	/** Register this instance at the platform, or what has changed of it. */
	| {kind: 'register'; registration: Registration}
	/** Take no more connections, and close those that are idle. */
	| {kind: 'closeListener'}
	| {kind: 'withdraw'}
	/** Remove the registration of an instance that is gone. */
	| {kind: 'remove'; instance: string; incarnation: string}
	| {kind: 'catalogueInForce'; catalogue: Catalogue}
	| {kind: 'log'; part: LogPart; level: 'debug' | 'info' | 'warn' | 'error'; text: string; request?: string; fields?: Record<string, unknown>}
	| {kind: 'stopped'};

export type GatewayOutboundOf<Kind extends GatewayOutbound['kind']> = Extract<GatewayOutbound, {kind: Kind}>;
