/*
Targets as listed by the platform. A target that is no longer listed is removed, except during and just after an outage of the
platform, in which the entry of a running target may expire: then the target is kept until the time to list it again is
over.
*/
import {LogPart} from '../ports.ts';
import {addLogLine, isAlive, type Gateway} from './gateway.ts';
import type {GatewayInboundOf} from './ports.ts';
import {TargetStanding, type ListedTarget, type PoolTarget} from './rows.ts';

function createTarget({now}: Gateway, listed: ListedTarget): PoolTarget {
	return {
		...listed,
		coldUntil: now + listed.coldForMs,
		reportedColdUntil: Number.NEGATIVE_INFINITY,
		suspectedRestartUntil: Number.NEGATIVE_INFINITY,
		lastAnswerAt: Number.NEGATIVE_INFINITY,
		coldSendTimes: [],
		running: 0,
		remoteRunning: 0,
		prefillBacklogTokens: 0,
		reportedLoad: 0,
		loadReportedAt: Number.NEGATIVE_INFINITY,
		sentSinceReport: 0,
		endedSinceReport: 0,
		fullUntil: Number.NEGATIVE_INFINITY,
		consecutiveFailures: 0,
		setAsideUntil: Number.NEGATIVE_INFINITY,
		cachedSegments: new Map(),
	};
}

function logTarget(gateway: Gateway, text: string, {
	id, pool, address, failureDomain, standing, coldForMs, startId, revision,
}: ListedTarget) {
	addLogLine(gateway, {
		part: LogPart.Target,
		text,
		fields: {
			target: id, pool, address, failureDomain, standing, coldForMs, start: startId, revision,
		},
	});
}

function addTarget(gateway: Gateway, listed: ListedTarget) {
	gateway.targets.set(createTarget(gateway, listed));
	logTarget(gateway, 'listed', listed);
}

function updateTarget(gateway: Gateway, target: PoolTarget, listed: ListedTarget) {
	gateway.unlistedTargets.delete(target.id);
	if (listed.revision === target.revision) {
		return;
	}

	if (listed.startId !== target.startId || listed.pool !== target.pool || listed.address !== target.address) {
		// Another process: what is known of the previous one no longer holds, but recent sends may have reached the new one already.
		const {running, coldSendTimes} = target;
		gateway.targets.set({...createTarget(gateway, listed), running, coldSendTimes});
		logTarget(gateway, 'listed again after a start', listed);
		return;
	}

	Object.assign(target, listed, {coldUntil: Math.max(target.coldUntil, gateway.now + listed.coldForMs)});
	logTarget(gateway, 'changed', listed);
}

function deleteTarget(gateway: Gateway, target: PoolTarget, reason: string) {
	gateway.targets.delete(target.id);
	gateway.unlistedTargets.delete(target.id);
	gateway.outbox.push({kind: 'targetGone', address: target.address});
	logTarget(gateway, `gone: ${reason}`, target);
}

/** Whether another instance has been connected to the platform without interruption since before a time. */
function isPlatformReachedElsewhere(gateway: Gateway, since: number): boolean {
	return [...gateway.instances.rows()].some(instance =>
		isAlive(gateway, instance) && instance.platformReachedSince !== undefined && instance.platformReachedSince < since);
}

/** Whether entries may be missing from the list only because of an outage of the platform. */
function mayListBeIncomplete(gateway: Gateway): boolean {
	const {platform: {isReached, since, lastAnswerBeforeOutageAt}, now, limits} = gateway;
	if (!isReached) {
		return true;
	}

	return lastAnswerBeforeOutageAt !== undefined && now < since + limits.relistTimeoutMs && !isPlatformReachedElsewhere(gateway, lastAnswerBeforeOutageAt);
}

export function onTargets(gateway: Gateway, {targets}: GatewayInboundOf<'targets'>) {
	gateway.hasTargetList = true;
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

		if (mayListBeIncomplete(gateway) && target.standing === TargetStanding.Ready) {
			gateway.unlistedTargets.add(target.id);
		} else {
			deleteTarget(gateway, target, 'not listed');
		}
	}
}

export function onDomainsOut(gateway: Gateway, {domains}: GatewayInboundOf<'domainsOut'>) {
	const previous = gateway.domainsOut;
	gateway.domainsOut = new Set(domains);
	for (const domain of domains) {
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

export function onPlatformReach(gateway: Gateway, {isReached}: GatewayInboundOf<'platformReach'>) {
	const {platform, now} = gateway;
	if (isReached !== platform.isReached) {
		platform.isReached = isReached;
		platform.since = now;
		platform.lastAnswerBeforeOutageAt = isReached ? platform.lastAnswerBeforeOutageAt : platform.lastAnswerAt;
		addLogLine(gateway, {part: LogPart.Membership, level: isReached ? 'info' : 'warn', text: isReached ? 'platform reached again' : 'platform lost'});
	}

	if (isReached) {
		platform.lastAnswerAt = now;
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

/** Removes targets that are still not listed when the time to list them again is over. */
export function targetsSystem(gateway: Gateway) {
	if (gateway.unlistedTargets.size === 0 || mayListBeIncomplete(gateway)) {
		return;
	}

	for (const id of gateway.unlistedTargets) {
		const target = gateway.targets.get(id);
		if (target) {
			deleteTarget(gateway, target, 'not listed again after the outage');
		}
	}
}
