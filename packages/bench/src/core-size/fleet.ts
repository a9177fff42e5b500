/*
Builds the world of one router with the full tables of a fleet: members, targets, workspaces, running permits and waiting tickets
in the proportions of the users' requirements; and creates the digests that the other members send.
*/
import {Standing, TargetKind, type Configuration} from '@shallotloom/core/configuration.ts';
import {
	MemberState, Phase, type Digest, type HeardEntry, type ServiceEntry,
} from '@shallotloom/core/messages.ts';
import type {Inbound} from '@shallotloom/core/ports.ts';
import type {Member} from '@shallotloom/core/rows.ts';
import {step} from '@shallotloom/core/step.ts';
import {recordLease} from '@shallotloom/core/systems/membership/peer-liveness.ts';
import {heartbeatWindow} from '@shallotloom/core/systems/membership/heartbeat-entries.ts';
import {computePreferredOwners} from '@shallotloom/core/systems/ownership/preferred-owners.ts';
import {applyOwnerRecord} from '@shallotloom/core/systems/ownership/owner-records.ts';
import {addTicket} from '@shallotloom/core/systems/fair-shares/served-tokens.ts';
import {createWorld, type World} from '@shallotloom/core/world.ts';
import {createRandom, type Random} from '../load/random.ts';

/** Sizes of the fleet in the users' requirements. */
export const requiredFleet = {
	members: 410, targets: 2600, workspaces: 1300, failureDomains: 17, pools: 9,
} as const;

/** Permits of one warm target: 19,000 requests per second with 216 tokens at 58 ms each, over 2,600 targets. */
const permitsPerTarget = 92;

/** Fraction of the workspaces that always have tickets waiting. */
const backloggedFraction = 0.1;

/** Number of pools that one workspace uses. */
const poolsPerWorkspace = 2;

/** Fraction of the permits that belong to backlogged workspaces. */
const backloggedPermitFraction = 0.5;

const ticketsPerBackloggedWorkspace = 2;

/** Simulated time when the world is created, in milliseconds. */
const startMs = 1_000_000;

export type Fleet = {
	world: World;
	/** Ids of the other members. */
	peers: string[];
	/** Ids of targets by owner. */
	targetsByOwner: Map<string, string[]>;
	pools: string[];
	/** Picks a workspace that uses a pool, at random. */
	pickWorkspace: (pool: string, random: Random) => string;
	/** Creates digest number `round` of a peer, with the heartbeats that the peer has received by then. */
	createDigest: (peer: string, round: number) => Digest;
};

export type FleetOptions = {
	members: number;
	seed: number;
};

/** Builds the world of the fleet's first router. The other sizes scale with the number of members. */
export function createFleet({members, seed}: FleetOptions): Fleet {
	const random = createRandom(seed);
	const shape = computeShape(members);
	const world = createWorld({
		self: {
			id: shape.ids[0]!, incarnation: createIncarnation(shape.ids[0]!), failureDomain: shape.domains[0]!, callerUrl: createUrl(0), peerUrl: createUrl(0),
		},
		seed,
		now: startMs,
	});
	world.configuration = createConfiguration(shape);
	world.releases.isRead = true;
	world.ownersListed = true;
	world.leasesListedAt = startMs;
	Object.assign(world.lease, {
		sequence: 1, version: 1, tenure: createTenure(world.self.id), validUntil: Number.POSITIVE_INFINITY,
		nextRenewalAt: startMs, renewedAt: startMs, confirmedAt: startMs, startedAt: startMs - 60_000,
	});
	addMembers(world, shape);
	const targetsByOwner = assignTargets(world, shape);
	const serviceEntries = new Map(shape.ids.map(id => [id, createServiceEntries(shape, getPools(world, targetsByOwner.get(id) ?? []), random)]));
	const fleet: Fleet = {
		world,
		peers: shape.ids.slice(1),
		targetsByOwner,
		pools: shape.pools,
		pickWorkspace: (pool, generator) => pickWorkspace(shape, pool, generator),
		createDigest: (peer, round) => createPeerDigest(world, shape, {
			peer, round, services: serviceEntries.get(peer)!, pools: getPools(world, targetsByOwner.get(peer) ?? []),
		}),
	};
	exchangeDigests(fleet);
	step(world, world.now + 1, createLoadReports(world));
	fillQueues(world, shape, random);
	return fleet;
}

/** Sends this router's first digest and receives an echo of it from every peer: tickets of silent peers would be returned. */
function exchangeDigests({world, peers, createDigest}: Fleet) {
	step(world, world.now, []);
	step(world, world.now + 1, peers.map(peer => ({
		kind: 'peerMessage', from: peer, incarnation: createIncarnation(peer), message: createDigest(peer, 1),
	})));
}

