/*
What is known of streams in the platform's store. Records of where streams began, and the versions that pools have had, are kept by the
instances and end with them; the load that the store answers is the end of all instances at once, for example by a loss of power, after
which callers resume their streams at new processes.

While a pool has several versions, each instance writes where its open streams began, or will begin where they were sent, in one object and at
a rate that the fleet shares. The first events of a stream wait for that (`stream-holds.ts`). The versions that pools have had recently are
written by one instance when they change. Each process reads both once, when it starts.
*/
import type {StoredVersions, StreamGroup} from '../messages.ts';
import {startPeriodIfDue} from '../world.ts';
import {DataKind} from './data-sources.ts';
import type {Gateway} from './gateway.ts';
import {
	createPoolVersions, getStreamMemoryMs, hasSeveralVersions, knowsAllVersions, recordStoredVersions,
} from './pool-versions.ts';
import type {GatewayInboundOf} from './ports.ts';
import {isResponsible} from './quarantines.ts';
import {
	CallState, unknownSoftwareVersion, type Call, type StreamOrigin,
} from './rows.ts';
import {getServingCandidates} from './serving-set.ts';
import {getExpectedOrigin, recordOrigin} from './stream-origins.ts';

/** State of one object in the store. */
export type StoredObjectState = {
	/** Contents that were last written; undefined when they aren't known. */
	written: string | undefined;
	isPending: boolean;
	retryAt: number;
};

export type StoredStreams = {
	/** Whether this process has read what the store holds; it writes nothing before. */
	isRead: boolean;
	/** Whether a pool has several versions, so that the origins of streams are written. */
	isRecording: boolean;
	/** Versions of the streams in the write that is under way, by call. */
	pendingVersions: Map<string, string>;
	/** Records that the process before this one wrote. */
	previous: StreamGroup[];
	records: StoredObjectState;
	versions: StoredObjectState;
};

/** Period at which the versions in the store are compared with those in use, in milliseconds. */
const versionsPeriodMs = 100;

/** Time after a failed write until it is repeated, in milliseconds. */
const writeRetryMs = 1000;

/** Maximum number of streams in one object, whose size the platform limits; a record takes some 18 bytes. */
const maxStoredStreams = 40_000;

/** Name by which the instance that writes the versions is selected. */
const versionsName = 'stored versions';

export function createStoredStreams(): StoredStreams {
	const createState = (): StoredObjectState => ({written: undefined, isPending: false, retryAt: Number.NEGATIVE_INFINITY});
	return {
		isRead: false, isRecording: false, pendingVersions: new Map(), previous: [], records: createState(), versions: createState(),
	};
}

/** Applies what the store held when this process started. */
export function onStoredStreams(gateway: Gateway, {groups, own, versions, era}: GatewayInboundOf<'storedStreams'>) {
	const {storedStreams} = gateway;
	storedStreams.isRead = true;
	storedStreams.previous = own;
	for (const {pool, softwareVersion, streams} of [...groups, ...own]) {
		for (const stream of streams) {
			recordOrigin(gateway, stream, {pool, softwareVersion});
		}
	}

	// An older copy of the store's data may lack versions that came after it.
	if (versions?.era === era) {
		recordStoredVersions(gateway, versions.pools);
	}
}

function handleWritten({now}: Gateway, state: StoredObjectState, isSuccessful: boolean) {
	state.isPending = false;
	if (!isSuccessful) {
		state.written = undefined;
		state.retryAt = now + writeRetryMs;
	}
}

export function onStreamsWritten(gateway: Gateway, {isSuccessful}: GatewayInboundOf<'streamsWritten'>) {
	const {storedStreams: {records, pendingVersions}, calls} = gateway;
	handleWritten(gateway, records, isSuccessful);
	if (!isSuccessful) {
		return;
	}

	for (const call of calls.rows()) {
		const version = pendingVersions.get(call.id);
		call.storedVersion = version;
		call.possibleStoredVersions = new Set(version === undefined ? [] : [version]);
	}
}

export function onVersionsWritten(gateway: Gateway, {isSuccessful}: GatewayInboundOf<'versionsWritten'>) {
	handleWritten(gateway, gateway.storedStreams.versions, isSuccessful);
}

