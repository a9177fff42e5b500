/*
Software versions of the targets of each pool: those of the listed targets, and those that were listed so recently that streams which began
at them may still be resumed. Versions have no order, and one that was replaced may come back.
*/
import type {PoolVersions} from '../messages.ts';
import type {Gateway} from './gateway.ts';
import {isDataReturnRecent} from './platform-data.ts';
import type {PoolTarget} from './rows.ts';

/** Longest time for which a caller may hold a stream over several attempts, relative to the longest time-out of an answer. */
const attemptsFactor = 2;

/** Longest time from the begin of a stream until its caller resumes it, in milliseconds. */
export function getStreamMemoryMs({catalogue}: Gateway): number {
	return attemptsFactor * (catalogue?.maxStreamMs ?? 0);
}

/** Remembers the version of a target whose row is removed or replaced. */
export function recordFormerVersion({formerVersions, now}: Gateway, {pool, softwareVersion}: PoolTarget) {
	const versions = formerVersions.get(pool) ?? new Map<string, number>();
	formerVersions.set(pool, versions);
	versions.set(softwareVersion, now);
}

/** Versions at which a stream that may still be resumed can have begun, as far as this instance knows. */
function getRecentVersions(gateway: Gateway, pool: string): Set<string> {
	const versions = new Set([...gateway.targets.group(pool)].map(({softwareVersion}) => softwareVersion));
	for (const [version, lastListedAt] of gateway.formerVersions.get(pool) ?? []) {
		if (gateway.now - lastListedAt <= getStreamMemoryMs(gateway)) {
			versions.add(version);
		}
	}

	return versions;
}

/** Whether this instance knows all versions at which a stream that may still be resumed can have begun. */
export function knowsAllVersions(gateway: Gateway): boolean {
	const {versionsKnownSince, platform, now} = gateway;
	return versionsKnownSince !== undefined && now - versionsKnownSince >= getStreamMemoryMs(gateway) && platform.isReached && !isDataReturnRecent(gateway);
}

/**
Applies the versions that pools had by the platform's store when this process started: no stream can have begun while no instance ran, so
these and the listed ones are all.
*/
export function recordStoredVersions(gateway: Gateway, pools: Array<{pool: string; softwareVersions: string[]}>) {
	for (const {pool, softwareVersions} of pools) {
		const versions = gateway.formerVersions.get(pool) ?? new Map<string, number>();
		gateway.formerVersions.set(pool, versions);
		for (const version of softwareVersions) {
			versions.set(version, gateway.now);
		}
	}

	gateway.versionsKnownSince = Number.NEGATIVE_INFINITY;
}

/** Creates the report on the versions of a pool for another instance. */
export function createPoolVersions(gateway: Gateway, pool: string): PoolVersions {
	return {pool, softwareVersions: [...getRecentVersions(gateway, pool)], isComplete: knowsAllVersions(gateway)};
}

/**
Finds the only version at which a stream can have begun, by the reports of several instances on one pool; undefined when there are several,
or when none of the instances knows all.
*/
export function findOnlyVersion(reports: PoolVersions[]): string | undefined {
	const versions = new Set(reports.flatMap(({softwareVersions}) => softwareVersions));
	return versions.size === 1 && reports.some(report => report.isComplete) ? [...versions][0] : undefined;
}

/** Whether any pool has, or recently had, several versions. */
export function hasSeveralVersions(gateway: Gateway): boolean {
	return [...gateway.targets.groups()].some(pool => getRecentVersions(gateway, pool).size > 1);
}
