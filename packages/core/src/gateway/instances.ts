/*
Instances of the fleet: they register with the platform, and their digests show that they are alive. Callers that
request an address receive those of instances that are registered, alive and not stopping. The registration of an
instance that has been silent for long is removed by one of the instances that receive digests from most of the others.
So an instance that is cut off from the fleet removes no registration.
*/
import {MemberState, type Digest, type HeardEntry} from '../messages.ts';
import {LogPart} from '../ports.ts';
import {countPreferred} from '../rendezvous-hash.ts';
import {randomFraction, startPeriodIfDue} from '../world.ts';
import {applyReportedEvidence, createCrashEntries, createSoundSuspectEntries} from './crash-evidence.ts';
import {applyReportedVersions} from './data-sources.ts';
import {createPoolEntries, averageLimits} from './engine-limits.ts';
import {
	addLogLine, isAlive, isSelf, StopPhase, type Gateway,
} from './gateway.ts';
import type {GatewayInboundOf, Registration} from './ports.ts';
import type {Instance} from './rows.ts';
import {applyReportedColdTargets} from './cold-limits.ts';
import {createTargetEntries, updateRemoteRunning} from './loads.ts';
import {isOverloaded} from './overload.ts';
import {isDataReturnRecent} from './platform-data.ts';
import {applyReportedQuarantines, createQuarantineEntries} from './quarantines.ts';
import {addForwardedRateLimits, applyReportedRateLimits} from './rate-limits.ts';
import {
	isServing, markReachable, selectDigestRecipients, updateServingSet,
} from './serving-set.ts';
import {applyReportedLeavingTargets} from './target-notices.ts';
import {createServiceEntries, updateRemoteUsage} from './usage.ts';

function createRegistration({self, state}: Gateway): Registration {
	return {...self, state};
}

function isSelfOrAlive(gateway: Gateway, instance: Instance): boolean {
	return isSelf(gateway, instance) || isAlive(gateway, instance);
}

/** Whether the address of an instance is advertised to callers. */
function isAdvertised(gateway: Gateway, instance: Instance): boolean {
	const isJoining = instance.lastDigestAt === Number.NEGATIVE_INFINITY && gateway.now - instance.listedAt <= gateway.limits.joinTimeoutMs;
	return instance.state === MemberState.Active && (isSelfOrAlive(gateway, instance) || isJoining);
}

export function onRegistrations(gateway: Gateway, {registrations}: GatewayInboundOf<'registrations'>) {
	const isFirst = !gateway.hasInstanceList;
	gateway.hasInstanceList = true;
	const listed = new Set(registrations.map(({id}) => id));
	for (const registration of registrations) {
		applyRegistration(gateway, registration, isFirst);
	}

	for (const instance of gateway.instances.rows()) {
		if (listed.has(instance.id)) {
			gateway.unlistedInstances.delete(instance.id);
		} else if (isDataReturnRecent(gateway)) {
			gateway.unlistedInstances.add(instance.id);
		} else {
			deleteInstance(gateway, instance);
		}
	}

	updateServingSet(gateway);
}

function recordFormerIncarnation({formerIncarnations}: Gateway, {id, incarnation}: Instance) {
	formerIncarnations.add(`${id}/${incarnation}`);
}

function deleteInstance(gateway: Gateway, instance: Instance) {
	recordFormerIncarnation(gateway, instance);
	gateway.instances.delete(instance.id);
	gateway.unlistedInstances.delete(instance.id);
	addLogLine(gateway, {part: LogPart.Membership, text: 'instance gone', fields: {instance: instance.id}});
}

/** Removes the instances that didn't register again after a return of the platform with older data. */
export function unlistedInstancesSystem(gateway: Gateway) {
	if (gateway.unlistedInstances.size === 0 || isDataReturnRecent(gateway)) {
		return;
	}

	for (const id of gateway.unlistedInstances) {
		const instance = gateway.instances.get(id);
		if (instance) {
			deleteInstance(gateway, instance);
		}
	}
}

