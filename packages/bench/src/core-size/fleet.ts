/*
Builds the world of one router at the full tables of a fleet: members, targets, workspaces, running permits and waiting
tickets in the proportions of the users' letter, and the digests that the other members send.
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

/** Sizes of the users' letter. */
export const letter = {
	members: 410, targets: 2600, workspaces: 1300, failureDomains: 17, pools: 9,
} as const;

/** Permits of one warm target: 19,000 requests a second of 216 tokens at 58 ms each, over 2,600 targets. */
const permitsPerTarget = 92;

/** Part of the workspaces that always has tickets waiting. */
const backloggedFraction = 0.1;

/** Models that one workspace uses. */
const poolsPerWorkspace = 2;

/** Part of the permits that backlogged workspaces hold. */
const backloggedPermits = 0.5;

const ticketsPerBacklog = 2;

/** Time of the world when it is built, in milliseconds. */
const startMs = 1_000_000;

export type Fleet = {
	world: World;
	/** Ids of the other members. */
	peers: string[];
	/** Targets by owner. */
	owned: Map<string, string[]>;
	pools: string[];
	/** A workspace that uses a pool, at random. */
	pickWorkspace: (pool: string, random: Random) => string;
	/** Digest number `round` of a peer, with what it had heard by then. */
	digestOf: (peer: string, round: number) => Digest;
};

export type FleetOptions = {
	members: number;
	seed: number;
};

/** Builds the world of the fleet's first router; all else shrinks in proportion to the number of members. */
export function createFleet({members, seed}: FleetOptions): Fleet {
	const random = createRandom(seed);
	const shape = shapeOf(members);
	const world = createWorld({
		self: {
			id: shape.ids[0]!, incarnation: incarnationOf(shape.ids[0]!), failureDomain: shape.domains[0]!, callerUrl: urlOf(0), peerUrl: urlOf(0),
		},
		seed,
		now: startMs,
	});
	world.configuration = configurationOf(shape);
	world.releases.isRead = true;
	world.ownersListed = true;
	world.leasesListedAt = startMs;
	Object.assign(world.lease, {
		sequence: 1, version: 1, tenure: tenureOf(world.self.id), validUntil: Number.POSITIVE_INFINITY,
		nextRenewalAt: startMs, renewedAt: startMs, confirmedAt: startMs, startedAt: startMs - 60_000,
	});
	joinMembers(world, shape);
	const owned = assignTargets(world, shape);
	const activity = new Map(shape.ids.map(id => [id, activeServices(shape, poolsOf(world, owned.get(id) ?? []), random)]));
	const fleet: Fleet = {
		world,
		peers: shape.ids.slice(1),
		owned,
		pools: shape.pools,
		pickWorkspace: (pool, generator) => pickWorkspace(shape, pool, generator),
		digestOf: (peer, round) => digestOf(world, shape, {
			peer, round, services: activity.get(peer)!, pools: poolsOf(world, owned.get(peer) ?? []),
		}),
	};
	hearPeers(fleet);
	step(world, world.now + 1, loadReports(world));
	fillQueues(world, shape, random);
	return fleet;
}

/** Sends this router's first digest and takes one of every peer that echoes it, since tickets of unheard peers go back. */
function hearPeers({world, peers, digestOf: nextDigest}: Fleet) {
	step(world, world.now, []);
	step(world, world.now + 1, peers.map(peer => ({
		kind: 'peerMessage', from: peer, incarnation: incarnationOf(peer), message: nextDigest(peer, 1),
	})));
}

/** What the load polls of this router's targets find. */
export function loadReports({budgets, permits}: World): Inbound[] {
	return [...budgets.rows()].map(({target}) => ({
		kind: 'loadReport', target, startId: 'start-1', running: permits.count(target), ageMs: 0, roundTripMs: 0, reachable: true, cold: false,
	}));
}

type Shape = {
	ids: string[];
	domains: string[];
	targets: string[];
	pools: string[];
	workspaces: string[];
	users: Users;
	/** Workspaces that always have tickets waiting. */
	backlogged: Users;
};

