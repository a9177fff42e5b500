/*
Chooses the target of a call: the one with the least expected time to the first byte, in milliseconds. For engines that is the
reading of the prompt's unread tokens behind those of this instance's other calls, and a delay for each request that runs
there; for services it is the queue.
*/
import {rendezvousScore} from '../hash.ts';
import {random} from '../world.ts';
import {hasColdRoom} from './cold-limits.ts';
import {paceOf, type Gateway} from './gateway.ts';
import {hasPlace, loadOf} from './loads.ts';
import {ownTokens, sharedKey, unreadTokensAt} from './prompt-parts.ts';
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
	const known = unreadTokensAt(gateway, target, prompt);
	const unreadTokens = isHome ? Math.min(known, ownTokens(prompt)) : known;
	const readMs = (target.unreadTokens + unreadTokens) / readSpeed(gateway, target.pool);
	return {target, unreadTokens, costMs: readMs + (loadOf(gateway, target) * gateway.limits.engineLoadMs)};
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

/** The target that all instances send a shared part to first. */
function homeOf(call: Call, targets: PoolTarget[]): PoolTarget | undefined {
	const key = call.prompt && sharedKey(call.prompt);
	if (key === undefined) {
		return undefined;
	}

	let home: PoolTarget | undefined;
	let best = -1;
	for (const target of targets) {
		const score = rendezvousScore(key, target.id);
		if (score > best) {
			best = score;
			home = target;
		}
	}

	return home;
}

/** One of the candidates with the least cost, at random. */
function cheapest(gateway: Gateway, candidates: Candidate[]): Candidate | undefined {
	const least = Math.min(...candidates.map(({costMs}) => costMs));
	const equal = candidates.filter(({costMs}) => costMs <= least + tieMs);
	return equal[Math.floor(random(gateway) * equal.length)];
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

/** Chooses a target for a call; undefined while none has a place. */
export function choose(gateway: Gateway, call: Call): Choice | undefined {
	const targets = soundTargets(gateway, call.pool);
	const isEngine = call.prompt !== undefined && (gateway.catalogue?.pools.get(call.pool)?.isEngine ?? false);
	const home = isEngine ? homeOf(call, targets) : undefined;
	const untried = targets.filter(target => !call.tried.includes(target.id));
	const candidates = untried
		.filter(target => hasPlace(gateway, target) && hasColdRoom(gateway, target))
		.map(target => isEngine ? engineCandidate(gateway, call, target, target === home) : serviceCandidate(gateway, target));
	const best = cheapest(gateway, candidates);
	return best && {...best, candidates: candidates.length};
}
