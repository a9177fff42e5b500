/*
The targets that the platform lists. A target that is no longer listed gets no new work; only while the platform comes back
from an outage may its entry have lapsed though it lives, and it is kept until the time for listing it again is over.
*/
import {LogPart} from '../ports.ts';
import {note, wasHeard, type Gateway} from './gateway.ts';
import type {GatewayInboundOf} from './ports.ts';
import {TargetStanding, type ListedTarget, type PoolTarget} from './rows.ts';

function createTarget({now}: Gateway, listed: ListedTarget): PoolTarget {
	return {
		...listed,
		coldUntil: now + listed.coldForMs,
		coldUntilElsewhere: Number.NEGATIVE_INFINITY,
		doubtUntil: Number.NEGATIVE_INFINITY,
		contactAt: Number.NEGATIVE_INFINITY,
		coldSends: [],
		running: 0,
		remoteRunning: 0,
		unreadTokens: 0,
		reported: 0,
		reportedAt: Number.NEGATIVE_INFINITY,
		sentSince: 0,
		endedSince: 0,
		fullUntil: Number.NEGATIVE_INFINITY,
		failuresInRow: 0,
		setAsideUntil: Number.NEGATIVE_INFINITY,
		parts: new Map(),
	};
}

function logTarget(gateway: Gateway, text: string, {
	id, pool, address, failureDomain, standing, coldForMs, start, revision,
}: ListedTarget) {
	note(gateway, {
		part: LogPart.Target,
		text,
		fields: {
			target: id, pool, address, failureDomain, standing, coldForMs, start, revision,
		},
	});
}

function addTarget(gateway: Gateway, listed: ListedTarget) {
	gateway.targets.set(createTarget(gateway, listed));
	logTarget(gateway, 'listed', listed);
}

function updateTarget(gateway: Gateway, target: PoolTarget, listed: ListedTarget) {
	gateway.missing.delete(target.id);
	if (listed.revision === target.revision) {
		return;
	}

	if (listed.start !== target.start || listed.pool !== target.pool || listed.address !== target.address) {
		// Another process: nothing that was known of the one before holds. What was sent of late may have reached it already.
		const {running, coldSends} = target;
		gateway.targets.set({...createTarget(gateway, listed), running, coldSends});
		logTarget(gateway, 'listed again after a start', listed);
		return;
	}

	Object.assign(target, listed, {coldUntil: Math.max(target.coldUntil, gateway.now + listed.coldForMs)});
	logTarget(gateway, 'changed', listed);
}

function dropTarget(gateway: Gateway, target: PoolTarget, reason: string) {
	gateway.targets.delete(target.id);
	gateway.missing.delete(target.id);
	gateway.outbox.push({kind: 'targetGone', address: target.address});
	logTarget(gateway, `gone: ${reason}`, target);
}

/** Whether another instance has reached the platform without a break since a time. */
function isReachedElsewhere(gateway: Gateway, since: number): boolean {
	return [...gateway.instances.rows()].some(instance =>
		wasHeard(gateway, instance) && instance.platformSince !== undefined && instance.platformSince < since);
}

/** Whether entries may be missing only since the platform was away. */
function isListDoubtful(gateway: Gateway): boolean {
	const {platform: {isReached, since, answeredBefore}, now, limits} = gateway;
	if (!isReached) {
		return true;
	}

	return answeredBefore !== undefined && now < since + limits.relistMs && !isReachedElsewhere(gateway, answeredBefore);
}

export function onTargets(gateway: Gateway, {targets}: GatewayInboundOf<'targets'>) {
	gateway.targetsListed = true;
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

		if (isListDoubtful(gateway) && target.standing === TargetStanding.Ready) {
			gateway.missing.add(target.id);
		} else {
			dropTarget(gateway, target, 'not listed');
		}
	}
}

export function onDomainsOut(gateway: Gateway, {domains}: GatewayInboundOf<'domainsOut'>) {
	const before = gateway.domainsOut;
	gateway.domainsOut = new Set(domains);
	for (const domain of domains) {
		if (!before.has(domain)) {
			note(gateway, {part: LogPart.Domain, text: 'taken out', fields: {domain}});
		}
	}

	for (const domain of before) {
		if (!gateway.domainsOut.has(domain)) {
			note(gateway, {part: LogPart.Domain, text: 'taken back', fields: {domain}});
		}
	}
}

export function onPlatformReach(gateway: Gateway, {isReached}: GatewayInboundOf<'platformReach'>) {
	const {platform, now} = gateway;
	if (isReached !== platform.isReached) {
		platform.isReached = isReached;
		platform.since = now;
		platform.answeredBefore = isReached ? platform.answeredBefore : platform.answeredAt;
		note(gateway, {part: LogPart.Membership, level: isReached ? 'info' : 'warn', text: isReached ? 'platform reached again' : 'platform lost'});
	}

	if (isReached) {
		platform.answeredAt = now;
	}
}

export function onCatalogue(gateway: Gateway, {catalogue}: GatewayInboundOf<'catalogue'>) {
	const version = gateway.catalogue?.version;
	if (version !== undefined && catalogue.version <= version) {
		if (catalogue.version < version) {
			note(gateway, {
				part: LogPart.Release, level: 'warn', text: 'older catalogue ignored', fields: {version: catalogue.version, inForce: version},
			});
		}

		return;
	}

	gateway.catalogue = catalogue;
	gateway.outbox.push({kind: 'catalogueInForce', catalogue});
	note(gateway, {part: LogPart.Release, text: 'catalogue in force', fields: {version: catalogue.version, before: version}});
}

/** Drops targets that are still missing when their time for being listed again is over. */
export function targetsSystem(gateway: Gateway) {
	if (gateway.missing.size === 0 || isListDoubtful(gateway)) {
		return;
	}

	for (const id of gateway.missing) {
		const target = gateway.targets.get(id);
		if (target) {
			dropTarget(gateway, target, 'not listed again after the outage');
		}
	}
}
