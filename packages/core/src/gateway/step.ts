/*
One step of the gateway: each message of the inbox goes to its handler, then the systems run in order.
*/
import {Outcome, RefusalKind} from '../refusal.ts';
import {
	callsSystem, locatingCallsSystem, onAnswerDelivered, onAnswerStarted, onCallArrived, onCallFailed, onCallerGone, quarantinedCallsSystem, timeoutsSystem,
} from './calls.ts';
import {crashEvidenceSystem} from './crash-evidence.ts';
import {missingDataSystem, onDataVersion, watchRolesSystem} from './data-sources.ts';
import type {Gateway} from './gateway.ts';
import {
	digestsSystem, onDigest, onRegistrations, registrationSystem, removalSystem, unlistedInstancesSystem,
} from './instances.ts';
import {onStalled} from './overload.ts';
import {onStopRequested, stopSystem} from './planned-stops.ts';
import {onPlatformDataReturned, onPlatformReach} from './platform-data.ts';
import type {GatewayInbound, GatewayInboundOf, GatewayOutbound} from './ports.ts';
import {onTargetRateLimit, rateLimitsSystem} from './rate-limits.ts';
import {onProcessorUse} from './serving-set.ts';
import {quarantinesSystem} from './quarantines.ts';
import {onSendEnded} from './send-ends.ts';
import {
	onStoredStreams, onStreamsWritten, onVersionsWritten, storedStreamsSystem,
} from './stored-streams.ts';
import {streamHoldsSystem} from './stream-holds.ts';
import {onStreamQuery, onStreamReply} from './stream-lookups.ts';
import {onStreamRecords, streamRecordsSystem} from './stream-origins.ts';
import {fairLevelsSystem} from './shares.ts';
import {onQuarantineWritten, onStoredQuarantines, storedQuarantinesSystem} from './stored-quarantines.ts';
import {formerTargetsSystem, onTargetLeaving, onTargetPause} from './target-notices.ts';
import {
	domainsSystem, onCatalogue, onDomainsOut, onTargets, targetsSystem,
} from './targets.ts';

type InboundHandlers = {[Kind in GatewayInbound['kind']]: (gateway: Gateway, inbound: GatewayInboundOf<Kind>) => void};

const inboundHandlers: InboundHandlers = {
	callArrived: onCallArrived,
	callerGone: onCallerGone,
	answerStarted: onAnswerStarted,
	answerDelivered: onAnswerDelivered,
	sendEnded: onSendEnded,
	callFailed: onCallFailed,
	catalogue: onCatalogue,
	targets: onTargets,
	targetLeaving: onTargetLeaving,
	targetPause: onTargetPause,
	targetRateLimit: onTargetRateLimit,
	domainsOut: onDomainsOut,
	registrations: onRegistrations,
	platformReach: onPlatformReach,
	platformDataReturned: onPlatformDataReturned,
	storedQuarantines: onStoredQuarantines,
	quarantineWritten: onQuarantineWritten,
	storedStreams: onStoredStreams,
	streamsWritten: onStreamsWritten,
	versionsWritten: onVersionsWritten,
	digest: onDigest,
	streamRecords: onStreamRecords,
	streamQuery: onStreamQuery,
	streamReply: onStreamReply,
	stalled: onStalled,
	processorUse: onProcessorUse,
	dataVersion: onDataVersion,
	stopRequested: onStopRequested,
};

/** The systems in the order in which they run. */
const systems: Array<(gateway: Gateway) => void> = [
	targetsSystem,
	missingDataSystem,
	watchRolesSystem,
	formerTargetsSystem,
	domainsSystem,
	unlistedInstancesSystem,
	rateLimitsSystem,
	fairLevelsSystem,
	crashEvidenceSystem,
	quarantinesSystem,
	storedQuarantinesSystem,
	quarantinedCallsSystem,
	locatingCallsSystem,
	timeoutsSystem,
	callsSystem,
	registrationSystem,
	digestsSystem,
	streamRecordsSystem,
	storedStreamsSystem,
	streamHoldsSystem,
	removalSystem,
	stopSystem,
];

/** Part of a step that threw. */
export type StepFailure = {
	/** Kind of the message, or name of the system. */
	part: string;
	isSystem: boolean;
	/** Call that the message is about. */
	call: string | undefined;
	error: unknown;
};

function findCallId(inbound: GatewayInbound): string | undefined {
	if (!('call' in inbound)) {
		return undefined;
	}

	return typeof inbound.call === 'string' ? inbound.call : inbound.call.id;
}

/** Drops a message that can't be handled, and gives its call a final answer. */
function dropInbound(gateway: Gateway, inbound: GatewayInbound) {
	const id = findCallId(inbound);
	if (id === undefined) {
		return;
	}

	if (inbound.kind === 'callArrived' && !gateway.calls.get(id)) {
		gateway.outbox.push({kind: 'refuse', call: id, refusal: {kind: RefusalKind.InternalError, outcome: Outcome.NotRun, detail: ''}}, {kind: 'closed', call: id});
		return;
	}

	onCallFailed(gateway, {kind: 'callFailed', call: id, isUnsent: false});
}

function rethrow({error}: StepFailure) {
	throw error;
}

/**
Handles the inbox, runs the systems, and returns the actions for the adapters.

@param onFailure Called for each part of the step that throws, which is then left out: a message is dropped, and its call, if it is about
one, refused. A system belongs to no call, so the instance stops as planned while the other systems run on. By default it throws.
@param now Monotonic time in milliseconds; an earlier time than that of the last step is replaced by it.
*/
export function runGatewayStep(gateway: Gateway, now: number, inbox: Iterable<GatewayInbound>, onFailure: (failure: StepFailure) => void = rethrow): GatewayOutbound[] {
	gateway.now = Math.max(gateway.now, now);
	for (const inbound of inbox) {
		const handler = inboundHandlers[inbound.kind] as (gateway: Gateway, inbound: GatewayInbound) => void;
		try {
			handler(gateway, inbound);
		} catch (error) {
			onFailure({
				part: inbound.kind, isSystem: false, call: findCallId(inbound), error,
			});
			dropInbound(gateway, inbound);
		}
	}

	for (const system of systems) {
		try {
			system(gateway);
		} catch (error) {
			onFailure({
				part: system.name, isSystem: true, call: undefined, error,
			});
			onStopRequested(gateway);
		}
	}

	const {outbox} = gateway;
	gateway.outbox = [];
	return outbox;
}
