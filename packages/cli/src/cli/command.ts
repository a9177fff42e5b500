/*
Definition of a command: usage, help with an example, options, and a function that returns a report. The program prints
the report as text, or as JSON with --json.
*/
import type {Client} from '../client.ts';
import type {Result} from '../errors.ts';

/** Output of a command as text for people and as JSON for programs. */
export type Report = {
	text: string;
	json: unknown;
};

/** Standard output of a command, and the signal that ends it. */
export type Terminal = {
	/** Whether standard output is a terminal. */
	isInteractive: boolean;
	hasColour: boolean;
	/** Aborted when the operator interrupts the program. */
	signal: AbortSignal;
	write(text: string): void;
};

export type CommandInput = {
	positionals: string[];
	/** Options from the command line; '' when the value is empty. */
	options: Partial<Record<string, string>>;
	json: boolean;
	client: Client;
	terminal: Terminal;
};

export type CommandOption = {
	name: string;
	/** Placeholder of the value in help texts. */
	placeholder: string;
	describe: string;
};

export type Command = {
	/** Name and positionals, such as `release check <file>`; the last one may be repeatable, as `<file...>`. */
	usage: string;
	describe: string;
	/** Example command line without the program's name. */
	example: string;
	options?: CommandOption[];
	/** Whether the command runs without a router. */
	isLocal?: boolean;
	run(input: CommandInput): Promise<Result<Report>>;
};

/** Returns the words of a command's name, such as `['release', 'check']`. */
export function getNameWords({usage}: Command): string[] {
	return usage.split(' ').filter(word => !word.startsWith('<'));
}

/** Returns the names of a command's positionals, such as `['file']`. */
export function getPositionalNames({usage}: Command): string[] {
	return usage.split(' ').filter(word => word.startsWith('<')).map(word => word.slice(1, -1));
}

/** Creates a successful result. */
export function createReport(text: string, json: unknown): Result<Report> {
	return {kind: 'ok', value: {text, json}};
}

/** Converts the value of a successful result to a report; a failure is returned unchanged. */
export function mapToReport<Value>(result: Result<Value>, text: (value: Value) => string): Result<Report> {
	return result.kind === 'ok' ? createReport(text(result.value), result.value) : result;
}
