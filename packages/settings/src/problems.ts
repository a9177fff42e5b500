/*
Problems of a settings file, each with its path, the value found and what was expected. Values of keys and hashes are
never shown, so that a message may be logged.
*/
import {closest, distance} from 'fastest-levenshtein';
import type {z} from 'zod';
import {optionsOf, schemaAt} from './schema-tree.ts';

/** One thing that is wrong with a file. */
export type Problem = {
	/** For example `listen.callers` or `operators[0].keyHash`; '' for the file as a whole. */
	path: string;
	/** Undefined when the option is missing or its value is secret. */
	value: unknown;
	/** What was expected, in words. */
	expected: string;
	/** Nearest known key, for an unknown key that looks like a slip. */
	nearest?: string;
};

type Issue = z.core.$ZodIssue;

/** Edits up to which a known name is offered for an unknown one; half of its length for a short one. */
const nearestNameEdits = 3;

const secretName = /key|token|secret|password/iv;

const hidden = 'hidden';

/** Turns the issues that zod found in `input` into problems. */
export function problemsOf(schema: z.ZodType, input: unknown, issues: readonly Issue[]): Problem[] {
	return issues.flatMap(issue => issue.code === 'unrecognized_keys'
		? issue.keys.map(key => unknownKey(schema, issue.path, key))
		: [{path: pathText(issue.path), value: valueAt(input, issue.path), expected: expectation(issue)}]);
}

/** Describes problems for people, one line each. */
export function describeProblems(problems: readonly Problem[]): string {
	return problems.map(problem => describeProblem(problem)).join('\n');
}

function describeProblem({path, value, expected, nearest}: Problem): string {
	const subject = path === '' ? 'the file' : path;
	const found = value === undefined ? 'is missing or empty' : `is ${JSON.stringify(value)}`;
	const suggestion = nearest === undefined ? '' : `; did you mean "${nearest}"?`;
	return expected === unknownKeyExpectation
		? `${subject}: unknown key${suggestion}`
		: `${subject} ${found}, expected ${expected}${suggestion}`;
}

/** Expectation of a problem with a key that the schema doesn't know. */
export const unknownKeyExpectation = 'a known key';

function unknownKey(schema: z.ZodType, path: readonly PropertyKey[], key: string): Problem {
	const parent = schemaAt(schema, path);
	const known = parent === undefined ? [] : Object.keys(optionsOf(parent));
	const nearest = nearestName(key, known);
	return {
		path: pathText([...path, key]), value: undefined, expected: unknownKeyExpectation, ...(nearest !== undefined && {nearest}),
	};
}

/** The known name that is meant by an unknown one; undefined when none is near. */
export function nearestName(name: string, known: readonly string[]): string | undefined {
	const candidate = known.length === 0 ? undefined : closest(name, known);
	const edits = Math.min(nearestNameEdits, Math.floor(name.length / 2));
	return candidate !== undefined && distance(name, candidate) <= edits ? candidate : undefined;
}

const limitWords = {
	too_small: (issue: Extract<Issue, {code: 'too_small'}>) =>
		`${issue.inclusive ? 'at least' : 'more than'} ${issue.minimum}${unitOf(issue.origin)}`,
	too_big: (issue: Extract<Issue, {code: 'too_big'}>) =>
		`${issue.inclusive ? 'at most' : 'less than'} ${issue.maximum}${unitOf(issue.origin)}`,
	invalid_value: (issue: Extract<Issue, {code: 'invalid_value'}>) =>
		`one of ${issue.values.map(value => JSON.stringify(value)).join(', ')}`,
	invalid_type: (issue: Extract<Issue, {code: 'invalid_type'}>) => typeWords[issue.expected] ?? issue.expected,
};

const typeWords: Partial<Record<string, string>> = {
	int: 'a whole number',
	number: 'a number',
	string: 'a string',
	boolean: 'true or false',
	array: 'a list',
	object: 'a mapping',
};

/** What an issue expected; schemas give texts of their own for formats and cross checks. */
function expectation(issue: Issue): string {
	const words = (limitWords as Partial<Record<string, (issue: never) => string>>)[issue.code];
	// The table is indexed by the issue's own code, which TypeScript can't relate to the parameter.

	return words === undefined ? issue.message : words(issue as never);
}

function unitOf(origin: string): string {
	return origin === 'array' ? ' entries' : (origin === 'string' ? ' characters' : '');
}

function pathText(path: readonly PropertyKey[]): string {
	return path.map((part, index) => typeof part === 'number' ? `[${part}]` : `${index === 0 ? '' : '.'}${String(part)}`).join('');
}

function valueAt(input: unknown, path: readonly PropertyKey[]): unknown {
	let value = input;
	for (const part of path) {
		value = typeof value === 'object' && value !== null ? Reflect.get(value, part) : undefined;
	}

	const secret = path.some(part => typeof part === 'string' && secretName.test(part));
	return secret && value !== undefined ? hidden : value;
}