function names(prefix: string, count: number, digits: number): string[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${String(index).padStart(digits, '0')}`);
}

function shapeOf(members: number): Shape {
	const part = members / letter.members;
	const workspaces = names('workspace', Math.max(16, Math.round(letter.workspaces * part)), 4);
	const pools = names('model', letter.pools, 1);
	const backlogged = workspaces.slice(0, Math.max(2, Math.round(workspaces.length * backloggedFraction)));
	return {
		ids: names('router', members, 3),
		domains: names('domain', Math.min(letter.failureDomains, Math.max(3, Math.round(letter.failureDomains * part))), 2),
		targets: names('engine', Math.round(letter.targets * part), 4),
		pools,
		workspaces,
		users: usersByPool(pools, workspaces),
		backlogged: usersByPool(pools, backlogged),
	};
}

function domainOf(shape: Shape, index: number): string {
	return shape.domains[index % shape.domains.length]!;
}

function urlOf(index: number): string {
	return `http://10.${Math.trunc(index / 65_536)}.${Math.trunc(index / 256) % 256}.${index % 256}:7001`;
}

function tenureOf(id: string): string {
	return `${id}-tenure`.slice(-12);
}

function incarnationOf(id: string): string {
	return `${id}0000`.slice(-8);
}

function configurationOf(shape: Shape): Configuration {
	return {
		revision: 1,
		workspaces: new Map(shape.workspaces.map(id => [id, {
			id, weight: 1, keyHash: id, queueLimit: 1_000_000,
		}])),
		targets: new Map(shape.targets.map((id, index) => [id, {
			id,
			url: urlOf(1000 + index),
			kind: TargetKind.Engine,
			failureDomain: domainOf(shape, index),
			pools: [shape.pools[Math.trunc(index / shape.domains.length) % shape.pools.length]!],
			warmBudget: permitsPerTarget,
			coldBudget: 4,
			standing: Standing.In,
			fences: true,
		}])),
		failureDomains: new Map(shape.domains.map(name => [name, {name, standing: Standing.In}])),
	};
}

function joinMembers(world: World, shape: Shape) {
	for (const [index, id] of shape.ids.entries()) {
		if (id !== world.self.id) {
			recordLease(world, id, 1, {
				nonce: '',
				incarnation: incarnationOf(id),
				tenure: tenureOf(id),
				sequence: 1,
				state: MemberState.Active,
				failureDomain: domainOf(shape, index),
				callerUrl: urlOf(index),
				peerUrl: urlOf(index),
				boundAddress: '',
				durationMs: world.limits.leaseDurationMs,
			});
		}
	}
}

/** Gives each target to its preferred owner, warm, and returns the targets by owner. */
function assignTargets(world: World, shape: Shape): Map<string, string[]> {
	const live = shape.ids.map((id, index): Pick<Member, 'id' | 'failureDomain'> => ({id, failureDomain: domainOf(shape, index)}));
	const owned = new Map<string, string[]>();
	for (const [target, owner] of computePreferredOwners([...world.configuration.targets.values()], live as Member[])) {
		owned.set(owner, [...owned.get(owner) ?? [], target]);
		applyOwnerRecord(world, target, 1, {
			owner, incarnation: tenureOf(owner), epoch: 1, nonce: '',
		}, {
			kind: 'targetHandover', target, epoch: 1, tenure: tenureOf(owner), version: 1, phase: Phase.Warm, budget: permitsPerTarget, entries: [],
		});
	}

	return owned;
}

function poolsOf(world: World, targets: string[]): string[] {
	return [...new Set(targets.flatMap(target => world.configuration.targets.get(target)?.pools ?? []))].toSorted();
}

/** Workspaces that use each pool. */
type Users = Map<string, string[]>;

function usersByPool(pools: string[], from: string[]): Users {
	return new Map(pools.map(pool => [pool, usersOf(pools, pool, from)]));
}

