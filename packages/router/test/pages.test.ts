import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {refusals} from '@shallotloom/core/refusal.ts';
import {createMetrics} from '../src/metrics.ts';

test('docs/API.md lists every refusal with its status', async () => {
	const page = await readFile('docs/API.md', 'utf8');
	const rows = [...page.matchAll(/^\| `(?<kind>[a-z\-]+)` \| (?<status>\d{3}) \|/gmv)].map(({groups}) => [groups!.kind, Number(groups!.status)]);
	expect(new Map(rows as Array<[string, number]>)).toEqual(new Map(Object.entries(refusals).map(([kind, {status}]) => [kind, status])));
});

test('the metrics page lists every metric', async () => {
	const page = await readFile('docs/operating/metrics-and-alerts.md', 'utf8');
	const listed = [...page.matchAll(/^\| `(?<name>(?:shallotloom|nodejs)_\w+)`/gmv)].map(({groups}) => groups!.name);
	const {text} = await createMetrics().scrape();
	const served = [...text.matchAll(/^# TYPE (?<name>\w+)/gmv)].map(({groups}) => groups!.name);
	expect(listed).toEqual(served);
});

test('docs/STYLE.md gives a reason for every rule that xo.config.js changes', async () => {
	const [page, config] = await Promise.all([readFile('docs/STYLE.md', 'utf8'), readFile('xo.config.js', 'utf8')]);
	const rules = [...config.matchAll(/^\t+'?(?<rule>[@\/a-z\-]+)'?: (?:'off'|\[)/gmv)].map(({groups}) => groups!.rule!).filter(rule => rule.includes('-'));
	expect(rules.length).toBeGreaterThan(8);
	for (const rule of rules) {
		expect(page).toContain(`\`${rule}\``);
	}
});

test('links of the pages for newcomers and operators point to existing files', async () => {
	const pages = ['README.md', 'CONTRIBUTING.md', 'docs/ARCHITECTURE.md', 'docs/API.md', 'docs/GLOSSARY.md', 'docs/STYLE.md'];
	const missing: string[] = [];
	for (const page of pages) {
		const text = await readFile(page, 'utf8');
		for (const {groups} of text.matchAll(/\]\((?<link>[^#\):]+)\)/gv)) {
			const file = new URL(groups!.link!, `file://${process.cwd()}/${page}`);
			await readFile(file).catch((error: unknown) => {
				if ((error as {code?: string}).code !== 'EISDIR') {
					missing.push(`${page}: ${groups!.link}`);
				}
			});
		}
	}

	expect(missing).toEqual([]);
});
