import {readFileSync} from 'node:fs';
import {createSettingsPage} from '../src/settings-page.ts';

test('docs/SETTINGS.md is up to date with the schemas (`npm run docs` regenerates it)', () => {
	expect(readFileSync('docs/SETTINGS.md', 'utf8')).toBe(createSettingsPage());
});

test('every option on the page has a description', () => {
	const rows = createSettingsPage().split('\n').filter(line => line.startsWith('| `'));
	expect(rows.length).toBeGreaterThan(40);
	expect(rows.filter(row => row.endsWith('|  |'))).toEqual([]);
});
