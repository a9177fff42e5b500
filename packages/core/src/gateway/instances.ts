/*
The instances of the fleet: registered at the platform, heard by their digests. A caller that asks for an address is named
those that are registered, heard and not stopping. A registration whose instance hasn't been heard for long is removed by
one of those that hear most of the others, so that an instance that is cut off removes nobody.
*/
import {MemberState, type Digest} from '../messages.ts';
import {LogPart} from '../ports.ts';
import {computeRendezvousScore} from '../rendezvous-hash.ts';
import {startPeriodIfDue} from '../world.ts';
import {ownLimits, shareLimits} from './engine-limits.ts';
import {
	note, StopPhase, wasHeard, type Gateway,
} from './gateway.ts';
import type {GatewayInboundOf, Registration} from './ports.ts';
import type {Instance} from './rows.ts';
import {noteColdElsewhere} from './cold-limits.ts';
import {ownTargets, updateRemoteRunning} from './loads.ts';
import {ownServices, updateRemoteUse} from './usage.ts';

function registrationOf({self, state}: Gateway): Registration {
	return {...self, state};
}

function isSelf({self}: Gateway, {id}: Pick<Instance, 'id'>): boolean {
	return id === self.id;
}

function isHeard(gateway: Gateway, instance: Instance): boolean {
	return isSelf(gateway, instance) || wasHeard(gateway, instance);
}

/** Whether an instance may be named to callers. */
function isNamed(gateway: Gateway, instance: Instance): boolean {
	const isJoining = instance.heardAt === Number.NEGATIVE_INFINITY && gateway.now - instance.listedAt <= gateway.limits.joinMs;
	return instance.state === MemberState.Active && (isHeard(gateway, instance) || isJoining);
}

export function onRegistrations(gateway: Gateway, {registrations}: GatewayInboundOf<'registrations'>) {
	const isFirst = !gateway.instancesListed;
	gateway.instancesListed = true;
	const listed = new Set(registrations.map(({id}) => id));
	for (const registration of registrations) {
		takeRegistration(gateway, registration, isFirst);
	}

	for (const instance of gateway.instances.rows()) {
		if (!listed.has(instance.id)) {
			gateway.instances.delete(instance.id);
			note(gateway, {part: LogPart.Membership, text: 'instance gone', fields: {instance: instance.id}});
		}
	}
}

