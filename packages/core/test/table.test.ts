import {createTable} from '../src/table.ts';

type Row = {id: string; group: string};

test('replacing a row removes the previous one from its group', () => {
	const table = createTable<Row>({key: row => row.id, index: row => row.group});
	table.set({id: 'a', group: 'x'});
	table.set({id: 'a', group: 'y'});
	expect([...table.group('x')]).toEqual([]);
	expect([...table.group('y')]).toEqual([{id: 'a', group: 'y'}]);
});

test('a group keeps the insertion order of its rows', () => {
	const table = createTable<Row>({key: row => row.id, index: row => row.group});
	for (const id of ['c', 'a', 'b']) {
		table.set({id, group: 'x'});
	}

	table.delete('a');
	expect([...table.group('x')].map(row => row.id)).toEqual(['c', 'b']);
	expect(table.size).toBe(2);
});

test('the version grows only when a row is added, replaced or deleted', () => {
	const table = createTable<Row>({key: row => row.id});
	const row = {id: 'a', group: 'x'};
	const versions = [
		() => {
			table.set(row);
		},
		() => {
			table.set({...row});
		},
		() => {
			table.get('a')!.group = 'y';
		},
		() => {
			table.delete('b');
		},
		() => {
			table.delete('a');
		},
	].map(change => {
		change();
		return table.version;
	});
	expect(versions).toEqual([1, 2, 2, 2, 3]);
});
