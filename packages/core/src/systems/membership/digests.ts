/*
Sends and receives digests: the periodic state that members send each other. They serve as heartbeats, and carry service
counters, the load of each pool and the revision in force. Counters are cumulative, so a lost digest loses no service.
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
import {startNextDigest} from './heartbeat-entries.ts';
import {recordHeartbeats, computeStoreAgeMs} from './membership.ts';

/** Number of digests that carry a changed counter, so that a lost digest doesn't hide the change. */
const sendsPerChange = 4;

/** A workspace without waiting tickets anywhere is reported in one of this many digests. */
const idleReportInterval = 8;

/** Period at which silent members are looked for. */
const silenceCheckMs = 100;

/**
Whether the next digest reports a service: always while tickets of the workspace wait here; after a change also while they
wait at other owners, and otherwise at intervals.
*/
function isReported(world: World, service: ServedTokens): boolean {
	const {now, limits, sentDigests} = world;
	if (service.waiting > 0) {
		return true;
	}

	const age = now - service.changedAt;
	return service.remoteWaiting > 0 || sentDigests.sequence % idleReportInterval === 0
		? age <= sendsPerChange * idleReportInterval * limits.digestMs
		: false;
}

function createServiceEntries(world: World): ServiceEntry[] {
	return [...world.servedTokens.rows()]
		.filter(service => isReported(world, service))
		.map(service => ({
			workspace: service.workspace,
			pool: service.pool,
			service: service.local,
			waiting: service.waiting,
			virtualTime: computeVirtualTime(world, service),
		}));
}

function createPoolEntries(world: World): PoolEntry[] {
	return [...getServedPools(world)].map(pool => {
		const [next] = getWaitingInOrder(world, pool);
		return {
			...getLoad(world, world.self.id, pool)!,
			frontier: next ? Math.max(0, computeVirtualTime(world, next)) : -1,
		};
	});
}

/** Current digest of this router without `heard`, which differs by receiver. */
export function createDigest(world: World): Omit<Digest, 'heard'> {
	return {
		kind: 'digest',
		state: world.state,
		failureDomain: world.self.failureDomain,
		callerUrl: world.self.callerUrl,
		peerUrl: world.self.peerUrl,
		revision: world.configuration.revision,
		leaseSequence: world.lease.sequence,
		storeAgeMs: Math.ceil(computeStoreAgeMs(world)),
		services: createServiceEntries(world),
		pools: createPoolEntries(world),
	};
}

/** Sends the digest to all other members once per digest period. */
export function digestsSystem(world: World) {
	if (!startPeriodIfDue(world, 'digests', world.limits.digestMs)) {
		return;
	}

	rotateExpectedRemote(world);
	const digest = createDigest(world);
	const selectHeartbeats = startNextDigest(world);
	for (const member of world.members.rows()) {
		if (member.id !== world.self.id) {
			send(world, member.id, {...digest, heard: selectHeartbeats(member.id)});
		}
	}
}

type KeyedEntry = {key: string; entry: ServiceEntry};

/** Charges what another owner served since its last digest; its first entry of a service only sets the base. */
function applyServiceEntry(world: World, member: Member, {key, entry}: KeyedEntry) {
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

/** Updates the number of tickets of a workspace that wait at one other owner. */
function updateRemoteWaiting(world: World, service: ServedTokens, previous: number, current: number) {
	service.remoteOwners += Math.sign(current) - Math.sign(previous);
	setWaiting(world, service, service.waiting, service.remoteWaiting + current - previous);
}

function applyWaiting(world: World, member: Member, entries: KeyedEntry[]) {
	const waiting = new Map<string, ServiceEntry>();
	for (const {key, entry} of entries) {
		if (entry.waiting > 0) {
			waiting.set(key, entry);
		}
	}

	for (const [key, previous] of member.waiting) {
		const service = world.servedTokens.get(key);
		if (service && !waiting.has(key)) {
			updateRemoteWaiting(world, service, previous, 0);
		}
	}

	for (const [key, entry] of waiting) {
		const previous = member.waiting.get(key) ?? 0;
		if (previous !== entry.waiting) {
			updateRemoteWaiting(world, getOrCreateServedTokens(world, entry), previous, entry.waiting);
		}
	}

	member.waiting = new Map([...waiting].map(([key, entry]) => [key, entry.waiting]));
}

export function onDigest(world: World, from: string, digest: Digest, incarnation: string) {
	const previousIncarnation = world.members.get(from)?.incarnation;
	const isAccepted = recordHeartbeats(world, from, incarnation, digest);
	const member = world.members.get(from);
	if (!isAccepted || member === undefined) {
		return;
	}

	if (previousIncarnation !== undefined && previousIncarnation !== incarnation) {
		// Its counters restart from 0, so all service in the first digest of the new incarnation is new.
		for (const key of member.services.keys()) {
			member.services.set(key, 0);
		}
	}

	const entries = digest.services.map(entry => ({key: getServedTokensKey(entry), entry}));
	for (const keyed of entries) {
		applyServiceEntry(world, member, keyed);
	}

	applyWaiting(world, member, entries);
	member.pools = new Map(digest.pools.map(entry => [entry.pool, entry]));
}

/** Removes the waiting tickets of a member from the counts of remote waiting tickets. */
export function clearRemoteWaiting(world: World, member: Member) {
	for (const [key, waiting] of member.waiting) {
		const service = world.servedTokens.get(key);
		if (service) {
			updateRemoteWaiting(world, service, waiting, 0);
		}
	}

	member.waiting.clear();
}

/** Stops counting the waiting tickets of silent members: the origin routers place these tickets at other owners. */
export function silentMembersSystem(world: World) {
	if (!startPeriodIfDue(world, 'silence', silenceCheckMs)) {
		return;
	}

	for (const member of world.members.rows()) {
		if (member.waiting.size > 0 && world.now - member.lastHeartbeatAt > world.limits.heartbeatTimeoutMs) {
			clearRemoteWaiting(world, member);
		}
	}
}
