/*
Lookups of where a stream began, for calls with which callers resume one. The instance asks the holders of the stream, and in a small fleet
all others. The call goes on where one of them knows the origin, or where no version but one can have begun the stream by what all of them
know. That counts only if this instance is in step with the fleet: most instances replied, or the platform has listed the targets since the lookup
began. Otherwise the call is refused: an answer must not be put together from events of two versions.
*/
import type {PoolVersions} from '../messages.ts';
import {LogPart} from '../ports.ts';
import type {CallRoute} from './catalogue.ts';
import {DataKind} from './data-sources.ts';
import {addLogLine, isAlive, type Gateway} from './gateway.ts';
import {createPoolVersions, findOnlyVersion} from './pool-versions.ts';
import type {GatewayInboundOf} from './ports.ts';
import {
	CallState, type Call, type Instance, type StreamLookup, type StreamOrigin,
} from './rows.ts';
import {getServingCandidates} from './serving-set.ts';
import {findOrigin, rankHolders, updateHolderRanking} from './stream-origins.ts';

/** How the origin of a stream was found. */
enum OriginSource {
	/** This instance kept it. */
	Own = 'own record',
	/** Another instance replied it. */
	Holder = 'record of another instance',
	/** The platform's store held it when this process started. */
	Store = 'store',
	/** Only one version can have begun the stream. */
	OnlyVersion = 'only version',
}

/** How a lookup ended. */
export type LookupEnd = {kind: 'found'; origin: StreamOrigin} | {kind: 'unknown'};

/** Key by which a stream is asked for that its caller doesn't name; no record has it. */
const unnamedStream = 0;

/** An instance that hasn't sent a digest yet may be alive: this one may have started only just. */
function mayAnswer(gateway: Gateway, instance: Instance): boolean {
	return instance.lastDigestAt === Number.NEGATIVE_INFINITY || isAlive(gateway, instance);
}

function query(gateway: Gateway, lookup: StreamLookup, {weightedPools}: CallRoute) {
	updateHolderRanking(gateway);
	const asked = rankHolders(gateway, lookup.key).filter(instance => mayAnswer(gateway, instance)).slice(0, gateway.limits.streamLookupPeers);
	lookup.queriedAt = gateway.now;
	lookup.asked = asked.map(({id}) => id);
	lookup.replies.clear();
	for (const {id, peerUrl} of asked) {
		gateway.outbox.push({
			kind: 'sendStreamMessage', to: id, peerUrl, message: {kind: 'streamQuery', stream: lookup.key, pools: weightedPools.map(({pool}) => pool)},
		});
	}
}

/** Starts to look up the origin of a call's stream; returns it when this instance knows it. */
export function startLookup(gateway: Gateway, call: Call): StreamOrigin | undefined {
	const key = call.stream ?? unnamedStream;
	const known = findOrigin(gateway, key);
	if (known) {
		logFound(gateway, call, known, OriginSource.Own);
		return known;
	}

	call.state = CallState.Locating;
	call.lookup = {
		key, startedAt: gateway.now, queriedAt: gateway.now, asked: [], replies: new Map(), origin: undefined, hasAskedPlatform: false,
	};
	query(gateway, call.lookup, call.route);
	return undefined;
}

export function onStreamQuery(gateway: Gateway, {from, message: {stream, pools}}: GatewayInboundOf<'streamQuery'>) {
	const sender = gateway.instances.get(from);
	if (!sender) {
		return;
	}

	const origin = findOrigin(gateway, stream);
	gateway.outbox.push({
		kind: 'sendStreamMessage',
		to: from,
		peerUrl: sender.peerUrl,
		message: {
			kind: 'streamReply',
			stream,
			pool: origin?.pool,
			softwareVersion: origin?.softwareVersion,
			versions: origin ? [] : pools.map(pool => createPoolVersions(gateway, pool)),
		},
	});
}

export function onStreamReply(gateway: Gateway, {from, message}: GatewayInboundOf<'streamReply'>) {
	for (const {lookup} of gateway.calls.rows()) {
		if (lookup?.key !== message.stream) {
			continue;
		}

		lookup.replies.set(from, message.versions);
		if (message.pool !== undefined && message.softwareVersion !== undefined) {
			lookup.origin = {pool: message.pool, softwareVersion: message.softwareVersion};
		}
	}
}

function logFound(gateway: Gateway, call: Call, {pool, softwareVersion}: StreamOrigin, source: OriginSource) {
	addLogLine(gateway, {
		part: LogPart.Request,
		text: 'stream located',
		request: call.id,
		fields: {
			resumes: call.resumption?.firstRequestId, pool, softwareVersion, source, asked: call.lookup?.asked.length, afterMs: Math.round(gateway.now - call.arrivedAt),
		},
	});
}

/** Whether this instance can't have missed a version for being cut off or standing still. */
function isInStep(gateway: Gateway, {replies, startedAt}: StreamLookup): boolean {
	const others = getServingCandidates(gateway).filter(id => id !== gateway.self.id);
	return 2 * (replies.size + 1) > others.length + 1 || gateway.platform.listedAt >= startedAt;
}

/** Derives the origin of a stream from the versions of its pool; undefined while several can have begun it. */
function inferOrigin(gateway: Gateway, {route, lookup}: Call): StreamOrigin | undefined {
	const [only, ...others] = route.weightedPools;
	const {asked, replies} = lookup!;
	if (!only || others.length > 0 || (asked.length > 0 && replies.size === 0)) {
		return undefined;
	}

	const reports: PoolVersions[] = [...replies.values()].flat().filter(({pool}) => pool === only.pool);
	const softwareVersion = findOnlyVersion([createPoolVersions(gateway, only.pool), ...reports]);
	return softwareVersion === undefined ? undefined : {pool: only.pool, softwareVersion};
}

function askPlatform({outbox}: Gateway, lookup: StreamLookup) {
	if (!lookup.hasAskedPlatform) {
		lookup.hasAskedPlatform = true;
		outbox.push({kind: 'refreshData', data: DataKind.Targets});
	}
}

/** Checks a lookup; undefined while it goes on. */
export function checkLookup(gateway: Gateway, call: Call): LookupEnd | undefined {
	const {limits: {streamQueryMs, streamRecordMs, streamLookupMs}, now} = gateway;
	const {
		key, startedAt, queriedAt, asked, replies, origin,
	} = call.lookup!;
	if (origin) {
		logFound(gateway, call, origin, OriginSource.Holder);
		return {kind: 'found', origin};
	}

	const stored = findOrigin(gateway, key);
	if (stored) {
		logFound(gateway, call, stored, OriginSource.Store);
		return {kind: 'found', origin: stored};
	}

	const isAnswered = gateway.storedStreams.isRead && asked.every(id => replies.has(id));
	if (!isAnswered && now - queriedAt < streamQueryMs) {
		return undefined;
	}

	const inferred = inferOrigin(gateway, call);
	if (inferred && isInStep(gateway, call.lookup!)) {
		logFound(gateway, call, inferred, OriginSource.OnlyVersion);
		return {kind: 'found', origin: inferred};
	}

	if (inferred && now - startedAt < streamLookupMs) {
		askPlatform(gateway, call.lookup!);
		return undefined;
	}

	// A record that was written just before the stream broke may still be on its way.
	if ((isAnswered && queriedAt - startedAt >= streamRecordMs) || now - startedAt >= streamLookupMs) {
		return {kind: 'unknown'};
	}

	if (now - queriedAt >= streamQueryMs) {
		query(gateway, call.lookup!, call.route);
	}

	return undefined;
}
