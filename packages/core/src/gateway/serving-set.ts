/*
The serving set: the instances to which callers are sent. In a large fleet each instance would know little of each target's
load, and would spend its processor on digests of the others. So in each failure domain only as many instances serve as the
load needs; the others stand by, ready and registered, and serve whoever still comes to them.

Instances are ranked by capacity, and those of equal capacity by rendezvous hashing. A domain's set is the shortest prefix of
the reachable ones with enough capacity. It grows at once with the processor use that digests report, and shrinks slowly.

Primary instances are those of an idle and healthy fleet. They follow from the registrations alone, so all instances agree on
them; limits that hold for the whole fleet are split among them.
*/
import {MemberState} from '../messages.ts';
import {LogPart} from '../ports.ts';
import {computeRendezvousScore} from '../rendezvous-hash.ts';
import {
	addLogLine, hasRecentDigest, isAlive, isSelf, type Gateway,
} from './gateway.ts';
import {extendOverload} from './overload.ts';
import type {GatewayInboundOf} from './ports.ts';
import type {Instance} from './rows.ts';

const rankingKey = 'serving';

export function onProcessorUse(gateway: Gateway, {fraction}: GatewayInboundOf<'processorUse'>) {
	const {limits, now, startedAt, self} = gateway;
	if (now - startedAt < limits.startupMs) {
		return;
	}

	gateway.usedCapacity = fraction * self.capacity;
	if (fraction >= limits.overloadUse) {
		extendOverload(gateway, {use: fraction});
	}
}

function groupByDomain(gateway: Gateway): Map<string, Instance[]> {
	const domains = new Map<string, Instance[]>();
	for (const instance of gateway.instances.rows()) {
		const group = domains.get(instance.failureDomain) ?? [];
		group.push(instance);
		domains.set(instance.failureDomain, group);
	}

	for (const group of domains.values()) {
		const scores = new Map(group.map(({id}) => [id, computeRendezvousScore(rankingKey, id)]));
		group.sort((a, b) => b.capacity - a.capacity || scores.get(b.id)! - scores.get(a.id)!);
	}

	return domains;
}

function sumCapacity(instances: Instance[]): number {
	return instances.reduce((sum, {capacity}) => sum + capacity, 0);
}

/** Selects the shortest prefix with enough instances and capacity. */
function selectPrefix({limits}: Gateway, ranked: Instance[], requiredCapacity: number): Instance[] {
	let capacity = 0;
	const end = ranked.findIndex((instance, index) => {
		capacity += instance.capacity;
		return index + 1 >= limits.minServingPerDomain && capacity >= requiredCapacity;
	});
	return end === -1 ? ranked : ranked.slice(0, end + 1);
}

/** Capacity that a domain's set needs for an idle fleet: enough for a sudden load until the set has grown. */
function computeBaseCapacity({limits}: Gateway, ranked: Instance[]): number {
	return Math.max(limits.minServingCapacity, limits.minServingFraction * sumCapacity(ranked));
}

/** Updates the processor use for which the set is sized: it rises at once and decays slowly. */
function updateDemand(gateway: Gateway) {
	const {limits, now} = gateway;
	let used = gateway.usedCapacity;
	for (const instance of gateway.instances.rows()) {
		if (!isSelf(gateway, instance) && hasRecentDigest(gateway, instance)) {
			used += instance.usedCapacity;
		}
	}

	const decay = Math.exp((gateway.demandUpdatedAt - now) / limits.servingDecayMs);
	gateway.demandCapacity = Math.max(used, gateway.demandCapacity * decay);
	gateway.demandUpdatedAt = now;
}

/** Marks the instances from which digests are expected and don't arrive. */
function markUnreachable(gateway: Gateway) {
	const {limits, now} = gateway;
	for (const instance of gateway.instances.rows()) {
		if (isSelf(gateway, instance) || instance.isUnreachable || !isExpected(gateway, instance)) {
			continue;
		}

		instance.expectedSince ??= now;
		const silentMs = now - Math.max(instance.lastDigestAt, instance.expectedSince) - instance.stalledMs;
		if (silentMs > limits.heartbeatTimeoutMs + limits.standbyDigestMs) {
			instance.isUnreachable = true;
			instance.expectedSince = undefined;
		}
	}
}

/** Makes an instance whose digests arrive again a candidate for the serving set. */
export function markReachable(gateway: Gateway, instance: Instance) {
	if (instance.isUnreachable) {
		instance.isUnreachable = false;
		updateServingSet(gateway);
	}
}

