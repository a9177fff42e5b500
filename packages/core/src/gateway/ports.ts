/*
Messages between the gateway's core and its adapters: inbound events and outbound actions.
*/
import type {
	Digest, QuarantineEntry, StoredVersions, StreamGroup, StreamMessage, StreamQuery, StreamRecords, StreamReply,
} from '../messages.ts';
import type {LogPart} from '../ports.ts';
import type {Refusal, RefusalKind} from '../refusal.ts';
import type {Catalogue} from './catalogue.ts';
import type {DataKind} from './data-sources.ts';
import type {
	CallArrival, DataVersion, Instance, ListedTarget, LoadReport,
} from './rows.ts';

/** How a send of a call to a target ended. */
export enum SendEnd {
	/** The whole answer has reached the caller. */
	Complete = 'whole',
	/** No connection was established, so nothing was sent. */
	NotSent = 'not-sent',
	/** The target refused the call without running it. */
	Refused = 'refused',
	/** Another target now has this address; it refused the call without running it. */
	WrongTarget = 'wrong-target',
	/** The target ran the call and answered with a failure, which the adapter keeps. */
	Failed = 'failed',
	/** The connection broke, or the answer is incomplete. */
	Broken = 'broken',
	/** The request can't be written to any target, so nothing was sent. */
	Unsendable = 'unsendable',
	/** This process has no descriptor or memory left for a connection, so nothing was sent. */
	NoResource = 'no-resource',
}

/** Instance as registered with the platform. */
export type Registration = Pick<Instance, 'id' | 'incarnation' | 'failureDomain' | 'callerAddress' | 'peerUrl' | 'capacity' | 'state'>;

export type GatewayInbound
	= | {kind: 'callArrived'; call: CallArrival}
		| {kind: 'callerGone'; call: string}
		/** The headers of a target's answer, or its first event, have arrived. */
		| {kind: 'answerStarted'; call: string; send: number; load: LoadReport | undefined}
		/** The first byte of the answer was sent to the caller. */
		| {kind: 'answerDelivered'; call: string}
		| {kind: 'sendEnded'; call: string; send: number; end: SendEnd; load: LoadReport | undefined; detail: string}
		/** An adapter failed while it carried out an action of a call. `isUnsent`: whether no byte of the call's latest send was written. */
		| {kind: 'callFailed'; call: string; isUnsent: boolean}
		| {kind: 'catalogue'; catalogue: Catalogue}
		/** All targets that the platform lists. */
		| {kind: 'targets'; targets: ListedTarget[]}
		/** A process of a target said in an answer that it is leaving. */
		| {kind: 'targetLeaving'; target: string; startId: string}
		/** A process of a target refused a request and wants none from this instance for some time. */
		| {kind: 'targetPause'; target: string; startId: string; pauseMs: number}
		/**
		A process of a target named in an answer the requests per second that it takes from all instances together; undefined when it
		names no limit any more.
		*/
		| {kind: 'targetRateLimit'; call: string; target: string; startId: string; requestsPerSecond: number | undefined}
		/** All failure domains that are taken out. */
		| {kind: 'domainsOut'; domains: string[]}
		/** All registered instances. */
		| {kind: 'registrations'; registrations: Registration[]}
		/**
		Whether the platform can be reached, by the end of a request for targets. `tookMs`: time since that was sent, in milliseconds; 0 by
		default.
		*/
		| {kind: 'platformReach'; isReached: boolean; tookMs?: number}
		/**
		The platform returned with an older copy of its data, which shows in the objects of a kind. `era`: that of the data now; undefined
		when the platform doesn't state it.
		*/
		| {kind: 'platformDataReturned'; source: string; era: number | undefined}
		/** The quarantines that the platform's store held when this process started. */
		| {kind: 'storedQuarantines'; entries: QuarantineEntry[]}
		/** How a write of a quarantine to the store, or its removal, ended. */
		| {kind: 'quarantineWritten'; suspect: string; isRemoval: boolean; isSuccessful: boolean}
		/**
		Where streams began, as the platform's store held it when this process started: by other instances, and by the process of this
		one before. `era`: that of the store's data now.
		*/
		| {kind: 'storedStreams'; groups: StreamGroup[]; own: StreamGroup[]; versions: StoredVersions | undefined; era: number}
		/** How a write of the open streams, or of the versions of the pools, to the store ended. */
		| {kind: 'streamsWritten'; isSuccessful: boolean}
		| {kind: 'versionsWritten'; isSuccessful: boolean}
		| {kind: 'digest'; from: string; incarnation: string; digest: Digest}
		| {kind: 'streamRecords'; from: string; message: StreamRecords}
		| {kind: 'streamQuery'; from: string; message: StreamQuery}
		| {kind: 'streamReply'; from: string; message: StreamReply}
		/** The latest change of a kind of the platform's data, and the revision up to which this instance has all changes. */
		| {kind: 'dataVersion'; version: DataVersion; coveredRevision: number}
		/** Fraction of its processor capacity that this process used recently. */
		| {kind: 'processorUse'; fraction: number}
		/** This process stood still for some time, and is about to read what arrived meanwhile. */
		| {kind: 'stalled'; ms: number}
		/** `at`: earliest time at which the stop may have been requested, if that isn't now. */
		| {kind: 'stopRequested'; at?: number};