function takeRegistration(gateway: Gateway, registration: Registration, isFirst: boolean) {
	const known = gateway.instances.get(registration.id);
	if (known?.incarnation === registration.incarnation) {
		known.state = Math.max(known.state, registration.state);
		return;
	}

	gateway.instances.set({
		...registration,
		listedAt: gateway.now,
		// At the first list nothing is known of how fresh an entry is.
		heardAt: Number.NEGATIVE_INFINITY,
		platformSince: undefined,
		services: [],
		pools: [],
		targets: [],
	});
	note(gateway, {
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

	if (!isHeard(gateway, instance)) {
		note(gateway, {part: LogPart.Membership, text: 'instance heard', fields: {instance: from}});
	}

	instance.heardAt = gateway.now;
	instance.state = digest.state;
	instance.platformSince = digest.platformReachedMs === undefined ? undefined : gateway.now - digest.platformReachedMs;
	instance.services = digest.services;
	instance.pools = digest.pools;
	instance.targets = digest.targets ?? [];
	noteColdElsewhere(gateway, instance);
}

function createDigest(gateway: Gateway): Digest {
	const {self, state, catalogue, platform, targetsListed, now} = gateway;
	return {
		kind: 'digest',
		state,
		failureDomain: self.failureDomain,
		callerUrl: self.callerAddress,
		peerUrl: self.peerUrl,
		revision: catalogue?.version ?? 0,
		leaseSequence: 0,
		storeAgeMs: -1,
		services: ownServices(gateway),
		pools: ownLimits(gateway),
		heard: [],
		platformReachedMs: platform.isReached && targetsListed ? Math.floor(now - platform.since) : undefined,
		targets: ownTargets(gateway),
	};
}

/** Tells the other instances that this one lives, and what its callers have used. */
export function digestsSystem(gateway: Gateway) {
	if (!startPeriodIfDue(gateway, 'digests', gateway.limits.digestMs)) {
		return;
	}

	sendDigests(gateway);
	updateRemoteUse(gateway);
	updateRemoteRunning(gateway);
	shareLimits(gateway);
}

function sendDigests(gateway: Gateway) {
	const digest = createDigest(gateway);
	for (const instance of gateway.instances.rows()) {
		if (!isSelf(gateway, instance)) {
			gateway.outbox.push({
				kind: 'sendDigest', to: instance.id, peerUrl: instance.peerUrl, digest,
			});
		}
	}
}

/** Keeps this instance registered with its present state. */
export function registrationSystem(gateway: Gateway) {
	const {limits, now, self, state, instances} = gateway;
	if (gateway.stopPhase === StopPhase.Done) {
		return;
	}

	const isListed = instances.get(self.id)?.incarnation === self.incarnation;
	const isCurrent = isListed && gateway.registeredState === state;
	const wasChanged = gateway.registeredState !== state;
	if (isCurrent || (!wasChanged && now - gateway.registeredAt < limits.registerMs)) {
		return;
	}

	gateway.registeredAt = now;
	gateway.registeredState = state;
	gateway.outbox.push({kind: 'register', registration: registrationOf(gateway)});
	if (state === MemberState.Leaving) {
		sendDigests(gateway);
	}
}

/** Removes the registrations of instances that are gone. */
export function removalSystem(gateway: Gateway) {
	const {limits, now} = gateway;
	if (!gateway.platform.isReached || !startPeriodIfDue(gateway, 'removals', limits.registerMs)) {
		return;
	}

	const rows = [...gateway.instances.rows()];
	const heard = rows.filter(instance => isHeard(gateway, instance));
	const gone = rows.filter(instance => !isHeard(gateway, instance) && now - Math.max(instance.heardAt, instance.listedAt) > limits.goneMs);
	if (2 * heard.length <= rows.length) {
		return;
	}

	for (const instance of gone) {
		if (isNearest(gateway, instance, heard)) {
			gateway.outbox.push({kind: 'remove', instance: instance.id, incarnation: instance.incarnation});
			note(gateway, {
				part: LogPart.Membership, level: 'warn', text: 'instance removed', fields: {instance: instance.id, unheardMs: Math.round(now - instance.heardAt)},
			});
		}
	}
}

/** Whether rendezvous hashing picks this instance, among those heard, to remove another. */
function isNearest({self}: Gateway, gone: Instance, heard: Instance[]): boolean {
	const own = computeRendezvousScore(gone.id, self.id);
	return heard.every(({id}) => id === self.id || computeRendezvousScore(gone.id, id) < own);
}

/** Whether callers are served: the catalogue, the targets and the fleet are known, and no stop was requested. */
export function isReady({catalogue, targetsListed, instancesListed, state}: Gateway): boolean {
	return catalogue !== undefined && targetsListed && instancesListed && state === MemberState.Active;
}

/** Addresses for a caller, those of its failure domain first; at most as many as one answer holds. */
export function callerAddresses(gateway: Gateway, failureDomain: string | undefined): string[] {
	const named: Instance[] = [...gateway.instances.rows()].filter(instance => isNamed(gateway, instance) && (!isSelf(gateway, instance) || isReady(gateway)));
	if (isReady(gateway) && !named.some(instance => isSelf(gateway, instance))) {
		named.push({
			...registrationOf(gateway), listedAt: gateway.now, heardAt: gateway.now, platformSince: undefined, services: [], pools: [], targets: [],
		});
	}

	const near = named.filter(instance => instance.failureDomain === failureDomain);
	const far = named.filter(instance => instance.failureDomain !== failureDomain);
	return [...near, ...far].slice(0, gateway.limits.addresses).map(({callerAddress}) => callerAddress);
}

export function onStopRequested(gateway: Gateway) {
	if (gateway.stopAt !== undefined) {
		return;
	}

	gateway.stopAt = gateway.now;
	gateway.state = MemberState.Leaving;
	note(gateway, {part: LogPart.Stop, text: 'stop requested', fields: {calls: gateway.calls.size}});
}

/** What a planned stop does next, by how far it has come. */
const stopPhases: Record<StopPhase, (gateway: Gateway, sinceMs: number) => void> = {
	[StopPhase.Lingering](gateway, sinceMs) {
		if (sinceMs >= gateway.limits.lingerMs) {
			gateway.stopPhase = StopPhase.Draining;
			gateway.outbox.push({kind: 'closeListener'});
			note(gateway, {part: LogPart.Stop, text: 'takes no more callers', fields: {calls: gateway.calls.size}});
		}
	},
	[StopPhase.Draining](gateway, sinceMs) {
		if (gateway.calls.size === 0 || sinceMs >= gateway.limits.stopMs) {
			gateway.stopPhase = StopPhase.Done;
			gateway.outbox.push({kind: 'withdraw'}, {kind: 'stopped'});
			note(gateway, {part: LogPart.Stop, text: 'stopped', fields: {calls: gateway.calls.size, afterMs: Math.round(sinceMs)}});
		}
	},
	[StopPhase.Done]() {
		// The process ends.
	},
};

/** Carries a planned stop on. */
export function stopSystem(gateway: Gateway) {
	if (gateway.stopAt !== undefined) {
		stopPhases[gateway.stopPhase](gateway, gateway.now - gateway.stopAt);
	}
}
