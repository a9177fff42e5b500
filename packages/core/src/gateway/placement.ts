/*
Chooses the target of a call: the one with the least expected time to the first byte, in milliseconds. For engines that is the
reading of the prompt's unread tokens behind those of this instance's other calls, and a delay for each request that runs
there; for services it is the queue.
*/
import {randomFraction} from '../world.ts';
import {hasColdRoom} from './cold-limits.ts';
import {isEnginePool, paceOf, type Gateway} from './gateway.ts';
import {hasPlace, loadOf} from './loads.ts';
import {
	homesOf, ownTokens, sharedKey, sharedTokens, unreadTokensAt,
} from './prompt-parts.ts';
import {TargetStanding, type Call, type PoolTarget} from './rows.ts';

/** Targets within this of the best are equal, in milliseconds. */
const tieMs = 0.5;

/** Time that a service works on a call before it was measured, in milliseconds. */
const workDefaultMs = 20;

/** Whether new work may go to a target at all. */
export function isEligible({domainsOut}: Gateway, target: PoolTarget): boolean {
	return target.standing === TargetStanding.Ready && !domainsOut.has(target.failureDomain);
}

function isSetAside({now}: Gateway, target: PoolTarget): boolean {
	return now < target.setAsideUntil;
}

/** Prompt tokens that the pool's engines read in a millisecond, as measured. */
export function readSpeed(gateway: Gateway, pool: string): number {
	const {readTokensPerMs} = paceOf(gateway, pool);
	return readTokensPerMs > 0 ? readTokensPerMs : gateway.limits.readTokensPerMs;
}

type Candidate = {target: PoolTarget; costMs: number; unreadTokens: number};

function engineCandidate(gateway: Gateway, call: Call, target: PoolTarget, isHome: boolean): Candidate {
	const prompt = call.prompt!;
	const own = ownTokens(prompt);
	const known = unreadTokensAt(gateway, target, prompt);
	const unreadTokens = isHome ? Math.min(known, own) : known;
	// A shared part that is read at one more target takes time there and room from the parts that it keeps.
	const reread = Math.max(0, unreadTokens - own) * (gateway.limits.rereadWeight - 1);
	const readMs = (target.unreadTokens + unreadTokens + reread) / readSpeed(gateway, target.pool);
	return {target, unreadTokens, costMs: readMs + (loadOf(gateway, target) * gateway.limits.engineLoadMs)};
}

/** Engines that a call may go to now. A long shared part stays at its homes, and spreads in their order while those are full and several calls wait for it. */
function engineCandidates(gateway: Gateway, call: Call, round: Round): Candidate[] {
	const {
		homes, homesMax, boundTokens, spreadCalls,
	} = gateway.limits;
	const prompt = call.prompt!;
	const key = sharedKey(prompt);
	const isFree = (target: PoolTarget) => hasRoom(gateway, call, target);
	if (key === undefined || sharedTokens(prompt) < boundTokens) {
		const near = key === undefined ? [] : homesOf(gateway, call.pool, key, round.sound, homes);
		return round.targets
			.filter(target => isFree(target))
			.map(target => engineCandidate(gateway, call, target, near.includes(target)));
	}

	const ranked = homesOf(gateway, call.pool, key, round.sound, homesMax);
	const near = ranked.slice(0, homes).filter(target => isFree(target));
	if (near.length > 0) {
		return near.map(target => engineCandidate(gateway, call, target, true));
	}

	if ((round.sharing.get(key) ?? 0) < spreadCalls) {
		return [];
	}

	const next = ranked.slice(homes).find(target => isFree(target));
	return next ? [engineCandidate(gateway, call, next, false)] : [];
}

/** Whether a call may be sent to a target now. */
function hasRoom(gateway: Gateway, call: Call, target: PoolTarget): boolean {
	return !call.tried.includes(target.id) && hasPlace(gateway, target) && hasColdRoom(gateway, target);
}

function serviceCandidate(gateway: Gateway, target: PoolTarget): Candidate {
	const pace = paceOf(gateway, target.pool);
	const workMs = pace.workMs > 0 ? pace.workMs : workDefaultMs;
	const slots = Math.max(1, target.slots);
	const load = loadOf(gateway, target);
	const queued = Math.max(0, load + 1 - slots);
	const distanceMs = target.failureDomain === gateway.self.failureDomain ? 0 : gateway.limits.crossDomainMs;
	return {target, unreadTokens: 0, costMs: ((queued + (load / slots)) * workMs / slots) + distanceMs};
}

/** One of the candidates with the least cost, at random. */
function cheapest(gateway: Gateway, candidates: Candidate[]): Candidate | undefined {
	const least = Math.min(...candidates.map(({costMs}) => costMs));
	const equal = candidates.filter(({costMs}) => costMs <= least + tieMs);
	return equal[Math.floor(randomFraction(gateway) * equal.length)];
}

export type Choice = {
	target: PoolTarget;
	unreadTokens: number;
	/** Expected time to the first byte beyond that of an idle target, in milliseconds. */
	costMs: number;
	/** Targets that could have been chosen. */
	candidates: number;
};

/** Targets of a pool that new work may go to, those that fail left out while others stand. */
export function soundTargets(gateway: Gateway, pool: string): PoolTarget[] {
	const eligible = [...gateway.targets.group(pool)].filter(target => isEligible(gateway, target));
	const sound = eligible.filter(target => !isSetAside(gateway, target));
	return sound.length > 0 ? sound : eligible;
}

/** Whether any of the targets may be sent a call now. */
export function isAnyFree(gateway: Gateway, targets: PoolTarget[]): boolean {
	return targets.some(target => hasPlace(gateway, target) && hasColdRoom(gateway, target));
}

/** What choices among the waiting calls of one pool have in common at one moment. */
export type Round = {
	targets: PoolTarget[];
	/** The same as a set. */
	sound: Set<PoolTarget>;
	/** Waiting calls by the shared part of their prompts. */
	sharing: Map<string, number>;
};

export function createRound(gateway: Gateway, pool: string, waiting: Call[]): Round {
	const targets = soundTargets(gateway, pool);
	const round: Round = {targets, sound: new Set(targets), sharing: new Map()};
	for (const call of waiting) {
		countSharing(round, call, 1);
	}

	return round;
}

function countSharing({sharing}: Round, {prompt}: Call, change: number) {
	const key = prompt && sharedKey(prompt);
	if (key !== undefined) {
		sharing.set(key, (sharing.get(key) ?? 0) + change);
	}
}

/** Notes that a call waits no longer. */
export function countStarted(round: Round, call: Call) {
	countSharing(round, call, -1);
}

/** Chooses one of the sound targets for a call; undefined while none has a place. */
export function choose(gateway: Gateway, call: Call, round: Round): Choice | undefined {
	const isEngine = call.prompt !== undefined && isEnginePool(gateway, call.pool);
	const candidates = isEngine
		? engineCandidates(gateway, call, round)
		: round.targets.filter(target => hasRoom(gateway, call, target)).map(target => serviceCandidate(gateway, target));
	const best = cheapest(gateway, candidates);
	return best && {...best, candidates: candidates.length};
}
