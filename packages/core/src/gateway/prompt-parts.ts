/*
What engines are expected to keep of prompts. A part is kept only after all parts before it, so what counts is how far a
prompt's parts are kept from its start. Engines publish this late and with gaps; here it follows from the calls that this
instance has sent, and from rendezvous hashing, by which all instances send a shared part to the same target first.
*/
import {computeRendezvousScore} from '../rendezvous-hash.ts';
import type {Gateway} from './gateway.ts';
import type {PoolTarget, Prompt} from './rows.ts';

/** Parts of a prompt that other calls may share: all but the last, which is the call's or its session's own. */
export function sharedKey(prompt: Prompt): string | undefined {
	return prompt.parts.at(-2)?.id;
}

function keeps({now, limits}: Gateway, target: PoolTarget, part: string): boolean {
	const at = target.parts.get(part);
	return at !== undefined && now - at <= limits.keptPartMs;
}

/** Tokens of a prompt that a target has to read, by what it is known here to keep. */
export function unreadTokensAt(gateway: Gateway, target: PoolTarget, prompt: Prompt): number {
	let unread = prompt.inputTokens;
	for (const part of prompt.parts) {
		if (!keeps(gateway, target, part.id)) {
			break;
		}

		unread -= part.tokens;
	}

	return Math.max(0, unread);
}

/** Tokens of a prompt's shared parts. */
export function sharedTokens(prompt: Prompt): number {
	return prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}

/** Tokens of a prompt that a target has to read when it keeps all shared parts. */
export function ownTokens(prompt: Prompt): number {
	return Math.max(0, prompt.inputTokens - sharedTokens(prompt));
}

/** Ranks of parts that are remembered. */
const rememberedRanks = 4096;

/** All targets of a pool in the order of their scores for a part. */
function ranked({targets, ranks}: Gateway, pool: string, part: string): PoolTarget[] {
	const key = `${pool}/${part}`;
	const known = ranks.get(key);
	if (known?.version === targets.version) {
		return known.targets;
	}

	const inOrder = [...targets.group(pool)]
		.map(target => ({target, score: computeRendezvousScore(part, target.id)}))
		.toSorted((a, b) => b.score - a.score)
		.map(({target}) => target);
	if (ranks.size >= rememberedRanks) {
		ranks.clear();
	}

	ranks.set(key, {version: targets.version, targets: inOrder});
	return inOrder;
}

/**
Targets in the order in which all instances send a shared part to them. Rendezvous hashing keeps a part's place when others
come or go.

@param sound Those of the pool that new work may go to.
@param count Most targets to return.
*/
export function homesOf(gateway: Gateway, pool: string, part: string, sound: Set<PoolTarget>, count: number): PoolTarget[] {
	const homes: PoolTarget[] = [];
	for (const target of ranked(gateway, pool, part)) {
		if (homes.length >= count) {
			break;
		}

		if (sound.has(target)) {
			homes.push(target);
		}
	}

	return homes;
}

/** Notes that a target reads a prompt, and so keeps its parts. */
export function rememberParts({now, limits}: Gateway, target: PoolTarget, prompt: Prompt) {
	for (const {id} of prompt.parts) {
		target.parts.delete(id);
		target.parts.set(id, now);
	}

	for (const id of target.parts.keys()) {
		if (target.parts.size <= limits.keptParts) {
			break;
		}

		target.parts.delete(id);
	}
}
