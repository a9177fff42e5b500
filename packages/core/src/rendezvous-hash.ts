/*
Rendezvous hashing: each key ranks the candidates independently, so adding or removing a candidate moves only
its own keys.
*/
import murmurhash from 'murmurhash';

/** Score of a candidate for a key, a 32-bit number; the highest score wins. */
export function computeRendezvousScore(key: string, candidate: string): number {
	return murmurhash.v3(`${key} ${candidate}`);
}

/** Candidate with the highest score for a key; undefined when there is none. */
export function selectByRendezvous<Candidate>(key: string, candidates: Iterable<Candidate>, id: (candidate: Candidate) => string): Candidate | undefined {
	let best: Candidate | undefined;
	let bestScore = -1;
	for (const candidate of candidates) {
		const score = computeRendezvousScore(key, id(candidate));
		if (score > bestScore) {
			best = candidate;
			bestScore = score;
		}
	}

	return best;
}

/** Candidates in descending order of their scores for a key. */
export function rankByRendezvous<Candidate>(key: string, candidates: Iterable<Candidate>, id: (candidate: Candidate) => string): Candidate[] {
	return [...candidates]
		.map(candidate => ({candidate, score: computeRendezvousScore(key, id(candidate))}))
		.toSorted((a, b) => b.score - a.score)
		.map(({candidate}) => candidate);
}

/** Number of candidates with a higher score for a key than one of them. */
export function countPreferred(key: string, candidate: string, candidates: Iterable<string>): number {
	const ownScore = computeRendezvousScore(key, candidate);
	return [...candidates].filter(other => other !== candidate && computeRendezvousScore(key, other) > ownScore).length;
}