/** Creates the row of an instance that was listed at a time. */
function createInstance(registration: Registration, listedAt: number): Instance {
	return {
		...registration,
		listedAt,
		// The list doesn't show how old its entries are, so an instance counts as silent until its first digest.
		lastDigestAt: Number.NEGATIVE_INFINITY,
		stalledMs: 0,
		reportedAt: Number.NEGATIVE_INFINITY,
		usedCapacity: 0,
		expectedSince: undefined,
		isUnreachable: false,
		isOverloaded: false,
		platformReachedSince: undefined,
		platformAnsweredAt: Number.NEGATIVE_INFINITY,
		services: [],
		pools: [],
		targets: [],
	};
}

function applyRegistration(gateway: Gateway, registration: Registration, isFirst: boolean) {
	const known = gateway.instances.get(registration.id);
	if (known?.incarnation === registration.incarnation) {
		known.state = Math.max(known.state, registration.state);
		return;
	}

	// Older data of the platform may list processes that have ended since.
	const isFormer = gateway.formerIncarnations.has(`${registration.id}/${registration.incarnation}`);
	if (known) {
		if (isFormer) {
			return;
		}

		recordFormerIncarnation(gateway, known);
	}

	gateway.instances.set(createInstance(registration, isFormer ? Number.NEGATIVE_INFINITY : gateway.now));
	addLogLine(gateway, {
		part: LogPart.Membership,
		text: 'instance listed',
		fields: {
			instance: registration.id, incarnation: registration.incarnation, address: registration.callerAddress, isFirst,
		},
	});
}

export function onDigest(gateway: Gateway, {from, incarnation, digest}: GatewayInboundOf<'digest'>) {
	const instance = gateway.instances.get(from);
	if (instance?.incarnation !== incarnation) {
		return;
	}

	if (!isSelfOrAlive(gateway, instance)) {
		addLogLine(gateway, {part: LogPart.Membership, text: 'instance heard', fields: {instance: from}});
	}

	instance.lastDigestAt = gateway.now;
	instance.stalledMs = 0;
	instance.reportedAt = gateway.now;
	instance.usedCapacity = digest.usedCapacity ?? 0;
	markReachable(gateway, instance);
	applyHeardInstances(gateway, digest);
	instance.isOverloaded = digest.isOverloaded ?? false;
	instance.state = digest.state;
	instance.platformReachedSince = digest.platformReachedMs === undefined ? undefined : gateway.now - digest.platformReachedMs;
	instance.platformAnsweredAt = gateway.now - (digest.platformAnsweredMs ?? Number.POSITIVE_INFINITY);
	instance.services = digest.services;
	instance.pools = digest.pools;
	instance.targets = digest.targets ?? [];
	applyReportedColdTargets(gateway, instance);
	applyReportedLeavingTargets(gateway, instance);
	applyReportedRateLimits(gateway, instance);
	applyReportedVersions(gateway, instance, digest.dataVersions ?? []);
	applyReportedEvidence(gateway, instance, digest.crashes ?? [], digest.soundSuspects ?? []);
	applyReportedQuarantines(gateway, instance, digest.quarantines ?? []);
}

/** Applies the ages at which the sender of a digest received the digests of others. */
function applyHeardInstances(gateway: Gateway, {heard}: Digest) {
	const {instances, now} = gateway;
	for (const {member, incarnation, ageMs} of heard) {
		const instance = instances.get(member);
		if (instance?.incarnation === incarnation && now - ageMs > instance.lastDigestAt) {
			instance.lastDigestAt = now - ageMs;
			instance.stalledMs = 0;
			markReachable(gateway, instance);
		}
	}
}

/** Creates the entries from which standby instances learn which instances of the serving set are alive. */
function createHeardEntries(gateway: Gateway): HeardEntry[] {
	return [...gateway.instances.rows()]
		.filter(instance => gateway.servingInstances.has(instance.id) && !isSelf(gateway, instance) && isAlive(gateway, instance))
		.map(({id, incarnation, lastDigestAt}) => ({
			member: id, incarnation, ageMs: Math.ceil(gateway.now - lastDigestAt), leaseSequence: 0, digestSequence: 0, tenure: '',
		}));
}

