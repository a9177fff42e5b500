/*
Entry of the operators' client.
*/
import process from 'node:process';
import {runProgram} from './program.ts';

declare const SHALLOTLOOM_VERSION: string;

const ending = new AbortController();
process.once('SIGINT', () => {
	ending.abort();
});

const interactive = process.stdout.isTTY;

// Programs that read only the start, such as head, close the pipe.
process.stdout.on('error', () => {
	process.exitCode ??= 0;
});

process.exitCode = await runProgram(process.argv.slice(2), {
	environment: process.env,
	terminal: {
		interactive,
		colour: interactive && process.env.NO_COLOR === undefined,
		write(text) {
			process.stdout.write(text);
		},
		signal: ending.signal,
	},
	writeError(text) {
		process.stderr.write(text);
	},
	version: SHALLOTLOOM_VERSION,
});
