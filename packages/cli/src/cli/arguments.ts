/*
Reads the command line against the table of commands before sade sees it, so that wrong usage ends with its own exit
code and names the nearest command or option.
*/
import {findNearestName} from '@shallotloom/settings/problems.ts';
import {failed, type Result} from '../errors.ts';
import {
	nameWords, positionalNames, type Command, type CommandOption,
} from './command.ts';

/** Options that every command has, besides --json and --help. */
export const globalOptions: CommandOption[] = [
	{name: 'router', value: 'URL', describe: 'Operators listener of any router (or SHALLOTLOOM_ROUTER)'},
	{name: 'key', value: 'KEY', describe: 'Operator key (or SHALLOTLOOM_KEY, which other users of the machine don\'t see)'},
];

/** A command line that fits a command. */
export type Invocation = {
	command: Command;
	positionals: string[];
	options: Partial<Record<string, string>>;
	json: boolean;
};

type Words = Omit<Invocation, 'command'>;

const flags = ['json', 'help', 'version'];

/** Finds the command and its arguments. */
export function readArguments(args: readonly string[], commands: readonly Command[]): Result<Invocation> {
	const words = splitWords(args);
	if (words.kind === 'failed') {
		return words;
	}

	const {positionals, options, json} = words.value;
	const command = findCommand(positionals, commands);
	if (command === undefined) {
		return unknownCommand(positionals, commands);
	}

	const rest = positionals.slice(nameWords(command).length);
	const problem = positionalProblem(command, rest) ?? optionProblem(command, options);
	return problem === undefined
		? {
			kind: 'ok', value: {
				command, positionals: rest, options, json,
			},
		}
		: failed({kind: 'usage', message: problem});
}

function splitWords(args: readonly string[]): Result<Words> {
	const words: Words = {positionals: [], options: {}, json: false};
	for (let index = 0; index < args.length; index += 1) {
		const word = args[index]!;
		if (!word.startsWith('--')) {
			words.positionals.push(word);
			continue;
		}

		const [name = '', ...inline] = word.slice(2).split('=');
		if (flags.includes(name)) {
			words.json ||= name === 'json';
			continue;
		}

		const value = inline.length > 0 ? inline.join('=') : args[index += 1];
		if (value === undefined) {
			return failed({kind: 'usage', message: `--${name} needs a value`});
		}

		words.options[name] = value;
	}

	return {kind: 'ok', value: words};
}

function findCommand(positionals: readonly string[], commands: readonly Command[]): Command | undefined {
	return commands.find(command => nameWords(command).every((word, index) => positionals[index] === word));
}

function unknownCommand(positionals: readonly string[], commands: readonly Command[]): Result<never> {
	if (positionals.length === 0) {
		return failed({kind: 'usage', message: 'no command is given'});
	}

	const names = commands.map(command => nameWords(command).join(' '));
	const given = positionals.slice(0, 2).join(' ');
	const nearest = findNearestName(given, names) ?? findNearestName(positionals[0]!, names);
	const inGroup = names.filter(name => name.startsWith(`${positionals[0]} `));
	const group = inGroup.length > 0 ? `; there are: ${inGroup.join(', ')}` : '';
	const suggestion = nearest === undefined ? group : `; did you mean "${nearest}"?`;
	return failed({kind: 'usage', message: `no command is named "${given}"${suggestion}`});
}

function positionalProblem(command: Command, given: readonly string[]): string | undefined {
	const names = positionalNames(command);
	const name = nameWords(command).join(' ');
	if (given.length < names.length) {
		return `"${name}" needs ${names.slice(given.length).map(missing => missing.toUpperCase()).join(' and ')}`;
	}

	const takesMore = names.at(-1)?.endsWith('...') ?? false;
	return given.length > names.length && !takesMore ? `"${name}" doesn't take "${given[names.length]}"` : undefined;
}

function optionProblem(command: Command, options: Partial<Record<string, string>>): string | undefined {
	const known = [...globalOptions, ...command.options ?? []].map(({name}) => name);
	const unknown = Object.keys(options).find(name => !known.includes(name));
	if (unknown === undefined) {
		return undefined;
	}

	const nearest = findNearestName(unknown, [...known, ...flags]);
	return `no option is named --${unknown}${nearest === undefined ? '' : `; did you mean --${nearest}?`}`;
}
