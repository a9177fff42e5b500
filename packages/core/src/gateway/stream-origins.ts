/*
Where streams began: the pool and the software version. A caller whose stream breaks resumes it at any instance, often because the one
that served it is gone. So each instance sends a record of the stream to a few others, its holders, which rendezvous hashing of the stream
selects. The prefill leaves time for that before the first event. While all pools have one version the records travel with the
digests, so that they cost no further messages; they matter only if a pool gets another version while the streams last.
*/
import murmurhash from 'murmurhash';
import type {StreamGroup} from '../messages.ts';
import {rankByRendezvous} from '../rendezvous-hash.ts';
import {startPeriodIfDue} from '../world.ts';
import {isSelf, type Gateway} from './gateway.ts';
import {isVersionListed} from './placement.ts';
import {getStreamMemoryMs, hasSeveralVersions} from './pool-versions.ts';
import type {GatewayInboundOf} from './ports.ts';
import {
	CallState, unknownSoftwareVersion, type Call, type Instance, type StreamOrigin,
} from './rows.ts';
import {getServingCandidates} from './serving-set.ts';

/** Maximum number of origins that an instance keeps; the oldest are dropped first. */
const maxStreamOrigins = 200_000;

const highSeed = 1;
const lowSeed = 2;
const highBits = 21;
const lowRange = 2 ** 32;

/**
Identifies a stream among the instances, by its workspace and the request id of the attempt that received its first event: a 53-bit hash,
so that a caller can't name a stream of another workspace.
*/
export function computeStreamKey(workspace: string, firstRequestId: string): number {
	const text = `${workspace} ${firstRequestId}`;
	return ((murmurhash.v3(text, highSeed) % (2 ** highBits)) * lowRange) + murmurhash.v3(text, lowSeed);
}

/** Keeps where a stream began. */
export function recordOrigin({streamOrigins, now}: Gateway, stream: number, {pool, softwareVersion}: StreamOrigin) {
	// Deleted first, so that the entries stay in the order of their age.
	streamOrigins.delete(stream);
	streamOrigins.set(stream, {pool, softwareVersion, recordedAt: now});
	if (streamOrigins.size > maxStreamOrigins) {
		streamOrigins.delete(streamOrigins.keys().next().value!);
	}
}

/** Finds where a stream began, as far as this instance knows. */
export function findOrigin({streamOrigins}: Gateway, stream: number): StreamOrigin | undefined {
	return streamOrigins.get(stream);
}

export function onStreamRecords(gateway: Gateway, {message: {groups}}: GatewayInboundOf<'streamRecords'>) {
	for (const {pool, softwareVersion, streams} of groups) {
		for (const stream of streams) {
			recordOrigin(gateway, stream, {pool, softwareVersion});
		}
	}
}

/** Number of groups of streams that have the same holders. */
const streamGroups = 256;

/** The instances that may know where a stream began, its holders first. */
export function rankHolders(gateway: Gateway, stream: number): Instance[] {
	const ranking = gateway.holderRanking;
	const group = stream % streamGroups;
	const known = ranking.byGroup.get(group);
	if (known) {
		return known;
	}

	const ranked = rankByRendezvous(`stream ${group}`, ranking.candidates, ({id}) => id).filter(instance => !isSelf(gateway, instance));
	ranking.byGroup.set(group, ranked);
	return ranked;
}

/** Renews the ranking of holders when an instance has started, ended or restarted. */
export function updateHolderRanking(gateway: Gateway) {
	const candidates = getServingCandidates(gateway).flatMap(id => gateway.instances.get(id) ?? []);
	const {holderRanking: {candidates: known, version}} = gateway;
	if (candidates.length !== known.length || candidates.some((candidate, index) => candidate !== known[index])) {
		gateway.holderRanking = {candidates, version: version + 1, byGroup: new Map()};
	}
}

/** Where the stream of an open call began, or will begin if its current target sends the first event. */
export function getExpectedOrigin({origin, pool, targetVersion}: Call): StreamOrigin {
	return origin ?? {pool, softwareVersion: targetVersion};
}