/** Creates the results of this router's load polls of its targets. */
export function createLoadReports({budgets, permits}: World): Inbound[] {
	return [...budgets.rows()].map(({target}) => ({
		kind: 'loadReport', target, startId: 'start-1', running: permits.count(target), ageMs: 0, roundTripMs: 0, reachable: true, cold: false,
	}));
}

type FleetShape = {
	ids: string[];
	domains: string[];
	targets: string[];
	pools: string[];
	workspaces: string[];
	workspacesByPool: WorkspacesByPool;
	/** Workspaces that always have tickets waiting. */
	backloggedByPool: WorkspacesByPool;
};

function createNames(prefix: string, count: number, digits: number): string[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${String(index).padStart(digits, '0')}`);
}

function computeShape(members: number): FleetShape {
	const scale = members / requiredFleet.members;
	const workspaces = createNames('workspace', Math.max(16, Math.round(requiredFleet.workspaces * scale)), 4);
	const pools = createNames('model', requiredFleet.pools, 1);
	const backlogged = workspaces.slice(0, Math.max(2, Math.round(workspaces.length * backloggedFraction)));
	return {
		ids: createNames('router', members, 3),
		domains: createNames('domain', Math.min(requiredFleet.failureDomains, Math.max(3, Math.round(requiredFleet.failureDomains * scale))), 2),
		targets: createNames('engine', Math.round(requiredFleet.targets * scale), 4),
		pools,
		workspaces,
		workspacesByPool: groupByPool(pools, workspaces),
		backloggedByPool: groupByPool(pools, backlogged),
	};
}

function getFailureDomain(shape: FleetShape, index: number): string {
	return shape.domains[index % shape.domains.length]!;
}

function createUrl(index: number): string {
	return `http://10.${Math.trunc(index / 65_536)}.${Math.trunc(index / 256) % 256}.${index % 256}:7001`;
}

function createTenure(id: string): string {
	return `${id}-tenure`.slice(-12);
}

function createIncarnation(id: string): string {
	return `${id}0000`.slice(-8);
}

function createConfiguration(shape: FleetShape): Configuration {
	return {
		revision: 1,
		workspaces: new Map(shape.workspaces.map(id => [id, {
			id, weight: 1, keyHash: id, queueLimit: 1_000_000,
		}])),
		targets: new Map(shape.targets.map((id, index) => [id, {
			id,
			url: createUrl(1000 + index),
			kind: TargetKind.Engine,
			failureDomain: getFailureDomain(shape, index),
			pools: [shape.pools[Math.trunc(index / shape.domains.length) % shape.pools.length]!],
			warmBudget: permitsPerTarget,
			coldBudget: 4,
			standing: Standing.In,
			fences: true,
		}])),
		failureDomains: new Map(shape.domains.map(name => [name, {name, standing: Standing.In}])),
	};
}

function addMembers(world: World, shape: FleetShape) {
	for (const [index, id] of shape.ids.entries()) {
		if (id !== world.self.id) {
			recordLease(world, id, 1, {
				nonce: '',
				incarnation: createIncarnation(id),
				tenure: createTenure(id),
				sequence: 1,
				state: MemberState.Active,
				failureDomain: getFailureDomain(shape, index),
				callerUrl: createUrl(index),
				peerUrl: createUrl(index),
				boundAddress: '',
				durationMs: world.limits.leaseDurationMs,
			});
		}
	}
}

/** Assigns each target, warm, to its preferred owner; returns the ids of targets by owner. */
function assignTargets(world: World, shape: FleetShape): Map<string, string[]> {
	const members = shape.ids.map((id, index): Pick<Member, 'id' | 'failureDomain'> => ({id, failureDomain: getFailureDomain(shape, index)}));
	const targetsByOwner = new Map<string, string[]>();
	for (const [target, owner] of computePreferredOwners([...world.configuration.targets.values()], members as Member[])) {
		targetsByOwner.set(owner, [...targetsByOwner.get(owner) ?? [], target]);
		applyOwnerRecord(world, target, 1, {
			owner, incarnation: createTenure(owner), epoch: 1, nonce: '',
		}, {
			kind: 'targetHandover', target, epoch: 1, tenure: createTenure(owner), version: 1, phase: Phase.Warm, budget: permitsPerTarget, entries: [],
		});
	}

	return targetsByOwner;
}

function getPools(world: World, targets: string[]): string[] {
	return [...new Set(targets.flatMap(target => world.configuration.targets.get(target)?.pools ?? []))].toSorted();
}

/** Ids of the workspaces that use each pool. */
type WorkspacesByPool = Map<string, string[]>;

function groupByPool(pools: string[], from: string[]): WorkspacesByPool {
	return new Map(pools.map(pool => [pool, findWorkspacesOfPool(pools, pool, from)]));
}

