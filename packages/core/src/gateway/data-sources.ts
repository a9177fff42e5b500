/*
How closely this instance watches the platform's data. A watch whose connection has gone silent is noticed only when its wait
is over, so waits bound the time for which data can be out of date; but each end of a wait is a call to the platform. So only
a few instances wait for a short time. The others stand by: they wait for long, and learn from digests which changes exist. One that misses a
change that another instance has asks the platform at once, and one that gets no digest from an instance with short waits any more asks
and then waits for a short time itself.
*/
import {LogPart} from '../ports.ts';
import {startPeriodIfDue} from '../world.ts';
import {
	addLogLine, hasRecentDigest, isSelf, type Gateway,
} from './gateway.ts';
import {watchRolePeriodMs} from './limits.ts';
import type {GatewayInboundOf} from './ports.ts';
import type {DataVersion, Instance, MissingData} from './rows.ts';

/** Kinds of data that the platform holds. */
export enum DataKind {
	Configuration = 'configuration',
	Targets = 'targets',
	DomainsOut = 'domains-out',
	Instances = 'instances',
}

export function onDataVersion({dataVersions, coveredVersions}: Gateway, {version, coveredRevision}: GatewayInboundOf<'dataVersion'>) {
	dataVersions.set(version.kind, version);
	coveredVersions.set(version.kind, {...version, revision: coveredRevision});
}

function isLater(a: DataVersion, b: DataVersion): boolean {
	return a.era === b.era ? a.revision > b.revision : a.era > b.era;
}

/** Records the changes that another instance has and this one misses. */
export function applyReportedVersions(gateway: Gateway, {id}: Instance, versions: DataVersion[]) {
	const {missingData, coveredVersions, now} = gateway;
	for (const reported of versions) {
		const own = coveredVersions.get(reported.kind);
		const missing = missingData.get(reported.kind);
		if (!own || !isLater(reported, own)) {
			continue;
		}

		if (!missing) {
			missingData.set(reported.kind, {
				version: reported, since: now, source: id, requested: undefined,
			});
		} else if (isLater(reported, missing.version)) {
			// What the platform was asked for may answer the version before only, so a later one has its own delay.
			missingData.set(reported.kind, {
				version: reported, since: missing.requested?.version === missing.version ? now : missing.since, source: id, requested: missing.requested,
			});
		}
	}
}

/** Whether the platform has been asked for a change and hasn't answered yet, for at most the refresh timeout. */
function isRequestPending({coveredVersions, limits, now}: Gateway, kind: DataKind, {requested}: MissingData): boolean {
	const own = coveredVersions.get(kind);
	return requested !== undefined && own !== undefined && isLater(requested.version, own) && now - requested.at < limits.refreshTimeoutMs;
}

/** Asks the platform for changes that other instances have had for some time. */
export function missingDataSystem(gateway: Gateway) {
	const {
		missingData, coveredVersions, limits, now,
	} = gateway;
	for (const [kind, missing] of missingData) {
		const {version, since, source} = missing;
		const own = coveredVersions.get(kind);
		if (own && !isLater(version, own)) {
			missingData.delete(kind);
		} else if (now - since >= limits.missingDataMs && !isRequestPending(gateway, kind, missing)) {
			missing.requested = {version, at: now};
			gateway.outbox.push({kind: 'refreshData', data: kind});
			addLogLine(gateway, {
				part: LogPart.Membership, text: 'platform asked again: another instance has a later change', fields: {data: kind, source},
			});
		}
	}
}

/**
Whether an instance watches targets with short waits. Whoever places calls has to notice every outage in which entries of targets
lapse; instances with long waits notice none that is over sooner, so what they report is no evidence of one or of none.
*/
export function isTargetWatcher({primaryInstances}: Gateway, id: string): boolean {
	return primaryInstances.has(id) || primaryInstances.size === 0;
}

/** How closely an instance watches a kind of data. */
export enum WatchRole {
	/** It is the only one that does so with short waits, as far as it knows. */
	Only = 'only',
	/** It is one of several that do, on behalf of the instances that receive their digests too. */
	Shared = 'shared',
	/** It waits for long. */
	Standby = 'standby',
}

function isWatcher(gateway: Gateway, kind: DataKind, id: string): boolean {
	const {watchers} = gateway;
	return kind === DataKind.Targets ? isTargetWatcher(gateway, id) : watchers.has(id) || watchers.size === 0;
}

/** Whether a digest of an instance that watches a kind of data closely has arrived so recently that this one may rely on the next. */
function isChangeReported(gateway: Gateway, kind: DataKind): boolean {
	const {instances, now, startedAt, limits: {watcherSilenceMs}} = gateway;
	if (now - startedAt <= watcherSilenceMs) {
		return true;
	}

	for (const instance of instances.rows()) {
		const isRecent = now - instance.reportedAt - instance.stalledMs <= watcherSilenceMs;
		if (isRecent && !isSelf(gateway, instance) && isWatcher(gateway, kind, instance.id)) {
			return true;
		}
	}

	return false;
}

/** Returns how closely this instance watches a kind of data. */
export function getWatchRole(gateway: Gateway, kind: DataKind): WatchRole {
	const {self, instances} = gateway;
	if (!isWatcher(gateway, kind, self.id)) {
		return isChangeReported(gateway, kind) ? WatchRole.Standby : WatchRole.Only;
	}

	const hasOthers = [...instances.rows()].some(instance => instance.id !== self.id && isWatcher(gateway, kind, instance.id) && hasRecentDigest(gateway, instance));
	return hasOthers ? WatchRole.Shared : WatchRole.Only;
}

/**
Asks the platform for each kind of data that this instance has to watch more closely from now on: the watch that waits for long may be on a
connection that has gone silent.
*/
export function watchRolesSystem(gateway: Gateway) {
	if (!startPeriodIfDue(gateway, 'watchRoles', watchRolePeriodMs)) {
		return;
	}

	for (const kind of Object.values(DataKind)) {
		const role = getWatchRole(gateway, kind);
		if (role !== WatchRole.Standby && gateway.watchRoles.get(kind) === WatchRole.Standby) {
			gateway.outbox.push({kind: 'refreshData', data: kind});
			addLogLine(gateway, {part: LogPart.Membership, text: 'data watched closely', fields: {data: kind, role}});
		}

		gateway.watchRoles.set(kind, role);
	}
}

/**
Whether most instances that watch targets and report to this one lost the platform recently; it may not have noticed that itself.
*/
export function isOutageReported(gateway: Gateway): boolean {
	const reporting = [...gateway.instances.rows()].filter(instance =>
		instance.id !== gateway.self.id && isTargetWatcher(gateway, instance.id) && hasRecentDigest(gateway, instance));
	const affected = reporting.filter(({platformReachedSince: since}) => since === undefined || gateway.now - since < gateway.limits.relistTimeoutMs);
	return 2 * affected.length > reporting.length;
}
