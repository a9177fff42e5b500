/*
Runs the focused tests that the cells of the fault matrix name, and prints the matrix. Fails when a cell names a test that
doesn't exist or, unless the cell is red, didn't pass.
*/
import {spawn} from 'node:child_process';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {Status, computeStatus, type Cell} from '../matrix/cell.ts';
import {cells} from '../matrix/cells.ts';
import {createFaultPage, createStatusGrid} from '../matrix/page.ts';
import {parseJson} from '../parse-json.ts';

const pagePath = 'docs/FAULTS.md';

type Report = {testResults: Array<{name: string; assertionResults: Array<{fullName: string; status: string}>}>};

/** Runs the matrix, or only writes the page; returns the exit code. */
export async function matrix({page}: {page: boolean}): Promise<number> {
	if (page) {
		await writeFile(pagePath, createFaultPage(cells));
		return 0;
	}

	const outcomes = await runTests([...new Set(cells.map(({file}) => file))]);
	const problems = cells.flatMap(cell => findProblem(cell, outcomes) ?? []);
	console.log(createStatusGrid(cells));
	for (const status of Object.values(Status)) {
		console.log(`${status}: ${cells.filter(cell => computeStatus(cell) === status).length} tests`);
	}

	console.log(problems.length === 0 ? `all ${cells.length} tests are as the matrix says` : problems.join('\n'));
	return problems.length === 0 ? 0 : 1;
}

/** What speaks against a cell; undefined when nothing does. */
export function findProblem({file, test, knownFailure}: Cell, outcomes: ReadonlyMap<string, string>): string | undefined {
	const outcome = outcomes.get(keyOf(file, test));
	if (outcome === undefined) {
		return `no such test: ${file}: ${test}`;
	}

	return outcome === 'passed' || knownFailure !== undefined ? undefined : `${outcome}: ${file}: ${test}`;
}

function keyOf(file: string, test: string): string {
	return `${file}: ${test}`;
}

/** Status of each test of the files, by file and full name. */
async function runTests(files: string[]): Promise<Map<string, string>> {
	const directory = await mkdtemp(path.join(tmpdir(), 'shallotloom-matrix-'));
	const output = path.join(directory, 'report.json');
	const jest = spawn(process.execPath, [
		'node_modules/jest/bin/jest.js', '--json', `--outputFile=${output}`, '--runTestsByPath', ...files.map(file => `packages/${file}`),
	], {stdio: 'ignore'});
	await new Promise(resolve => {
		jest.once('exit', resolve);
	});
	const report = parseJson<Report>(await readFile(output, 'utf8'));
	await rm(directory, {recursive: true, force: true});
	return new Map(report.testResults.flatMap(({name, assertionResults}) => {
		const file = path.relative(path.resolve('packages'), name);
		return assertionResults.map(({fullName, status}) => [keyOf(file, fullName), status] as [string, string]);
	}));
}
