/*
What every command has: usage, help with an example, options, and a function that gives a report. The program prints the
report as text, or as JSON under --json.
*/
import type {Client} from '../client.ts';
import type {Result} from '../errors.ts';

/** Result of a command, for people and for programs. */
export type Report = {
	text: string;
	json: unknown;
};

/** Where a command runs. */
export type Terminal = {
	/** Whether standard output is a terminal. */
	interactive: boolean;
	colour: boolean;
	/** Aborted when the operator asks the program to end. */
	signal: AbortSignal;
	write(text: string): void;
};

export type CommandInput = {
	positionals: string[];
	/** Options that were given; '' when the value is empty. */
	options: Partial<Record<string, string>>;
	json: boolean;
	client: Client;
	terminal: Terminal;
};

export type CommandOption = {
	name: string;
	/** Placeholder of the value. */
	value: string;
	describe: string;
};

export type Command = {
	/** Name and positionals, for example `release check <file>`; the last may be several, as `<file...>`. */
	usage: string;
	describe: string;
	/** Example without the program's name. */
	example: string;
	options?: CommandOption[];
	/** Whether it asks no router. */
	isLocal?: boolean;
	run(input: CommandInput): Promise<Result<Report>>;
};

/** Words of a command's name, for example `['release', 'check']`. */
export function nameWords({usage}: Command): string[] {
	return usage.split(' ').filter(word => !word.startsWith('<'));
}

/** Names of the positionals that a command needs, for example `['file']`. */
export function positionalNames({usage}: Command): string[] {
	return usage.split(' ').filter(word => word.startsWith('<')).map(word => word.slice(1, -1));
}

/** A successful result. */
export function report(text: string, json: unknown): Result<Report> {
	return {kind: 'ok', value: {text, json}};
}

/** Turns the value of a successful result into a report. */
export function reportOf<Value>(result: Result<Value>, text: (value: Value) => string): Result<Report> {
	return result.kind === 'ok' ? report(text(result.value), result.value) : result;
}
