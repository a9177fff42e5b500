/*
Entry point of the operators' client.
*/
import process from 'node:process';
import {runProgram} from './program.ts';

declare const SHALLOTLOOM_VERSION: string;

const abortController = new AbortController();
process.once('SIGINT', () => {
	abortController.abort();
});

const isInteractive = process.stdout.isTTY;

// A reader such as head may close the pipe early; that isn't an error.
process.stdout.on('error', () => {
	process.exitCode ??= 0;
});

process.exitCode = await runProgram(process.argv.slice(2), {
	environment: process.env,
	terminal: {
		isInteractive,
		hasColour: isInteractive && process.env.NO_COLOR === undefined,
		write(text) {
			process.stdout.write(text);
		},
		signal: abortController.signal,
	},
	writeError(text) {
		process.stderr.write(text);
	},
	version: SHALLOTLOOM_VERSION,
});
