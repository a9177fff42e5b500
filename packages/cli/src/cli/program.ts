/*
Runs a command line: parses it, runs the command and prints its report or error. Help texts are printed by sade.
*/
import sade from 'sade';
import {createClient} from '../client.ts';
import {
	ExitCode, describeError, createFailure, type CommandError, type Result,
} from '../errors.ts';
import {
	globalOptions, parseArguments, type Invocation,
} from './arguments.ts';
import {
	getPositionalNames, getNameWords, type Command, type Report, type Terminal,
} from './command.ts';
import {commands} from './commands.ts';

/** Process state that the program depends on; tests pass their own. */
export type ProgramContext = {
	environment: Partial<Record<string, string>>;
	terminal: Terminal;
	version: string;
	writeError(text: string): void;
};

/** Runs a command line (without the names of node and script) and returns the exit code. */
export async function runProgram(args: readonly string[], context: ProgramContext): Promise<ExitCode> {
	if (args.some(word => ['--help', '-h', '--version', '-v'].includes(word))) {
		printHelp(args, context.version);
		return ExitCode.Ok;
	}

	const parsed = parseArguments(args, commands);
	const json = parsed.kind === 'ok' ? parsed.value.json : args.includes('--json');
	const result = parsed.kind === 'ok' ? await runCommand(parsed.value, context) : parsed;
	return result.kind === 'ok' ? printReport(result.value, json, context) : printError(result.error, json, context);
}

/** Prints the version, the help of the given command, or else the help of the program. */
function printHelp(args: readonly string[], version: string) {
	const command = commands.find(candidate => getNameWords(candidate).every((word, index) => args[index] === word));
	const flag = args.some(word => ['--version', '-v'].includes(word)) ? '--version' : '--help';
	createSadeProgram(version).parse(['node', 'shallotloom', ...command === undefined ? [] : getNameWords(command), flag], {lazy: true});
}

/** Registers the commands with sade, which prints the help. */
function createSadeProgram(version: string) {
	const program = sade('shallotloom').version(version);
	for (const {name, placeholder, describe} of globalOptions) {
		program.option(`--${name}`, `${describe}: ${placeholder}`);
	}

	program.option('--json', 'Print JSON for programs');
	for (const command of commands) {
		program.command([...getNameWords(command), ...getPositionalNames(command).map(name => `<${name}>`)].join(' '))
			.describe(command.describe)
			.example(command.example);
		for (const {name, placeholder, describe} of command.options ?? []) {
			program.option(`--${name}`, `${describe}: ${placeholder}`);
		}
	}

	return program;
}

async function runCommand({command, positionals, options, json}: Invocation, {environment, terminal}: ProgramContext): Promise<Result<Report>> {
	const {router = environment.SHALLOTLOOM_ROUTER ?? '', key = environment.SHALLOTLOOM_KEY ?? ''} = options;
	if (!command.isLocal && router === '') {
		return createFailure({kind: 'missingOption', option: 'router', variable: 'SHALLOTLOOM_ROUTER'});
	}

	if (!command.isLocal && key === '') {
		return createFailure({kind: 'missingOption', option: 'key', variable: 'SHALLOTLOOM_KEY'});
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

function printReport({text, json}: Report, asJson: boolean, {terminal}: ProgramContext): ExitCode {
	const output = asJson ? JSON.stringify(json) : text;
	if (output !== '') {
		terminal.write(`${output}\n`);
	}

	return ExitCode.Ok;
}

function printError(error: CommandError, asJson: boolean, {writeError}: ProgramContext): ExitCode {
	const {message, hint, exitCode} = describeError(error);
	writeError(asJson ? `${JSON.stringify({error: {...error, message, hint}})}\n` : `error: ${message}\n${hint}\n`);
	return exitCode;
}
