/*
Reachability of the platform and the state of its data. After an outage the platform may return from an older copy of its
data: what targets, operators and instances wrote since is missing until they write it again, and what they removed since is
back. For some time after such a return, missing objects don't count as removed, and objects that were removed before don't
count as new.
*/
import {LogPart} from '../ports.ts';
import {isOutageReported, isTargetWatcher} from './data-sources.ts';
import {addLogLine, isAlive, type Gateway} from './gateway.ts';
import type {GatewayInboundOf} from './ports.ts';
import {forgetStoredQuarantines} from './stored-quarantines.ts';
import {forgetStoredStreams} from './stored-streams.ts';

export function onPlatformReach(gateway: Gateway, {isReached, tookMs = 0}: GatewayInboundOf<'platformReach'>) {
	const {platform, now} = gateway;
	if (isReached && !platform.isReached) {
		onReachedAgain(gateway);
	} else if (!isReached && platform.isReached) {
		const unansweredMs = Math.round(now - platform.lastAnswerAt);
		addLogLine(gateway, {
			part: LogPart.Membership, level: 'warn', text: 'platform lost', fields: {unansweredMs},
		});
		Object.assign(platform, {isReached, since: now, connectedBefore: platform.since});
	}

	if (isReached) {
		platform.lastAnswerAt = now;
		platform.listedAt = Math.max(platform.listedAt, now - tookMs);
	}
}

/** Ends an outage. If it was too short for entries to lapse, missing targets have been removed, and it doesn't count as an interruption. */
function onReachedAgain(gateway: Gateway) {
	const {platform, limits, now} = gateway;
	const isShort = now - platform.lastAnswerAt < limits.minLapseMs;
	addLogLine(gateway, {
		part: LogPart.Membership, text: 'platform reached again', fields: {lostMs: Math.round(now - platform.since), unansweredMs: Math.round(now - platform.lastAnswerAt), isShort},
	});
	Object.assign(platform, {isReached: true, since: isShort ? platform.connectedBefore : now, hadOutage: platform.hadOutage || !isShort});
}

export function onPlatformDataReturned(gateway: Gateway, {source, era}: GatewayInboundOf<'platformDataReturned'>) {
	const {platform, now} = gateway;
	if (era !== undefined && era === platform.returnedEra) {
		// The same return, which the watch of another kind of data noticed later.
		return;
	}

	platform.dataReturnedAt = now;
	platform.returnedEra = era;
	// Whoever knows that this instance has reached the platform without interruption concludes that missing objects were removed.
	Object.assign(platform, {since: now, connectedBefore: now});
	// Revisions are given out again, so an equal one no longer means that an entry is unchanged.
	for (const target of gateway.targets.rows()) {
		target.revision = Number.NEGATIVE_INFINITY;
	}

	forgetStoredQuarantines(gateway);
	forgetStoredStreams(gateway);
	for (const domain of gateway.domainsOut) {
		gateway.unconfirmedDomainsOut.add(domain);
	}

	addLogLine(gateway, {
		part: LogPart.Membership, level: 'warn', text: 'platform returned with older data', fields: {source, era},
	});
}

/** Whether the platform returned with older data so recently that what was written since may still be missing. */
export function isDataReturnRecent({platform: {dataReturnedAt}, now, limits}: Gateway): boolean {
	return dataReturnedAt !== undefined && now < dataReturnedAt + limits.rewriteTimeoutMs;
}

/**
When the platform was back at the latest: since then, this instance or another one that watches targets closely has been connected to it
without interruption. An instance counts if its last answer is so recent that no entry can have lapsed after it in the outage of this one.
*/
function getReturnTime(gateway: Gateway): number {
	const {platform: {since}, limits} = gateway;
	const times = [...gateway.instances.rows()]
		.filter(instance => isTargetWatcher(gateway, instance.id) && isAlive(gateway, instance) && instance.platformAnsweredAt > since - limits.minLapseMs)
		.flatMap(({platformReachedSince}) => platformReachedSince ?? []);
	return Math.min(since, ...times);
}

/** Why targets may be missing from the list though they run. */
export enum IncompleteListReason {
	NotReached = 'platform not reached',
	OlderData = 'platform returned with older data',
	ReportedOutage = 'outage reported by most instances',
	RecentOutage = 'platform reached again recently',
}

/** Returns why targets may be missing from the list only because of an outage of the platform; undefined when they may not. */
export function findIncompleteListReason(gateway: Gateway): IncompleteListReason | undefined {
	const {platform: {isReached, hadOutage, dataReturnedAt}, now, limits} = gateway;
	if (!isReached) {
		return IncompleteListReason.NotReached;
	}

	if (dataReturnedAt !== undefined && now < dataReturnedAt + limits.relistTimeoutMs) {
		return IncompleteListReason.OlderData;
	}

	if (!isTargetWatcher(gateway, gateway.self.id) && isOutageReported(gateway)) {
		return IncompleteListReason.ReportedOutage;
	}

	return hadOutage && now < getReturnTime(gateway) + limits.relistTimeoutMs ? IncompleteListReason.RecentOutage : undefined;
}
