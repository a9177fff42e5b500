/*
The program: checks the command line, lets sade find the command or print its help, runs it, and prints its report or
what went wrong.
*/
import sade from 'sade';
import {createClient} from '../client.ts';
import {
	ExitCode, explain, failed, type CommandError, type Result,
} from '../errors.ts';
import {
	globalOptions, readArguments, type Invocation,
} from './arguments.ts';
import {
	positionalNames, nameWords, type Command, type Report, type Terminal,
} from './command.ts';
import {commands} from './commands.ts';

/** What the program gets from its process. */
export type Surroundings = {
	environment: Partial<Record<string, string>>;
	terminal: Terminal;
	version: string;
	writeError(text: string): void;
};

/** Runs one command line, without the names of node and script, and gives the exit code. */
export async function runProgram(args: readonly string[], surroundings: Surroundings): Promise<ExitCode> {
	if (args.some(word => ['--help', '-h', '--version', '-v'].includes(word))) {
		printHelp(args, surroundings.version);
		return ExitCode.Ok;
	}

	const reading = readArguments(args, commands);
	const json = reading.kind === 'ok' ? reading.value.json : args.includes('--json');
	const result = reading.kind === 'ok' ? await runCommand(reading.value, surroundings) : reading;
	return result.kind === 'ok' ? printReport(result.value, json, surroundings) : printError(result.error, json, surroundings);
}

/** Prints the version, or the help of the command that is named, or that of the program. */
function printHelp(args: readonly string[], version: string) {
	const command = commands.find(candidate => nameWords(candidate).every((word, index) => args[index] === word));
	const flag = args.some(word => ['--version', '-v'].includes(word)) ? '--version' : '--help';
	describeProgram(version).parse(['node', 'shallotloom', ...command === undefined ? [] : nameWords(command), flag], {lazy: true});
}

/** Table of commands in sade's form, which prints the help. */
function describeProgram(version: string) {
	const program = sade('shallotloom').version(version);
	for (const {name, value, describe} of globalOptions) {
		program.option(`--${name}`, `${describe}: ${value}`);
	}

	program.option('--json', 'Print JSON for programs');
	for (const command of commands) {
		program.command([...nameWords(command), ...positionalNames(command).map(name => `<${name}>`)].join(' '))
			.describe(command.describe)
			.example(command.example);
		for (const {name, value, describe} of command.options ?? []) {
			program.option(`--${name}`, `${describe}: ${value}`);
		}
	}

	return program;
}

async function runCommand({command, positionals, options, json}: Invocation, {environment, terminal}: Surroundings): Promise<Result<Report>> {
	const {router = environment.SHALLOTLOOM_ROUTER ?? '', key = environment.SHALLOTLOOM_KEY ?? ''} = options;
	if (!command.isLocal && router === '') {
		return failed({kind: 'missingOption', option: 'router', variable: 'SHALLOTLOOM_ROUTER'});
	}

	if (!command.isLocal && key === '') {
		return failed({kind: 'missingOption', option: 'key', variable: 'SHALLOTLOOM_KEY'});
	}

	const client = createClient({router, key});
	try {
		return await command.run({
			positionals, options, json, client, terminal,
		});
	} finally {
		await client.close();
	}
}

function printReport({text, json}: Report, asJson: boolean, {terminal}: Surroundings): ExitCode {
	const output = asJson ? JSON.stringify(json) : text;
	if (output !== '') {
		terminal.write(`${output}\n`);
	}

	return ExitCode.Ok;
}

function printError(error: CommandError, asJson: boolean, {writeError}: Surroundings): ExitCode {
	const {message, hint, exitCode} = explain(error);
	writeError(asJson ? `${JSON.stringify({error: {...error, message, hint}})}\n` : `error: ${message}\n${hint}\n`);
	return exitCode;
}
