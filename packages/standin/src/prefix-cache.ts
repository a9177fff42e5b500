/*
Prefix cache of a model engine: an LRU set of prompt prefixes, with an event for each prefix that is stored or evicted.
*/

export type CacheEvent = {sequence: number; prefix: string; kind: 'stored' | 'evicted'; at: number};

export type PrefixCache = {
	/** Whether the prefix was cached; it is the most recently used one afterwards. The empty prefix is never cached. */
	lookUpOrInsert(prefix: string): boolean;
	clear(): void;
	/** Events with a higher sequence number. */
	getEventsSince(sequence: number): CacheEvent[];
};

const maxEvents = 5000;

/** Creates an empty cache of at most `size` prefixes. */
export function createPrefixCache(size: number): PrefixCache {
	// A set iterates in insertion order, so its first entry is the least recently used one.
	const prefixes = new Set<string>();
	const events: CacheEvent[] = [];
	let sequence = 0;

	function addEvent(prefix: string, kind: CacheEvent['kind']) {
		sequence++;
		events.push({
			sequence, prefix, kind, at: performance.now(),
		});
		if (events.length > maxEvents) {
			events.shift();
		}
	}

	function evictLeastRecentlyUsed() {
		const oldest = prefixes.values().next().value!;
		prefixes.delete(oldest);
		addEvent(oldest, 'evicted');
	}

	return {
		lookUpOrInsert(prefix) {
			if (prefix === '') {
				return false;
			}

			const isHit = prefixes.delete(prefix);
			prefixes.add(prefix);
			if (!isHit) {
				addEvent(prefix, 'stored');
			}

			if (prefixes.size > size) {
				evictLeastRecentlyUsed();
			}

			return isHit;
		},
		clear() {
			prefixes.clear();
		},
		getEventsSince: after => events.filter(event => event.sequence > after),
	};
}
