/*
Prefix cache of a model engine: the prefixes used last, and events of what came and went.
*/

export type CacheEvent = {sequence: number; prefix: string; kind: 'stored' | 'evicted'; at: number};

export type PrefixCache = {
	/** Whether the prefix is in memory; it is afterwards. An empty prefix is never kept. */
	use(prefix: string): boolean;
	clear(): void;
	/** Events after the sequence number. */
	eventsSince(sequence: number): CacheEvent[];
};

const keptEvents = 5000;

/** Creates an empty cache of at most `size` prefixes. */
export function createPrefixCache(size: number): PrefixCache {
	// A set keeps the order of insertion: the first entry is the one unused for longest.
	const prefixes = new Set<string>();
	const events: CacheEvent[] = [];
	let sequence = 0;

	function publish(prefix: string, kind: CacheEvent['kind']) {
		sequence++;
		events.push({
			sequence, prefix, kind, at: performance.now(),
		});
		if (events.length > keptEvents) {
			events.shift();
		}
	}

	function evictOldest() {
		const oldest = prefixes.values().next().value!;
		prefixes.delete(oldest);
		publish(oldest, 'evicted');
	}

	return {
		use(prefix) {
			if (prefix === '') {
				return false;
			}

			const hit = prefixes.delete(prefix);
			prefixes.add(prefix);
			if (!hit) {
				publish(prefix, 'stored');
			}

			if (prefixes.size > size) {
				evictOldest();
			}

			return hit;
		},
		clear() {
			prefixes.clear();
		},
		eventsSince: after => events.filter(event => event.sequence > after),
	};
}