/** Whether this instance expects digests of another one, or reports of them by those that receive them. */
function isExpected({primaryInstances, servingInstances}: Gateway, {id}: Instance): boolean {
	return primaryInstances.has(id) || servingInstances.has(id);
}

/** Computes the primary instances and the serving set anew. */
export function updateServingSet(gateway: Gateway) {
	const {limits} = gateway;
	updateDemand(gateway);
	markUnreachable(gateway);
	const domains = groupByDomain(gateway);
	const demandPerDomain = gateway.demandCapacity / limits.maxServingUse / Math.max(1, domains.size);
	const primary = new Set<string>();
	const serving = new Set<string>();
	const watchers = new Set<string>();
	for (const ranked of domains.values()) {
		const base = computeBaseCapacity(gateway, ranked);
		const primaryOfDomain = selectPrefix(gateway, ranked, base);
		for (const {id} of primaryOfDomain) {
			primary.add(id);
		}

		for (const {id} of primaryOfDomain.slice(0, limits.watchersPerDomain)) {
			watchers.add(id);
		}

		const reachable = ranked.filter(instance => isSelf(gateway, instance) ? gateway.state === MemberState.Active : instance.state === MemberState.Active && !instance.isUnreachable);
		for (const {id} of selectPrefix(gateway, reachable, Math.max(base, demandPerDomain))) {
			serving.add(id);
		}
	}

	for (const instance of gateway.instances.rows()) {
		if (!primary.has(instance.id) && !serving.has(instance.id)) {
			instance.expectedSince = undefined;
			instance.isUnreachable = false;
		}
	}

	if (serving.size !== gateway.servingInstances.size) {
		addLogLine(gateway, {
			part: LogPart.Membership,
			text: 'serving set changed',
			fields: {
				serving: serving.size, primary: primary.size, registered: gateway.instances.size, usedCores: Math.round(gateway.demandCapacity * 100) / 100, isServing: serving.has(gateway.self.id),
			},
		});
	}

	gateway.primaryInstances = primary;
	gateway.watchers = watchers;
	gateway.servingInstances = serving;
}

/** Whether this instance is in its serving set. */
export function isServing({servingInstances, self}: Gateway): boolean {
	return servingInstances.has(self.id);
}

/** Recipients of this instance's digests, by how often they are sent. */
export type DigestRecipients = {
	/** At each digest period. */
	frequent: Instance[];
	/** At each standby digest period. */
	infrequent: Instance[];
};

/**
Selects the recipients of digests. Serving instances exchange them with each other and with the standby instances of their failure
domain. Primary instances get them even while unreachable: otherwise neither side would notice that a network cut has ended.
*/
export function selectDigestRecipients(gateway: Gateway): DigestRecipients {
	const others = [...gateway.instances.rows()].filter(instance => !isSelf(gateway, instance));
	const members = others.filter(instance => isExpected(gateway, instance));
	const isOwnDomain = ({failureDomain}: Instance) => failureDomain === gateway.self.failureDomain;
	if (isServing(gateway) || gateway.primaryInstances.has(gateway.self.id)) {
		return {frequent: members, infrequent: others.filter(instance => isOwnDomain(instance) && !isExpected(gateway, instance))};
	}

	const ownMembers = members.filter(instance => isOwnDomain(instance));
	const isOwnDomainReached = ownMembers.some(instance => isAlive(gateway, instance));
	return {frequent: [], infrequent: isOwnDomainReached ? ownMembers : members};
}

/**
Ids of the instances that serve or would serve in an idle fleet, in a fixed order. While nobody stands by, this instance counts even
if its own registration is yet to be listed.
*/
export function getServingCandidates({
	primaryInstances, servingInstances, instances, self,
}: Gateway): string[] {
	const candidates = new Set([...primaryInstances, ...servingInstances]);
	if (candidates.size >= instances.size) {
		candidates.add(self.id);
	}

	return [...candidates].toSorted();
}

/** Number of instances among which limits of the whole fleet are split, and whether this instance is one of them. */
export function getLimitHolders({primaryInstances, instances, self}: Gateway): {holders: string[]; isHolder: boolean} {
	// While nobody stands by, an instance whose own registration is yet to be listed counts as a holder too.
	return primaryInstances.size < instances.size
		? {holders: [...primaryInstances], isHolder: primaryInstances.has(self.id)}
		: {holders: [...instances.rows()].map(({id}) => id), isHolder: true};
}
