/*
Rendezvous hashing: every router that knows the same names picks the same one for a key, and a name that goes or comes
moves only the keys that it wins.
*/

/** Name with the highest score for a key; undefined when there are no names. */
export function rendezvous(key: string, names: readonly string[]): string | undefined {
	return ranked(key, names)[0];
}

/** Names by falling score for a key. */
export function ranked(key: string, names: readonly string[]): string[] {
	return names.map(name => ({name, score: score(key, name)}))
		.toSorted((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
		.map(({name}) => name);
}

/* eslint-disable no-bitwise -- a hash is made of bit operations */

/** 32-bit FNV-1a hash of key and name with the final mix of MurmurHash3, since FNV alone spreads short names badly. */
function score(key: string, name: string): number {
	let hash = 0x81_1C_9D_C5;
	for (const character of `${key}/${name}`) {
		hash = Math.imul(hash ^ character.codePointAt(0)!, 0x01_00_01_93);
	}

	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}
/* eslint-enable no-bitwise */
