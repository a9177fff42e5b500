/*
Targets as listed by the platform. A target that is no longer listed is removed, except during and just after an outage
of the platform, in which the entry of a running target may expire: then the target is kept until the relist timeout
has passed.
*/
import {LogPart} from '../ports.ts';
import {confirmCrash} from './crash-evidence.ts';
import {addLogLine, type Gateway} from './gateway.ts';
import {findIncompleteListReason, isDataReturnRecent, type IncompleteListReason} from './platform-data.ts';
import {recordFormerVersion} from './pool-versions.ts';
import type {GatewayInboundOf} from './ports.ts';
import {
	CallState, TargetStanding, unknownSoftwareVersion, type ListedTarget, type PoolTarget,
} from './rows.ts';
import {findFormerTarget, recordFormerTarget} from './target-notices.ts';

/**
Counts the calls of this instance that are in flight at a target. They are counted down one by one as they end, whichever row the target
has then, so each new row begins with all of them.
*/
function countInFlight({calls}: Gateway, id: string): Pick<PoolTarget, 'running' | 'prefillBacklogTokens'> {
	const inFlight = [...calls.rows()].filter(({state, target}) => state === CallState.Sent && target === id);
	return {running: inFlight.length, prefillBacklogTokens: inFlight.reduce((sum, {uncachedTokens}) => sum + uncachedTokens, 0)};
}

function createTarget(gateway: Gateway, listed: ListedTarget): PoolTarget {
	const {now} = gateway;
	return {
		...listed,
		coldUntil: now + listed.coldForMs,
		reportedColdUntil: Number.NEGATIVE_INFINITY,
		suspectedRestartUntil: Number.NEGATIVE_INFINITY,
		connectionFailedAt: Number.NEGATIVE_INFINITY,
		lastAnswerAt: Number.NEGATIVE_INFINITY,
		coldSendTimes: [],
		...countInFlight(gateway, listed.id),
		remoteRunning: 0,
		reportedLoad: 0,
		loadReportedAt: Number.NEGATIVE_INFINITY,
		sentSinceReport: 0,
		endedSinceReport: 0,
		fullUntil: Number.NEGATIVE_INFINITY,
		consecutiveFailures: 0,
		setAsideUntil: Number.NEGATIVE_INFINITY,
		hasAnnouncedLeaving: false,
		pausedUntil: Number.NEGATIVE_INFINITY,
		rateLimit: undefined,
		rateShare: undefined,
		cachedSegments: new Map(),
	};
}

function logTarget(gateway: Gateway, text: string, {
	id, pool, address, softwareVersion, failureDomain, standing, coldForMs, startId, revision,
}: ListedTarget, fields: Record<string, unknown> = {}) {
	addLogLine(gateway, {
		part: LogPart.Target,
		text,
		fields: {
			target: id, pool, address, softwareVersion, failureDomain, standing, coldForMs, start: startId, revision, ...fields,
		},
	});
}

/** Creates the row of a listed target; one whose process was listed before keeps what that said of itself. */
function createListedTarget(gateway: Gateway, listed: ListedTarget): PoolTarget {
	const target = createTarget(gateway, listed);
	const former = findFormerTarget(gateway, listed);
	if (former) {
		const {pausedUntil, hasAnnouncedLeaving, rateLimit} = former;
		Object.assign(target, {
			pausedUntil, hasAnnouncedLeaving, rateLimit, standing: hasAnnouncedLeaving ? TargetStanding.Leaving : listed.standing,
		});
	}

	return target;
}

/** Whether an entry is of a process that has ended, and is listed because the platform returned with older data. */
function isOutdated(gateway: Gateway, listed: ListedTarget): boolean {
	return listed.isRestored && isDataReturnRecent(gateway) && findFormerTarget(gateway, listed) !== undefined;
}

function addTarget(gateway: Gateway, listed: ListedTarget) {
	if (!isOutdated(gateway, listed)) {
		gateway.targets.set(createListedTarget(gateway, listed));
		logTarget(gateway, 'listed', listed);
	}
}

/** Standing of a known target after its entry changed: a process that is leaving doesn't become ready by an older entry. */
function determineStanding({standing, hasAnnouncedLeaving}: PoolTarget, listed: ListedTarget): TargetStanding {
	const remainsLeaving = hasAnnouncedLeaving || (listed.isRestored && standing === TargetStanding.Leaving);
	return remainsLeaving ? TargetStanding.Leaving : listed.standing;
}

/**
Updates the origins of the streams whose answers are in work at a target when another process has taken its place. Those that were sent
after the previous process had ended began at the new one. Of the others it isn't known which of the two answers them.
*/
function updateOrigins(gateway: Gateway, {id, softwareVersion}: PoolTarget, listed: ListedTarget) {
	for (const call of gateway.calls.rows()) {
		if (call.state !== CallState.Sent || call.target !== id) {
			continue;
		}

		if (call.targetVersion !== unknownSoftwareVersion) {
			const isSame = listed.softwareVersion === softwareVersion;
			call.targetVersion = isSame ? softwareVersion : unknownSoftwareVersion;
			call.origin = isSame ? call.origin : call.origin && {...call.origin, softwareVersion: unknownSoftwareVersion};
		} else if (!listed.isRestored) {
			call.targetVersion = listed.softwareVersion;
			call.origin = call.origin?.softwareVersion === unknownSoftwareVersion ? {...call.origin, softwareVersion: listed.softwareVersion} : call.origin;
		}
	}
}