/** Workspaces of a list that use a pool; the whole list when none does. */
function usersOf(pools: string[], pool: string, from: string[]): string[] {
	const poolIndex = pools.indexOf(pool);
	const users = from.filter(id => {
		const distance = (poolIndex + pools.length - (Number(id.slice(-4)) % pools.length)) % pools.length;
		return distance < poolsPerWorkspace;
	});
	return users.length === 0 ? from : users;
}

function pickWorkspace(shape: Shape, pool: string, random: Random): string {
	const users = (random.uniform() < backloggedPermits ? shape.backlogged : shape.users).get(pool) ?? [];
	return users[Math.trunc(random.uniform() * users.length)]!;
}

/** Puts more tickets into this router's queues than its targets take, so that the first steps fill every permit. */
function fillQueues(world: World, shape: Shape, random: Random) {
	const holders = shape.ids.filter((id, index) => id !== world.self.id && domainOf(shape, index) === world.self.failureDomain);
	let number = 0;
	const add = (pool: string, workspace: string) => {
		const origin = holders[number % holders.length]!;
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

	for (const pool of poolsOf(world, [...world.ownedTargets.keys()])) {
		for (const workspace of shape.backlogged.get(pool) ?? []) {
			for (let ticket = 0; ticket < ticketsPerBacklog; ticket += 1) {
				add(pool, workspace);
			}
		}
	}
}

/** Service of an owner that changed lately or has tickets waiting. */
function activeServices(shape: Shape, pools: string[], random: Random): ServiceEntry[] {
	const entries = new Map<string, ServiceEntry>();
	const add = (pool: string, workspace: string, waiting: number) => {
		entries.set(`${pool}/${workspace}`, {
			workspace, pool, service: Math.trunc(random.uniform() * 1e6), waiting, virtualTime: 0,
		});
	};

	const permits = permitsPerTarget * letter.targets / letter.members;
	for (let permit = 0; permit < permits && pools.length > 0; permit += 1) {
		const pool = pools[permit % pools.length]!;
		add(pool, pickWorkspace(shape, pool, random), 0);
	}

	for (const pool of pools) {
		for (const workspace of shape.backlogged.get(pool) ?? []) {
			add(pool, workspace, ticketsPerBacklog);
		}
	}

	return [...entries.values()];
}

type DigestOptions = {peer: string; round: number; services: ServiceEntry[]; pools: string[]};

function digestOf(world: World, shape: Shape, {peer, round, services, pools}: DigestOptions): Digest {
	const index = shape.ids.indexOf(peer);
	return {
		kind: 'digest',
		state: MemberState.Active,
		failureDomain: domainOf(shape, index),
		callerUrl: urlOf(index),
		peerUrl: urlOf(index),
		revision: 1,
		leaseSequence: round,
		storeAgeMs: 500,
		// Each round charges what a permit streams in one period, once or twice a second as holders report it.
		services: services.map(entry => ({...entry, service: entry.service + (round * 4)})),
		pools: pools.map(pool => ({
			pool, free: 0, budget: permitsPerTarget, waiting: (shape.backlogged.get(pool)?.length ?? 0) * ticketsPerBacklog, frontier: 0,
		})),
		heard: heardBy(world, shape, peer, round),
	};
}

/** The peer's own entry, the echo of this router, and a window of others, as `heard.ts` of the core chooses them. */
function heardBy(world: World, shape: Shape, peer: string, round: number): HeardEntry[] {
	const others = shape.ids.filter(id => id !== peer && id !== world.self.id);
	const start = (round * heartbeatWindow) % others.length;
	const told = [peer, world.self.id, ...[...others, ...others].slice(start, start + Math.min(heartbeatWindow, others.length))];
	return told.map(member => ({
		member,
		incarnation: incarnationOf(member),
		ageMs: member === peer ? 0 : 250,
		leaseSequence: round,
		digestSequence: member === world.self.id ? world.sentDigests.sequence : round,
		tenure: tenureOf(member),
	}));
}