/** Forgets what the store holds, so that it is written again: the store returned with older data. */
export function forgetStoredStreams({storedStreams}: Gateway) {
	storedStreams.records.written = undefined;
	storedStreams.versions.written = undefined;
}

/** Whether contents are to be written now; remembers them as written if so. */
function startWrite({now}: Gateway, state: StoredObjectState, contents: unknown): boolean {
	const text = JSON.stringify(contents);
	if (state.isPending || now < state.retryAt || text === state.written) {
		return false;
	}

	Object.assign(state, {written: text, isPending: true});
	return true;
}

/** The open streams that have begun, or will at the target to which they were sent, with their origins. */
function * findOpenStreams({calls}: Gateway): Generator<{call: Call; stream: number; origin: StreamOrigin}> {
	for (const call of calls.rows()) {
		const origin = getExpectedOrigin(call);
		if (call.stream !== undefined && (call.hasAnswerBytes || call.state === CallState.Sent) && origin.softwareVersion !== unknownSoftwareVersion) {
			yield {call, stream: call.stream, origin};
		}
	}
}

/** Groups the open streams, and those of the process before as long as they may be resumed, by pool and version. */
function createStreamGroups(gateway: Gateway): StreamGroup[] {
	const {startedAt, now, storedStreams} = gateway;
	const isPreviousRecent = now - startedAt <= getStreamMemoryMs(gateway);
	const groups = new Map<string, StreamGroup>((isPreviousRecent ? storedStreams.previous : []).map(group =>
		[`${group.pool} ${group.softwareVersion}`, {...group, streams: [...group.streams]}]));
	let count = [...groups.values()].reduce((sum, {streams}) => sum + streams.length, 0);
	for (const {stream, origin: {pool, softwareVersion}} of findOpenStreams(gateway)) {
		const key = `${pool} ${softwareVersion}`;
		const group = groups.get(key) ?? {pool, softwareVersion, streams: []};
		groups.set(key, group);
		group.streams.push(stream);
		count += 1;
		if (count >= maxStoredStreams) {
			break;
		}
	}

	return [...groups.values()];
}

/** Period of the writes of this instance: the fleet shares a number of writes per second. */
function getRecordsPeriodMs(gateway: Gateway): number {
	const {limits: {storedStreamsMs, storedStreamsPerSecond}} = gateway;
	return Math.max(storedStreamsMs, getServingCandidates(gateway).length * 1000 / storedStreamsPerSecond);
}

function storeRecords(gateway: Gateway) {
	const {storedStreams, outbox} = gateway;
	if (!startPeriodIfDue(gateway, 'storedStreams', getRecordsPeriodMs(gateway))) {
		return;
	}

	storedStreams.isRecording = hasSeveralVersions(gateway);
	if (!storedStreams.isRecording) {
		return;
	}

	const groups = createStreamGroups(gateway);
	if ((groups.length > 0 || storedStreams.records.written !== undefined) && startWrite(gateway, storedStreams.records, groups)) {
		storedStreams.pendingVersions.clear();
		for (const {call, origin: {softwareVersion}} of findOpenStreams(gateway)) {
			call.possibleStoredVersions.add(softwareVersion);
			storedStreams.pendingVersions.set(call.id, softwareVersion);
		}

		outbox.push({kind: 'storeStreams', groups});
	}
}

function storeVersions(gateway: Gateway) {
	if (!startPeriodIfDue(gateway, 'storedVersions', versionsPeriodMs) || !knowsAllVersions(gateway)) {
		return;
	}

	const {targets, coveredVersions, storedStreams, outbox} = gateway;
	if (!isResponsible(gateway, versionsName)) {
		// Another instance writes them now.
		storedStreams.versions.written = undefined;
		return;
	}

	const versions: StoredVersions = {
		era: coveredVersions.get(DataKind.Targets)?.era ?? 0,
		pools: [...targets.groups()].toSorted().map(pool => {
			const {softwareVersions} = createPoolVersions(gateway, pool);
			return {pool, softwareVersions: softwareVersions.toSorted()};
		}),
	};
	if (startWrite(gateway, storedStreams.versions, versions)) {
		outbox.push({kind: 'storeVersions', versions});
	}
}

/** Writes what the store doesn't hold yet. */
export function storedStreamsSystem(gateway: Gateway) {
	if (gateway.storedStreams.isRead) {
		storeVersions(gateway);
		storeRecords(gateway);
	}
}
