/*
Digests: the periodic state that members send each other. They are the heartbeats, and carry counters of service, load by
pool, and the revision in force. Counters are cumulative, so a lost digest loses nothing.
*/
import type {Digest, PoolEntry, ServiceEntry} from '../../messages.ts';
import type {Member, ServedTokens} from '../../rows.ts';
import {
	startPeriodIfDue, send, getServedTokensKey, type World,
} from '../../world.ts';
import {getServedPools} from '../fair-shares/dispatch.ts';
import {getLoad} from '../requests/ticket-offers.ts';
import {
	getOrCreateServedTokens, setWaiting, rotateExpectedRemote, computeVirtualTime, getWaitingInOrder, getWeight,
} from '../fair-shares/served-tokens.ts';
import {nextHeard} from './heard.ts';
import {hearDigest, storeAge} from './membership.ts';

/** Digests for which a counter that has changed is sent, so that a lost digest doesn't hide the change. */
const repeats = 4;

/** How many digests go by between two that tell of workspaces of which nothing waits anywhere. */
const idlePeriods = 8;

/** Period at which members are looked through for silent ones, in milliseconds. */
const silenceMs = 100;

/** Whether the next digest tells of a service: of a backlogged one at once, of another from time to time. */
function isTold(world: World, service: ServedTokens): boolean {
	const {now, limits, sentDigests: gossip} = world;
	if (service.waiting > 0) {
		return true;
	}

	const age = now - service.changedAt;
	return service.remoteWaiting > 0 || gossip.sequence % idlePeriods === 0
		? age <= repeats * idlePeriods * limits.digestMs
		: false;
}

function serviceEntries(world: World): ServiceEntry[] {
	return [...world.servedTokens.rows()]
		.filter(service => isTold(world, service))
		.map(service => ({
			workspace: service.workspace,
			pool: service.pool,
			service: service.local,
			waiting: service.waiting,
			virtualTime: computeVirtualTime(world, service),
		}));
}

function poolEntries(world: World): PoolEntry[] {
	return [...getServedPools(world)].map(pool => {
		const [next] = getWaitingInOrder(world, pool);
		return {
			...getLoad(world, world.self.id, pool)!,
			frontier: next ? Math.max(0, computeVirtualTime(world, next)) : -1,
		};
	});
}

/** What this router tells all others about itself now; whom it hears depends on whom it tells. */
export function createDigest(world: World): Omit<Digest, 'heard'> {
	return {
		kind: 'digest',
		state: world.state,
		failureDomain: world.self.failureDomain,
		callerUrl: world.self.callerUrl,
		peerUrl: world.self.peerUrl,
		revision: world.configuration.revision,
		leaseSequence: world.lease.sequence,
		storeAgeMs: Math.ceil(storeAge(world)),
		services: serviceEntries(world),
		pools: poolEntries(world),
	};
}

/** Sends the digest when it is due. */
export function digestsSystem(world: World) {
	if (!startPeriodIfDue(world, 'digests', world.limits.digestMs)) {
		return;
	}

	rotateExpectedRemote(world);
	const digest = createDigest(world);
	const heardBy = nextHeard(world);
	for (const member of world.members.rows()) {
		if (member.id !== world.self.id) {
			send(world, member.id, {...digest, heard: heardBy(member.id)});
		}
	}
}

type KeyedEntry = {key: string; entry: ServiceEntry};

/** Charges what another owner served since its last digest; the first digest of an owner only sets the base. */
function absorbService(world: World, member: Member, {key, entry}: KeyedEntry) {
	const known = world.servedTokens.get(key);
	const service = known ?? getOrCreateServedTokens(world, entry);
	if (!known) {
		service.offset += entry.virtualTime * getWeight(world, entry.workspace);
	}

	const base = member.services.get(key);
	if (base !== undefined) {
		service.remote += world.limits.exchange ? entry.service - base : 0;
	}

	member.services.set(key, entry.service);
}

/** Changes how many tickets of a workspace wait at one other owner. */
function setRemoteWaiting(world: World, service: ServedTokens, before: number, after: number) {
	service.remoteOwners += Math.sign(after) - Math.sign(before);
	setWaiting(world, service, service.waiting, service.remoteWaiting + after - before);
}

function absorbWaiting(world: World, member: Member, entries: KeyedEntry[]) {
	const waiting = new Map<string, ServiceEntry>();
	for (const {key, entry} of entries) {
		if (entry.waiting > 0) {
			waiting.set(key, entry);
		}
	}

	for (const [key, before] of member.waiting) {
		const service = world.servedTokens.get(key);
		if (service && !waiting.has(key)) {
			setRemoteWaiting(world, service, before, 0);
		}
	}

	for (const [key, entry] of waiting) {
		const before = member.waiting.get(key) ?? 0;
		if (before !== entry.waiting) {
			setRemoteWaiting(world, getOrCreateServedTokens(world, entry), before, entry.waiting);
		}
	}

	member.waiting = new Map([...waiting].map(([key, entry]) => [key, entry.waiting]));
}

export function onDigest(world: World, from: string, digest: Digest, incarnation: string) {
	const before = world.members.get(from)?.incarnation;
	const isTaken = hearDigest(world, from, incarnation, digest);
	const member = world.members.get(from);
	if (!isTaken || member === undefined) {
		return;
	}

	if (before !== undefined && before !== incarnation) {
		// Its counters start from 0 again, so the first ones are all new service.
		for (const key of member.services.keys()) {
			member.services.set(key, 0);
		}
	}

	const entries = digest.services.map(entry => ({key: getServedTokensKey(entry), entry}));
	for (const keyed of entries) {
		absorbService(world, member, keyed);
	}

	absorbWaiting(world, member, entries);
	member.pools = new Map(digest.pools.map(entry => [entry.pool, entry]));
}

/** Forgets the waiting tickets of members that are gone. */
export function forgetWaiting(world: World, member: Member) {
	for (const [key, waiting] of member.waiting) {
		const service = world.servedTokens.get(key);
		if (service) {
			setRemoteWaiting(world, service, waiting, 0);
		}
	}

	member.waiting.clear();
}

/** Forgets the waiting tickets of members that aren't heard any more: what they hold is placed anew by its holders. */
export function silenceSystem(world: World) {
	if (!startPeriodIfDue(world, 'silence', silenceMs)) {
		return;
	}

	for (const member of world.members.rows()) {
		if (member.waiting.size > 0 && world.now - member.lastHeartbeatAt > world.limits.heartbeatTimeoutMs) {
			forgetWaiting(world, member);
		}
	}
}
