import {readFile} from 'node:fs/promises';
import {findProblem} from '../src/cli/matrix.ts';
import {
	Fault, Status, Step, type Cell,
} from '../src/matrix/cell.ts';
import {cells} from '../src/matrix/cells.ts';
import {computeBestStatus, createFaultPage} from '../src/matrix/page.ts';

const cell: Cell = {
	step: Step.Stop, faults: [Fault.Kill], file: 'core/test/stop.test.ts', test: 'stops', failsWithout: 'the wait',
};

test('docs/FAULTS.md is up to date with the cells', async () => {
	expect(await readFile('docs/FAULTS.md', 'utf8')).toBe(createFaultPage(cells));
});

test.each([
	{outcomes: [['core/test/stop.test.ts: stops', 'passed']], knownFailure: undefined, problem: undefined},
	{outcomes: [['core/test/stop.test.ts: stops', 'failed']], knownFailure: undefined, problem: 'failed: core/test/stop.test.ts: stops'},
	{outcomes: [['core/test/stop.test.ts: stops', 'failed']], knownFailure: 'issue 9', problem: undefined},
	{outcomes: [], knownFailure: 'issue 9', problem: 'no such test: core/test/stop.test.ts: stops'},
])('the problem of a cell with the known failure $knownFailure and the test results $outcomes', ({outcomes, knownFailure, problem}) => {
	expect(findProblem({...cell, ...(knownFailure !== undefined && {knownFailure})}, new Map(outcomes as Array<[string, string]>))).toBe(problem);
});

test('a cell without a check that its test can fail is not proved, and one red test makes a status red', () => {
	const untried: Cell = {...cell};
	delete untried.failsWithout;
	expect(computeBestStatus([untried], Step.Stop, Fault.Kill)).toBe(Status.NotProved);
	expect(computeBestStatus([untried, cell], Step.Stop, Fault.Kill)).toBe(Status.Proved);
	expect(computeBestStatus([cell, {...cell, knownFailure: 'issue 9'}], Step.Stop, Fault.Kill)).toBe(Status.Red);
	expect(computeBestStatus([{...cell, faults: [Fault.Kill, Fault.Pause]}], Step.Stop, Fault.Kill)).toBe(Status.NotProved);
});
