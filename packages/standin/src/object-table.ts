/*
The objects of the Object API in memory: one global revision, conditional updates, sorted listing, and a bounded history
of changes for watches.
*/

export type StandinObject = {key: string; version: number; value: string};

/** A change; `value` is null when the object was deleted. `at` is in milliseconds. */
export type ObjectChange = {key: string; version: number; value: string | null; at: number};

/** Condition of a write; without one it always applies. */
export type WriteCondition = {ifVersion?: number; ifAbsent?: boolean};

export type WriteResult = {kind: 'ok'; version: number} | {kind: 'conflict'} | {kind: 'absent'};

export type ObjectTable = {
	readonly revision: number;
	get(key: string): StandinObject | undefined;
	put(key: string, value: string, condition: WriteCondition): WriteResult;
	delete(key: string, condition: WriteCondition): WriteResult;
	/** Objects under the prefix with a key greater than `after`, by key. */
	list(prefix: string, after: string, limit: number): StandinObject[];
	/** Changes after the revision, oldest first; undefined when some of them are no longer kept. */
	changesSince(revision: number): ObjectChange[] | undefined;
};

export type ObjectTableOptions = {
	/** Changes that are kept for watches. */
	historyLimit: number;
	now: () => number;
	onChange: () => void;
};

/** Creates an empty table. */
export function createObjectTable({historyLimit, now, onChange}: ObjectTableOptions): ObjectTable {
	const objects = new Map<string, StandinObject>();
	let history: ObjectChange[] = [];
	let revision = 0;
	let oldestKept = 0;

	function record(key: string, value: string | null): WriteResult {
		revision++;
		history.push({
			key, version: revision, value, at: now(),
		});
		// Trimmed in large steps, so that a write costs no copy of the history.
		if (history.length > 2 * historyLimit) {
			history = history.slice(-historyLimit);
			oldestKept = history[0]!.version - 1;
		}

		onChange();
		return {kind: 'ok', version: revision};
	}

	function allowed(key: string, {ifVersion, ifAbsent}: WriteCondition): boolean {
		const before = objects.get(key);
		return ifAbsent ? before === undefined : (ifVersion === undefined || before?.version === ifVersion);
	}

	return {
		get revision() {
			return revision;
		},
		get: key => objects.get(key),
		put(key, value, condition) {
			if (!allowed(key, condition)) {
				return {kind: 'conflict'};
			}

			objects.set(key, {key, version: revision + 1, value});
			return record(key, value);
		},
		delete(key, condition) {
			if (!objects.has(key)) {
				return {kind: 'absent'};
			}

			if (!allowed(key, condition)) {
				return {kind: 'conflict'};
			}

			objects.delete(key);
			return record(key, null);
		},
		list(prefix, after, limit) {
			const keys = [...objects.keys()].filter(key => key.startsWith(prefix) && key > after);
			// Sorted by code unit, as `>` compares.
			keys.sort((a, b) => a < b ? -1 : 1);
			return keys.slice(0, limit).map(key => objects.get(key)!);
		},
		changesSince(since) {
			if (since < oldestKept || since > revision) {
				return undefined;
			}

			let start = history.length;
			while (start > 0 && history[start - 1]!.version > since) {
				start--;
			}

			return history.slice(start);
		},
	};
}