function createDigest(gateway: Gateway): Digest {
	const {self, state, catalogue, platform, hasTargetList, now} = gateway;
	return {
		kind: 'digest',
		state,
		failureDomain: self.failureDomain,
		callerUrl: self.callerAddress,
		peerUrl: self.peerUrl,
		revision: catalogue?.version ?? 0,
		leaseSequence: 0,
		storeAgeMs: -1,
		services: createServiceEntries(gateway),
		pools: createPoolEntries(gateway),
		heard: [],
		platformReachedMs: platform.isReached && hasTargetList ? Math.floor(now - platform.since) : undefined,
		platformAnsweredMs: platform.isReached && hasTargetList ? Math.ceil(now - platform.lastAnswerAt) : undefined,
		targets: createTargetEntries(gateway),
		isOverloaded: isOverloaded(gateway),
		usedCapacity: gateway.usedCapacity,
		dataVersions: [...gateway.dataVersions.values()],
		crashes: createCrashEntries(gateway),
		soundSuspects: createSoundSuspectEntries(gateway),
		quarantines: createQuarantineEntries(gateway),
	};
}

/** Adds to a digest what standby instances learn only from the serving instances of their failure domain. */
function createStandbyDigest(gateway: Gateway, digest: Digest): Digest {
	return {...digest, heard: createHeardEntries(gateway), targets: addForwardedRateLimits(gateway, digest.targets ?? [])};
}

/** Sends digests, which show that this instance is alive and report its usage, and applies those of the others. */
export function digestsSystem(gateway: Gateway) {
	const {limits} = gateway;
	if (!startPeriodIfDue(gateway, 'digests', limits.digestMs)) {
		return;
	}

	updateServingSet(gateway);
	const {frequent, infrequent} = selectDigestRecipients(gateway);
	const digest = createDigest(gateway);
	gateway.reportedServices = digest.services;
	sendDigests(gateway, frequent, digest);
	if (startPeriodIfDue(gateway, 'standbyDigests', limits.standbyDigestMs)) {
		sendDigests(gateway, infrequent, isServing(gateway) ? createStandbyDigest(gateway, digest) : digest);
	}

	updateRemoteUsage(gateway);
	updateRemoteRunning(gateway);
	averageLimits(gateway);
}

function sendDigests({outbox}: Gateway, recipients: Instance[], digest: Digest) {
	for (const {id, peerUrl} of recipients) {
		outbox.push({
			kind: 'sendDigest', to: id, peerUrl, digest,
		});
	}
}

/** Keeps this instance registered with its current state. */
export function registrationSystem(gateway: Gateway) {
	const {limits, now, self, state, instances} = gateway;
	if (gateway.stopPhase === StopPhase.Done) {
		return;
	}

	const isListed = instances.get(self.id)?.incarnation === self.incarnation && !gateway.unlistedInstances.has(self.id);
	const isCurrent = isListed && gateway.registerRequestedState === state;
	const wasChanged = gateway.registerRequestedState !== state;
	if (isCurrent || (!wasChanged && now - gateway.registerRequestedAt < limits.minRegisterIntervalMs)) {
		return;
	}

	gateway.registerRequestedAt = now;
	gateway.registerRequestedState = state;
	gateway.outbox.push({kind: 'register', registration: createRegistration(gateway)});
	if (state === MemberState.Leaving) {
		sendDigests(gateway, [...instances.rows()].filter(instance => !isSelf(gateway, instance)), createDigest(gateway));
	}
}

