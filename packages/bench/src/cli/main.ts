#!/usr/bin/env node
/*
Command line of the bench: `demo`, `run`, `explore` and `matrix`.
*/
import process from 'node:process';
import sade from 'sade';
import {killChildren} from '../deployment/child.ts';
import {demo} from './demo.ts';
import {runExploration} from './explore.ts';
import {matrix} from './matrix.ts';
import {run} from './run.ts';

process.once('exit', killChildren);

const program = sade('shallotloom-bench');

program
	.command('demo')
	.describe('Starts a small deployment, sends it three requests and prints the answers.')
	.option('--keep', 'Keep the deployment running until Ctrl-C')
	.example('demo --keep')
	.action(async (options: {keep?: boolean}) => finish(demo({keep: options.keep ?? false})));

program
	.command('run [scenario]')
	.describe('Runs one scenario and prints its figures as one JSON line.')
	.option('--list', 'Name the scenarios')
	.option('--seed', 'Seed of the load', 1)
	.option('--seconds', 'Length of the load; 0 for the scenario\'s own', 0)
	.option('--json', 'Print the JSON line alone')
	.example('run fairness --seed 7 --json')
	.action(async (scenario: string | undefined, options: {list?: boolean; seed: number; seconds: number; json?: boolean}) => finish(run({
		scenario,
		list: options.list ?? false,
		seed: Number(options.seed),
		seconds: Number(options.seconds),
		json: options.json ?? false,
	})));

program
	.command('explore')
	.describe('Explores fleets of gateway cores at random; prints the shortest sequence that breaks a rule.')
	.option('--seed', 'Seed of the first sequences', 1)
	.option('--minutes', 'Time to explore', 1)
	.option('--instances', 'Instances of a fleet', 3)
	.option('--rollouts', 'Replace targets by ones of other software versions, and resume streams', false)
	.example('explore --minutes 5 --seed 7')
	.action(async (options: {seed: number; minutes: number; instances: number; rollouts?: boolean}) => finish(Promise.resolve(runExploration({
		seed: Number(options.seed),
		minutes: Number(options.minutes),
		instances: Number(options.instances),
		hasRollouts: options.rollouts === true,
	}))));

program
	.command('matrix')
	.describe('Runs the tests of the fault matrix and prints it.')
	.option('--page', 'Only write docs/FAULTS.md')
	.action(async (options: {page?: boolean}) => finish(matrix({page: options.page ?? false})));

program.parse(process.argv);

/** Sets the exit code from the command's result, and ends the process so that idle connections don't hold it. */
async function finish(command: Promise<number>): Promise<void> {
	try {
		process.exitCode = await command;
	} catch (error) {
		console.error(error instanceof Error ? error.message : String(error));
		process.exitCode = 1;
	}

	process.exit();
}
