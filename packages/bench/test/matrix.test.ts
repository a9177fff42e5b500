import {readFile} from 'node:fs/promises';
import {problemOf} from '../src/cli/matrix.ts';
import {
	Fault, Status, Step, type Cell,
} from '../src/matrix/cell.ts';
import {cells} from '../src/matrix/cells.ts';
import {bestOf, faultPage} from '../src/matrix/page.ts';

const cell: Cell = {
	step: Step.Stop, faults: [Fault.Kill], file: 'core/test/stop.test.ts', test: 'stops', without: 'the wait',
};

test('docs/FAULTS.md is what the cells give', async () => {
	expect(await readFile('docs/FAULTS.md', 'utf8')).toBe(faultPage(cells));
});

test.each([
	{outcomes: [['core/test/stop.test.ts: stops', 'passed']], red: undefined, problem: undefined},
	{outcomes: [['core/test/stop.test.ts: stops', 'failed']], red: undefined, problem: 'failed: core/test/stop.test.ts: stops'},
	{outcomes: [['core/test/stop.test.ts: stops', 'failed']], red: 'issue 9', problem: undefined},
	{outcomes: [], red: 'issue 9', problem: 'no such test: core/test/stop.test.ts: stops'},
])('a cell with red $red whose test gave $outcomes', ({outcomes, red, problem}) => {
	expect(problemOf({...cell, ...(red !== undefined && {red})}, new Map(outcomes as Array<[string, string]>))).toBe(problem);
});

test('a cell whose test was not seen to fail is not proved, and one red test makes a cell red', () => {
	const untried: Cell = {...cell};
	delete untried.without;
	expect(bestOf([untried], Step.Stop, Fault.Kill)).toBe(Status.NotProved);
	expect(bestOf([untried, cell], Step.Stop, Fault.Kill)).toBe(Status.Proved);
	expect(bestOf([cell, {...cell, red: 'issue 9'}], Step.Stop, Fault.Kill)).toBe(Status.Red);
	expect(bestOf([{...cell, faults: [Fault.Kill, Fault.Pause]}], Step.Stop, Fault.Kill)).toBe(Status.NotProved);
});