/** Removes the registrations of instances that have been silent for too long. */
export function removalSystem(gateway: Gateway) {
	const {limits, now} = gateway;
	const isMember = isServing(gateway) || gateway.primaryInstances.has(gateway.self.id);
	if (!isMember || !gateway.platform.isReached || !startPeriodIfDue(gateway, 'removals', limits.minRegisterIntervalMs)) {
		return;
	}

	// The instances whose digests reach this one: those of the standby instances only within its failure domain.
	const rows = [...gateway.instances.rows()].filter(({id, failureDomain}) =>
		failureDomain === gateway.self.failureDomain || gateway.primaryInstances.has(id) || gateway.servingInstances.has(id));
	const alive = rows.filter(instance => isSelfOrAlive(gateway, instance));
	const gone = rows.filter(instance => !isSelfOrAlive(gateway, instance) && now - Math.max(instance.lastDigestAt, instance.listedAt) > limits.removalTimeoutMs);
	if (2 * alive.length <= rows.length) {
		return;
	}

	const members = alive.filter(instance => gateway.servingInstances.has(instance.id));
	for (const instance of gone) {
		const isMemberGone = gateway.primaryInstances.has(instance.id) || gateway.servingInstances.has(instance.id);
		const responsible = isMemberGone ? members : members.filter(({failureDomain}) => failureDomain === instance.failureDomain);
		if (isSelectedToRemove(gateway, instance, responsible)) {
			gateway.outbox.push({kind: 'remove', instance: instance.id, incarnation: instance.incarnation});
			addLogLine(gateway, {
				part: LogPart.Membership, level: 'warn', text: 'instance removed', fields: {instance: instance.id, unheardMs: Math.round(now - instance.lastDigestAt)},
			});
		}
	}
}

/** Whether rendezvous hashing selects this instance, of those alive, to remove the registration of another. */
function isSelectedToRemove({self}: Gateway, gone: Instance, alive: Instance[]): boolean {
	return countPreferred(gone.id, self.id, alive.map(({id}) => id)) === 0;
}

/**
Whether callers can be served: the catalogue and the lists of targets and instances have arrived, and no stop was
requested.
*/
export function isReady({catalogue, hasTargetList, hasInstanceList, state}: Gateway): boolean {
	return catalogue !== undefined && hasTargetList && hasInstanceList && state === MemberState.Active;
}

/**
Leaves out overloaded instances. When these are half of all or more, the load itself is too high, and fewer addresses would
only overload the rest.
*/
function omitOverloaded(gateway: Gateway, advertised: Instance[]): Instance[] {
	const rest = advertised.filter(instance => isSelf(gateway, instance) ? !isOverloaded(gateway) : !instance.isOverloaded);
	return 2 * rest.length > advertised.length ? rest : advertised;
}

/**
Leaves out instances at random, the more often the less capacity they have: callers pick addresses evenly, and so each instance
gets load by its capacity.
*/
function sampleByCapacity(gateway: Gateway, instances: Instance[]): Instance[] {
	const largest = Math.max(...instances.map(({capacity}) => capacity));
	return instances.filter(({capacity}) => capacity >= largest || randomFraction(gateway) * largest < capacity);
}

/** Addresses for a caller, at most `maxAddresses`; those of its failure domain first. */
export function getCallerAddresses(gateway: Gateway, failureDomain: string | undefined): string[] {
	const advertised: Instance[] = [...gateway.instances.rows()].filter(instance =>
		gateway.servingInstances.has(instance.id) && isAdvertised(gateway, instance) && (!isSelf(gateway, instance) || isReady(gateway)));
	const isIncluded = advertised.some(instance => isSelf(gateway, instance));
	// An instance whose own registration is yet to be listed serves too, unless the fleet is so large that many stand by.
	const mustServe = advertised.length === 0 || gateway.servingInstances.size === gateway.instances.size;
	if (isReady(gateway) && !isIncluded && mustServe) {
		advertised.push(createInstance(createRegistration(gateway), gateway.now));
	}

	const preferred = omitOverloaded(gateway, advertised);
	const sampled = sampleByCapacity(gateway, preferred);
	const sameDomain = sampled.filter(instance => instance.failureDomain === failureDomain);
	const otherDomains = sampled.filter(instance => instance.failureDomain !== failureDomain);
	return [...sameDomain, ...otherDomains].slice(0, gateway.limits.maxAddresses).map(({callerAddress}) => callerAddress);
}