/** Streams to be recorded, by holder, and by pool and version. */
type Batches = Map<Instance, Map<string, StreamGroup>>;

function addToBatches(batches: Batches, holder: Instance, stream: number, {pool, softwareVersion}: StreamOrigin) {
	const groups = batches.get(holder) ?? new Map<string, StreamGroup>();
	batches.set(holder, groups);
	const key = `${pool} ${softwareVersion}`;
	const group = groups.get(key) ?? {pool, softwareVersion, streams: []};
	groups.set(key, group);
	group.streams.push(stream);
}

function sendBatches({outbox}: Gateway, batches: Batches) {
	for (const [{id, peerUrl}, groups] of batches) {
		outbox.push({
			kind: 'sendStreamMessage', to: id, peerUrl, message: {kind: 'streamRecords', groups: [...groups.values()]},
		});
	}
}

/** Adds an open stream to the batches of those of its holders that don't know yet where it began. */
function addUnrecorded(gateway: Gateway, batches: Batches, call: Call, stream: number) {
	const origin = getExpectedOrigin(call);
	for (const holder of rankHolders(gateway, stream).slice(0, gateway.limits.streamHolders)) {
		const record = `${holder.id}/${holder.incarnation}/${origin.softwareVersion}`;
		if (!call.records.has(record)) {
			call.records.add(record);
			call.recordedVersion = origin.softwareVersion;
			addToBatches(batches, holder, stream, origin);
		}
	}
}

/**
Corrects the records of a stream that was expected to begin at another version, at once: its first event may arrive before the next
period.
*/
export function correctRecords(gateway: Gateway, call: Call) {
	if (call.stream === undefined || call.records.size === 0) {
		return;
	}

	const batches: Batches = new Map();
	call.records.clear();
	addUnrecorded(gateway, batches, call, call.stream);
	sendBatches(gateway, batches);
}

/**
Lets a call that is sent again before its first event begin only at the version that the holders know, while any target has that: a
correction may reach them too late.
*/
export function pinToRecords(gateway: Gateway, call: Call) {
	if (call.resumption !== undefined || call.hasAnswerBytes) {
		return;
	}

	const recorded = {pool: call.pool, softwareVersion: call.recordedVersion};
	call.origin = call.recordedVersion !== unknownSoftwareVersion && isVersionListed(gateway, recorded) ? recorded : undefined;
}

/** Whether records are due now: with the digests, or sooner while a pool has several versions. */
function areRecordsDue(gateway: Gateway): boolean {
	if (gateway.periodStartedAt.get('digests') === gateway.now) {
		return true;
	}

	return startPeriodIfDue(gateway, 'streamRecords', gateway.limits.streamRecordMs) && hasSeveralVersions(gateway);
}

/** Sends records of the open streams to their holders, and again to a holder that joins or restarts meanwhile. */
export function streamRecordsSystem(gateway: Gateway) {
	if (!areRecordsDue(gateway)) {
		return;
	}

	removeOldOrigins(gateway);
	updateHolderRanking(gateway);
	const batches: Batches = new Map();
	for (const call of gateway.calls.rows()) {
		if (call.stream === undefined || call.state !== CallState.Sent) {
			continue;
		}

		const recordedFor = `${gateway.holderRanking.version} ${getExpectedOrigin(call).softwareVersion}`;
		if (call.recordedFor !== recordedFor) {
			call.recordedFor = recordedFor;
			addUnrecorded(gateway, batches, call, call.stream);
		}
	}

	sendBatches(gateway, batches);
}

function removeOldOrigins(gateway: Gateway) {
	const memoryMs = getStreamMemoryMs(gateway);
	for (const [stream, {recordedAt}] of gateway.streamOrigins) {
		if (gateway.now - recordedAt <= memoryMs) {
			// Entries are in the order of their age.
			return;
		}

		gateway.streamOrigins.delete(stream);
	}
}
