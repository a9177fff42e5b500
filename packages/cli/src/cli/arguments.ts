/*
Parses the command line against the table of commands before sade does, so that wrong usage has an exit code of its own
and a message with the most similar command or option.
*/
import {findNearestName} from '@shallotloom/settings/problems.ts';
import {createFailure, type Result} from '../errors.ts';
import {
	getNameWords, getPositionalNames, type Command, type CommandOption,
} from './command.ts';

/** Options of every command, besides --json and --help. */
export const globalOptions: CommandOption[] = [
	{name: 'router', placeholder: 'URL', describe: 'Operators\' listener of any router (or SHALLOTLOOM_ROUTER)'},
	{name: 'key', placeholder: 'KEY', describe: 'Operator key (or SHALLOTLOOM_KEY, which other users of the machine can\'t see)'},
];

/** Command line parsed for one command. */
export type Invocation = {
	command: Command;
	positionals: string[];
	options: Partial<Record<string, string>>;
	json: boolean;
};

type SplitArguments = Omit<Invocation, 'command'>;

const flags = ['json', 'help', 'version'];

/** Finds the command of a command line, and checks its arguments. */
export function parseArguments(args: readonly string[], commands: readonly Command[]): Result<Invocation> {
	const split = splitArguments(args);
	if (split.kind === 'failed') {
		return split;
	}

	const {positionals, options, json} = split.value;
	const command = findCommand(positionals, commands);
	if (command === undefined) {
		return createUnknownCommandFailure(positionals, commands);
	}

	const rest = positionals.slice(getNameWords(command).length);
	const problem = findPositionalProblem(command, rest) ?? findOptionProblem(command, options);
	return problem === undefined
		? {
			kind: 'ok', value: {
				command, positionals: rest, options, json,
			},
		}
		: createFailure({kind: 'usage', message: problem});
}

function splitArguments(args: readonly string[]): Result<SplitArguments> {
	const split: SplitArguments = {positionals: [], options: {}, json: false};
	for (let index = 0; index < args.length; index += 1) {
		const word = args[index]!;
		if (!word.startsWith('--')) {
			split.positionals.push(word);
			continue;
		}

		const [name = '', ...inline] = word.slice(2).split('=');
		if (flags.includes(name)) {
			split.json ||= name === 'json';
			continue;
		}

		const value = inline.length > 0 ? inline.join('=') : args[index += 1];
		if (value === undefined) {
			return createFailure({kind: 'usage', message: `--${name} needs a value`});
		}

		split.options[name] = value;
	}

	return {kind: 'ok', value: split};
}

function findCommand(positionals: readonly string[], commands: readonly Command[]): Command | undefined {
	return commands.find(command => getNameWords(command).every((word, index) => positionals[index] === word));
}

function createUnknownCommandFailure(positionals: readonly string[], commands: readonly Command[]): Result<never> {
	if (positionals.length === 0) {
		return createFailure({kind: 'usage', message: 'no command is given'});
	}

	const names = commands.map(command => getNameWords(command).join(' '));
	const given = positionals.slice(0, 2).join(' ');
	const nearest = findNearestName(given, names) ?? findNearestName(positionals[0]!, names);
	const namesInGroup = names.filter(name => name.startsWith(`${positionals[0]} `));
	const group = namesInGroup.length > 0 ? `; there are: ${namesInGroup.join(', ')}` : '';
	const suggestion = nearest === undefined ? group : `; did you mean "${nearest}"?`;
	return createFailure({kind: 'usage', message: `no command is named "${given}"${suggestion}`});
}

function findPositionalProblem(command: Command, given: readonly string[]): string | undefined {
	const names = getPositionalNames(command);
	const name = getNameWords(command).join(' ');
	if (given.length < names.length) {
		return `"${name}" needs ${names.slice(given.length).map(missing => missing.toUpperCase()).join(' and ')}`;
	}

	const isVariadic = names.at(-1)?.endsWith('...') ?? false;
	return given.length > names.length && !isVariadic ? `"${name}" doesn't take "${given[names.length]}"` : undefined;
}

function findOptionProblem(command: Command, options: Partial<Record<string, string>>): string | undefined {
	const known = [...globalOptions, ...command.options ?? []].map(({name}) => name);
	const unknown = Object.keys(options).find(name => !known.includes(name));
	if (unknown === undefined) {
		return undefined;
	}

	const nearest = findNearestName(unknown, [...known, ...flags]);
	return `no option is named --${unknown}${nearest === undefined ? '' : `; did you mean --${nearest}?`}`;
}