export type GatewayInboundOf<Kind extends GatewayInbound['kind']> = Extract<GatewayInbound, {kind: Kind}>;

export type GatewayOutbound
	= | {
		kind: 'send'; call: string; send: number; target: string; address: string; pool: string; remainingMs: number;
		/** Process of the target to which the call is sent. */
		startId: string;
		/** '' for a call of the anonymous tenancy. */
		workspace: string;
		/** Whether the catalogue defines API keys. */
		hasKeys: boolean;
		/** Whether the answer is a stream of events, and whether it resumes one that broke. */
		isStreamed: boolean; isResumed: boolean; isRepeatable: boolean;
		/** Whether the caller resumes a stream that an earlier attempt of it began. */
		isResumedByCaller: boolean;
		/** Whether the events of the stream are held back until `releaseEvents`. */
		isHeld: boolean;
	}
	/** Deliver the events of a send that were held back, and those that follow. */
	| {kind: 'releaseEvents'; call: string; send: number}
	/** Cancel the call at its target; its answer is no longer needed. */
	| {kind: 'cancel'; call: string}
	/** Forward to the caller the failure answer of the target that the adapter keeps. */
	| {kind: 'deliverFailure'; call: string}
	| {
		kind: 'refuse'; call: string; refusal: Refusal;
		/** Pool of the call; undefined when it wasn't admitted. */
		pool?: string;
		/** Reason for which it ended, also where its refusal says only that a target may have run it. */
		cause?: RefusalKind;
	}
	/** Discard the state of the call. */
	| {kind: 'closed'; call: string}
	/** The target was removed: close idle connections to it. */
	| {kind: 'targetGone'; address: string}
	| {kind: 'sendDigest'; to: string; peerUrl: string; digest: Digest}
	| {kind: 'sendStreamMessage'; to: string; peerUrl: string; message: StreamMessage}
	/** Register this instance with the platform, or update its registration. */
	| {kind: 'register'; registration: Registration}
	/** Remove the registration of this instance. */
	| {kind: 'withdraw'}
	/** Remove the registration of another instance, which has been silent for too long. */
	| {kind: 'remove'; instance: string; incarnation: string}
	/** Write a quarantine to the platform's store, or remove it. */
	| {kind: 'storeQuarantine'; entry: QuarantineEntry}
	| {kind: 'removeQuarantine'; suspect: string}
	/** Write where the open streams began, and the versions of the pools, to the platform's store. */
	| {kind: 'storeStreams'; groups: StreamGroup[]}
	| {kind: 'storeVersions'; versions: StoredVersions}
	| {kind: 'catalogueInForce'; catalogue: Catalogue}
	/** Ask the platform for changes of a kind of data at once. */
	| {kind: 'refreshData'; data: DataKind}
	| {kind: 'log'; part: LogPart; level: 'debug' | 'info' | 'warn' | 'error'; text: string; request?: string; fields?: Record<string, unknown>}
	/** The planned stop is complete: close the listener for callers and all connections. */
	| {kind: 'stopped'};

export type GatewayOutboundOf<Kind extends GatewayOutbound['kind']> = Extract<GatewayOutbound, {kind: Kind}>;
