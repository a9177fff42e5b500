/*
Holds of streams. After the end of all instances at once, only the platform's store knows where streams began. So while a pool has several
versions, the first events of a stream that its caller may resume wait until the store has the origin. A write begins when the call is sent,
and the prefill mostly takes longer. The wait is bounded, since a late answer harms its caller more than one that can't be resumed.
*/
import {CallKind} from './catalogue.ts';
import type {Gateway} from './gateway.ts';
import {CallState, unknownSoftwareVersion, type Call} from './rows.ts';
import {getExpectedOrigin} from './stream-origins.ts';

/** Whether the events of a call that is being sent are to be held back. */
export function mustHold({storedStreams}: Gateway, {route, stream, resumption, hasAnswerBytes}: Call): boolean {
	return storedStreams.isRecording && route.kind === CallKind.Streamed && route.isResumable && stream !== undefined
		&& resumption === undefined && !hasAnswerBytes;
}

/** Whether the store can be written to now, as far as this instance knows. */
function isStoreWritable({storedStreams, platform, now}: Gateway): boolean {
	return storedStreams.isRead && platform.isReached && now >= storedStreams.records.retryAt;
}

function canRelease(gateway: Gateway, call: Call, heldSince: number): boolean {
	const {softwareVersion} = getExpectedOrigin(call);
	// While the store has another version, the stream would be resumed there, so this wait has no bound.
	if ([...call.possibleStoredVersions].some(version => version !== softwareVersion)) {
		return false;
	}

	return call.storedVersion === softwareVersion || softwareVersion === unknownSoftwareVersion || !isStoreWritable(gateway) || gateway.now - heldSince >= gateway.limits.maxStreamHoldMs;
}

/** Releases the streams whose first event has arrived, and whose origin the store has or has had the time to get. */
export function streamHoldsSystem(gateway: Gateway) {
	for (const call of gateway.calls.rows()) {
		if (call.isHeld && call.state === CallState.Sent && call.heldSince !== undefined && canRelease(gateway, call, call.heldSince)) {
			call.isHeld = false;
			gateway.outbox.push({kind: 'releaseEvents', call: call.id, send: call.sends});
		}
	}
}
