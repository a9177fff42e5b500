/*
Rendezvous hashing: each key ranks the candidates on its own, so that a candidate that comes or goes moves only its keys.
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
