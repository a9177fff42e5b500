import {readFileSync} from 'node:fs';
import {settingsPage} from '../src/settings-page.ts';

test('docs/SETTINGS.md is what `npm run docs` writes', () => {
	expect(readFileSync('docs/SETTINGS.md', 'utf8')).toBe(settingsPage());
});

test('every option of the page has a meaning', () => {
	const rows = settingsPage().split('\n').filter(line => line.startsWith('| `'));
	expect(rows.length).toBeGreaterThan(40);
	expect(rows.filter(row => row.endsWith('|  |'))).toEqual([]);
});
