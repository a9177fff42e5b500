/*
Runs one scenario and prints its figures as one JSON object on the last line.
*/
import {scenarios} from '../scenarios/scenarios.ts';
import {drainUnexpectedExits} from '../deployment/child.ts';
import {stopDeployments} from '../deployment/deployment.ts';
import {interruptedCode, onInterrupt} from './interrupt.ts';

export type RunOptions = {
	scenario: string | undefined;
	list: boolean;
	seed: number;
	/** 0 for the scenario's own length. */
	seconds: number;
	/** Print no progress. */
	json: boolean;
};

/** Runs the scenario and returns the exit code: 0 when it ran to its end, whether or not its bounds are met. */
export async function run({scenario: name, list, seed, seconds, json}: RunOptions): Promise<number> {
	if (list || name === undefined) {
		printList();
		return list ? 0 : 2;
	}

	const scenario = scenarios[name];
	if (!scenario) {
		console.error(`no scenario is named "${name}"; there are: ${Object.keys(scenarios).join(', ')}`);
		return 2;
	}

	const interrupt = onInterrupt();
	const length = seconds > 0 ? seconds : scenario.seconds;
	const progress = (text: string) => {
		if (!json) {
			console.log(text);
		}
	};

	const result = await Promise.race([
		scenario.run({seed, seconds: length, progress}),
		interrupt.received,
	]);
	if (!result) {
		await stopDeployments();
		return interruptedCode;
	}

	const crashes = drainUnexpectedExits();
	for (const {name: program, code, output} of crashes) {
		console.error(`${program} ended unasked with ${code}:\n  ${output.join('\n  ')}`);
	}

	console.log(JSON.stringify({
		scenario: name, seed, seconds: length, ...result, crashes: crashes.map(({name: program}) => program),
	}));
	return 0;
}

function printList() {
	for (const [name, scenario] of Object.entries(scenarios)) {
		console.log(`${name.padEnd(16)}${scenario?.summary}`);
	}
}