/** Returns the workspaces of a list that use a pool, or the whole list when none does. */
function findWorkspacesOfPool(pools: string[], pool: string, from: string[]): string[] {
	const poolIndex = pools.indexOf(pool);
	const workspaces = from.filter(id => {
		const distance = (poolIndex + pools.length - (Number(id.slice(-4)) % pools.length)) % pools.length;
		return distance < poolsPerWorkspace;
	});
	return workspaces.length === 0 ? from : workspaces;
}

function pickWorkspace(shape: FleetShape, pool: string, random: Random): string {
	const workspaces = (random.uniform() < backloggedPermitFraction ? shape.backloggedByPool : shape.workspacesByPool).get(pool) ?? [];
	return workspaces[Math.trunc(random.uniform() * workspaces.length)]!;
}

/** Adds more tickets to this router's queues than its targets have permits, so that the first steps grant every permit. */
function fillQueues(world: World, shape: FleetShape, random: Random) {
	const origins = shape.ids.filter((id, index) => id !== world.self.id && getFailureDomain(shape, index) === world.self.failureDomain);
	let number = 0;
	const add = (pool: string, workspace: string) => {
		const origin = origins[number % origins.length]!;
		number += 1;
		addTicket(world, {
			ticket: `${origin}-${number}`, origin, workspace, pool, inputTokens: 100, prefixHash: 0, deadline: Number.MAX_SAFE_INTEGER, arrivedAt: world.now, excluded: [],
		});
	};

	for (const {target} of world.budgets.rows()) {
		const pool = world.configuration.targets.get(target)!.pools[0]!;
		for (let permit = 0; permit < permitsPerTarget; permit += 1) {
			add(pool, pickWorkspace(shape, pool, random));
		}
	}

	for (const pool of getPools(world, [...world.ownedTargets.keys()])) {
		for (const workspace of shape.backloggedByPool.get(pool) ?? []) {
			for (let ticket = 0; ticket < ticketsPerBackloggedWorkspace; ticket += 1) {
				add(pool, workspace);
			}
		}
	}
}

/** Creates the service entries of an owner's digest: those that changed recently or have tickets waiting. */
function createServiceEntries(shape: FleetShape, pools: string[], random: Random): ServiceEntry[] {
	const entries = new Map<string, ServiceEntry>();
	const add = (pool: string, workspace: string, waiting: number) => {
		entries.set(`${pool}/${workspace}`, {
			workspace, pool, service: Math.trunc(random.uniform() * 1e6), waiting, virtualTime: 0,
		});
	};

	const permits = permitsPerTarget * requiredFleet.targets / requiredFleet.members;
	for (let permit = 0; permit < permits && pools.length > 0; permit += 1) {
		const pool = pools[permit % pools.length]!;
		add(pool, pickWorkspace(shape, pool, random), 0);
	}

	for (const pool of pools) {
		for (const workspace of shape.backloggedByPool.get(pool) ?? []) {
			add(pool, workspace, ticketsPerBackloggedWorkspace);
		}
	}

	return [...entries.values()];
}

type DigestOptions = {peer: string; round: number; services: ServiceEntry[]; pools: string[]};

function createPeerDigest(world: World, shape: FleetShape, {peer, round, services, pools}: DigestOptions): Digest {
	const index = shape.ids.indexOf(peer);
	return {
		kind: 'digest',
		state: MemberState.Active,
		failureDomain: getFailureDomain(shape, index),
		callerUrl: createUrl(index),
		peerUrl: createUrl(index),
		revision: 1,
		leaseSequence: round,
		storeAgeMs: 500,
		// Each round charges the tokens that a permit streams in one digest period; origins report them once or twice per second.
		services: services.map(entry => ({...entry, service: entry.service + (round * 4)})),
		pools: pools.map(pool => ({
			pool, free: 0, budget: permitsPerTarget, waiting: (shape.backloggedByPool.get(pool)?.length ?? 0) * ticketsPerBackloggedWorkspace, frontier: 0,
		})),
		heard: createHeartbeatEntries(world, shape, peer, round),
	};
}

/** Creates the peer's own entry, the echo of this router and a window of others, as `heartbeat-entries.ts` in the core does. */
function createHeartbeatEntries(world: World, shape: FleetShape, peer: string, round: number): HeardEntry[] {
	const others = shape.ids.filter(id => id !== peer && id !== world.self.id);
	const start = (round * heartbeatWindow) % others.length;
	const members = [peer, world.self.id, ...[...others, ...others].slice(start, start + Math.min(heartbeatWindow, others.length))];
	return members.map(member => ({
		member,
		incarnation: createIncarnation(member),
		ageMs: member === peer ? 0 : 250,
		leaseSequence: round,
		digestSequence: member === world.self.id ? world.sentDigests.sequence : round,
		tenure: createTenure(member),
	}));
}