function updateTarget(gateway: Gateway, target: PoolTarget, listed: ListedTarget) {
	gateway.unlistedTargets.delete(target.id);
	if (listed.revision === target.revision) {
		return;
	}

	if (isOutdated(gateway, listed)) {
		return;
	}

	if (listed.startId !== target.startId || listed.pool !== target.pool || listed.address !== target.address) {
		// Another process: what is known of the previous one no longer holds, but recent sends may have reached the new one
		// already.
		const {coldSendTimes, coldUntil} = target;
		updateOrigins(gateway, target, listed);
		recordFormerVersion(gateway, target);
		recordFormerTarget(gateway, target);
		confirmCrash(gateway, target);
		const next = {...createListedTarget(gateway, listed), coldSendTimes};
		// An older copy of the platform's data may list the process before the one that is known, which may be cold still.
		gateway.targets.set({...next, coldUntil: listed.isRestored ? Math.max(coldUntil, next.coldUntil) : next.coldUntil});
		if (listed.address !== target.address) {
			gateway.outbox.push({kind: 'targetGone', address: target.address});
		}

		logTarget(gateway, 'listed again after a start', listed);
		return;
	}

	Object.assign(target, listed, {
		coldUntil: Math.max(target.coldUntil, gateway.now + listed.coldForMs), standing: determineStanding(target, listed),
	});
	logTarget(gateway, 'changed', listed);
}

function deleteTarget(gateway: Gateway, target: PoolTarget, reason: string) {
	recordFormerVersion(gateway, target);
	recordFormerTarget(gateway, target);
	confirmCrash(gateway, target);
	gateway.targets.delete(target.id);
	const unlistedSince = gateway.unlistedTargets.get(target.id);
	gateway.unlistedTargets.delete(target.id);
	gateway.outbox.push({kind: 'targetGone', address: target.address});
	logTarget(gateway, `gone: ${reason}`, target, {keptMs: unlistedSince === undefined ? undefined : Math.round(gateway.now - unlistedSince)});
}

function keepUnlisted(gateway: Gateway, {id}: PoolTarget, reason: IncompleteListReason) {
	const {unlistedTargets, platform, now} = gateway;
	if (!unlistedTargets.has(id)) {
		unlistedTargets.set(id, now);
		addLogLine(gateway, {part: LogPart.Target, text: 'kept though not listed', fields: {target: id, reason, reachedMs: platform.isReached ? Math.round(now - platform.since) : undefined}});
	}
}

export function onTargets(gateway: Gateway, {targets}: GatewayInboundOf<'targets'>) {
	gateway.hasTargetList = true;
	gateway.versionsKnownSince ??= gateway.now;
	const listed = new Set(targets.map(({id}) => id));
	for (const target of targets) {
		const known = gateway.targets.get(target.id);
		if (known) {
			updateTarget(gateway, known, target);
		} else {
			addTarget(gateway, target);
		}
	}

	for (const target of gateway.targets.rows()) {
		if (listed.has(target.id)) {
			continue;
		}

		const reason = findIncompleteListReason(gateway);
		if (reason !== undefined && target.standing === TargetStanding.Ready) {
			keepUnlisted(gateway, target, reason);
		} else {
			deleteTarget(gateway, target, 'not listed');
		}
	}
}

export function onDomainsOut(gateway: Gateway, {domains}: GatewayInboundOf<'domainsOut'>) {
	for (const domain of domains) {
		gateway.unconfirmedDomainsOut.delete(domain);
	}

	setDomainsOut(gateway, new Set([...domains, ...gateway.unconfirmedDomainsOut]));
}

function setDomainsOut(gateway: Gateway, domainsOut: Set<string>) {
	const previous = gateway.domainsOut;
	gateway.domainsOut = domainsOut;
	for (const domain of domainsOut) {
		if (!previous.has(domain)) {
			addLogLine(gateway, {part: LogPart.Domain, text: 'taken out', fields: {domain}});
		}
	}

	for (const domain of previous) {
		if (!gateway.domainsOut.has(domain)) {
			addLogLine(gateway, {part: LogPart.Domain, text: 'taken back', fields: {domain}});
		}
	}
}

export function onCatalogue(gateway: Gateway, {catalogue}: GatewayInboundOf<'catalogue'>) {
	const version = gateway.catalogue?.version;
	if (version !== undefined && catalogue.version <= version) {
		if (catalogue.version < version) {
			addLogLine(gateway, {
				part: LogPart.Release, level: 'warn', text: 'older catalogue ignored', fields: {version: catalogue.version, inForce: version},
			});
		}

		return;
	}

	gateway.catalogue = catalogue;
	gateway.outbox.push({kind: 'catalogueInForce', catalogue});
	addLogLine(gateway, {part: LogPart.Release, text: 'catalogue in force', fields: {version: catalogue.version, before: version}});
}

/** Takes back the failure domains that weren't taken out again after a return of the platform with older data. */
export function domainsSystem(gateway: Gateway) {
	const {unconfirmedDomainsOut: unconfirmed, domainsOut} = gateway;
	if (unconfirmed.size > 0 && !isDataReturnRecent(gateway)) {
		const confirmed = [...domainsOut].filter(domain => !unconfirmed.has(domain));
		unconfirmed.clear();
		setDomainsOut(gateway, new Set(confirmed));
	}
}

/** Removes targets that are still not listed when the relist timeout has passed. */
export function targetsSystem(gateway: Gateway) {
	if (gateway.unlistedTargets.size === 0 || findIncompleteListReason(gateway) !== undefined) {
		return;
	}

	for (const id of gateway.unlistedTargets.keys()) {
		const target = gateway.targets.get(id);
		if (target) {
			deleteTarget(gateway, target, 'not listed again after the outage');
		}
	}
}
