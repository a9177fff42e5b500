/*
In-memory objects of the Object API: one global revision counter, conditional writes, sorted lists, and a bounded change
history from which watches are answered.
*/

export type StandinObject = {key: string; version: number; value: string};

/** A change; `value` is null when the object was deleted. `at` is in milliseconds. */
export type ObjectChange = {key: string; version: number; value: string | null; at: number};

/** Condition of a write; a write without a condition always applies. */
export type WriteCondition = {ifVersion?: number; ifAbsent?: boolean};

export type WriteResult = {kind: 'ok'; version: number} | {kind: 'conflict'} | {kind: 'absent'};

export type ObjectTable = {
	readonly revision: number;
	get(key: string): StandinObject | undefined;
	put(key: string, value: string, condition: WriteCondition): WriteResult;
	delete(key: string, condition: WriteCondition): WriteResult;
	/** Objects whose key starts with `prefix` and is greater than `after`, sorted by key. */
	list(prefix: string, after: string, limit: number): StandinObject[];
	/** Changes after the revision, oldest first; undefined when some are no longer retained or the revision is unknown. */
	getChangesSince(revision: number): ObjectChange[] | undefined;
};

export type ObjectTableOptions = {
	/** Minimum number of changes that the history retains. */
	historyLimit: number;
	now: () => number;
	onChange: () => void;
};

/** Creates an empty table. */
export function createObjectTable({historyLimit, now, onChange}: ObjectTableOptions): ObjectTable {
	const objects = new Map<string, StandinObject>();
	let history: ObjectChange[] = [];
	let revision = 0;
	/** Lowest revision from which the history is complete. */
	let historyStart = 0;

	function recordChange(key: string, value: string | null): WriteResult {
		revision++;
		history.push({
			key, version: revision, value, at: now(),
		});
		// Trimmed only at twice the limit, so that the history isn't copied on every write.
		if (history.length > 2 * historyLimit) {
			history = history.slice(-historyLimit);
			historyStart = history[0]!.version - 1;
		}

		onChange();
		return {kind: 'ok', version: revision};
	}

	function isConditionMet(key: string, {ifVersion, ifAbsent}: WriteCondition): boolean {
		const current = objects.get(key);
		return ifAbsent ? current === undefined : (ifVersion === undefined || current?.version === ifVersion);
	}

	return {
		get revision() {
			return revision;
		},
		get: key => objects.get(key),
		put(key, value, condition) {
			if (!isConditionMet(key, condition)) {
				return {kind: 'conflict'};
			}

			objects.set(key, {key, version: revision + 1, value});
			return recordChange(key, value);
		},
		delete(key, condition) {
			if (!objects.has(key)) {
				return {kind: 'absent'};
			}

			if (!isConditionMet(key, condition)) {
				return {kind: 'conflict'};
			}

			objects.delete(key);
			return recordChange(key, null);
		},
		list(prefix, after, limit) {
			const keys = [...objects.keys()].filter(key => key.startsWith(prefix) && key > after);
			// Sorted by UTF-16 code unit, the order in which `>` compares with `after`.
			keys.sort((a, b) => a < b ? -1 : 1);
			return keys.slice(0, limit).map(key => objects.get(key)!);
		},
		getChangesSince(since) {
			if (since < historyStart || since > revision) {
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
