/*
A table holds the rows of one kind of entity by key. Rows are plain data that systems change in place. An index groups
the rows by a value that is fixed for the life of a row, so that a hot path reads one group instead of the whole table.
*/

export type Table<Row> = {
	readonly size: number;
	/** Increases whenever a row is added, replaced or deleted; not when a row changes in place. */
	readonly version: number;
	get(key: string): Row | undefined;
	has(key: string): boolean;
	/** Adds the row, or replaces the row of the same key. */
	set(row: Row): void;
	delete(key: string): boolean;
	rows(): IterableIterator<Row>;
	/** Rows whose index value is `value`, in insertion order. */
	group(value: string): Iterable<Row>;
	/** Number of rows whose index value is `value`. */
	count(value: string): number;
	/** Index values with at least one row. */
	groups(): IterableIterator<string>;
};

export type TableOptions<Row> = {
	key: (row: Row) => string;
	/** Value that `group` looks up; must not change while the row is in the table. */
	index?: (row: Row) => string;
};

/**
Creates an empty table.

@example
```
const members = createTable<Member>({key: member => member.id, index: member => member.failureDomain});
```
*/
export function createTable<Row>({key, index}: TableOptions<Row>): Table<Row> {
	const byKey = new Map<string, Row>();
	const byIndex = new Map<string, Map<string, Row>>();
	let version = 0;

	function removeFromIndex(rowKey: string, row: Row) {
		if (!index) {
			return;
		}

		const value = index(row);
		const group = byIndex.get(value);
		group?.delete(rowKey);
		if (group?.size === 0) {
			byIndex.delete(value);
		}
	}

	function addToIndex(rowKey: string, row: Row) {
		if (!index) {
			return;
		}

		const value = index(row);
		const group = byIndex.get(value) ?? new Map<string, Row>();
		group.set(rowKey, row);
		byIndex.set(value, group);
	}

	return {
		get: rowKey => byKey.get(rowKey),
		has: rowKey => byKey.has(rowKey),
		set(row) {
			const rowKey = key(row);
			const previous = byKey.get(rowKey);
			if (previous !== undefined) {
				removeFromIndex(rowKey, previous);
			}

			version += 1;
			byKey.set(rowKey, row);
			addToIndex(rowKey, row);
		},
		delete(rowKey) {
			const row = byKey.get(rowKey);
			if (row === undefined) {
				return false;
			}

			version += 1;
			removeFromIndex(rowKey, row);
			return byKey.delete(rowKey);
		},
		rows: () => byKey.values(),
		group: value => byIndex.get(value)?.values() ?? [],
		count: value => byIndex.get(value)?.size ?? 0,
		groups: () => byIndex.keys(),
		get version() {
			return version;
		},
		get size() {
			return byKey.size;
		},
	};
}
