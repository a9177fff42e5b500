/*
Problems of a settings file, each with its path, the value found and the value expected. Values of keys and hashes are
redacted, so that messages are safe to log.
*/
import {closest, distance} from 'fastest-levenshtein';
import type {z} from 'zod';
import {getOptions, findSchema} from './schema-tree.ts';

/** One fault in a settings file. */
export type Problem = {
	/** Path of the option, such as `listen.callers` or `operators[0].keyHash`; '' for the whole file. */
	path: string;
	/** Undefined when the option is missing or unknown; 'hidden' when the value is secret. */
	value: unknown;
	/** Description of a valid value, as text for people. */
	expected: string;
	/** Most similar known key, when an unknown key looks like a typing error. */
	nearest?: string;
};

type Issue = z.core.$ZodIssue;

/** Largest edit distance at which a known name is suggested for an unknown one; half the length for short names. */
const maxNearestNameEdits = 3;

const secretNamePattern = /key|token|secret|password/iv;

const redactedValue = 'hidden';

/** Converts the issues that zod found in `input` to problems. */
export function convertIssues(schema: z.ZodType, input: unknown, issues: readonly Issue[]): Problem[] {
	return issues.flatMap(issue => issue.code === 'unrecognized_keys'
		? issue.keys.map(key => createUnknownKeyProblem(schema, issue.path, key))
		: [{path: formatPath(issue.path), value: getPrintableValue(input, issue.path), expected: describeExpectation(issue)}]);
}

/** Formats problems for people, one line each. */
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

/** Value of `expected` in problems with a key that is not in the schema. */
export const unknownKeyExpectation = 'a known key';

function createUnknownKeyProblem(schema: z.ZodType, path: readonly PropertyKey[], key: string): Problem {
	const parent = findSchema(schema, path);
	const knownKeys = parent === undefined ? [] : Object.keys(getOptions(parent));
	const nearest = findNearestName(key, knownKeys);
	return {
		path: formatPath([...path, key]), value: undefined, expected: unknownKeyExpectation, ...(nearest !== undefined && {nearest}),
	};
}

/** Finds the known name most similar to an unknown one; undefined when none is similar enough. */
export function findNearestName(name: string, knownNames: readonly string[]): string | undefined {
	const candidate = knownNames.length === 0 ? undefined : closest(name, knownNames);
	const edits = Math.min(maxNearestNameEdits, Math.floor(name.length / 2));
	return candidate !== undefined && distance(name, candidate) <= edits ? candidate : undefined;
}

const issueFormatters = {
	too_small: (issue: Extract<Issue, {code: 'too_small'}>) =>
		`${issue.inclusive ? 'at least' : 'more than'} ${issue.minimum}${getLimitUnit(issue.origin)}`,
	too_big: (issue: Extract<Issue, {code: 'too_big'}>) =>
		`${issue.inclusive ? 'at most' : 'less than'} ${issue.maximum}${getLimitUnit(issue.origin)}`,
	invalid_value: (issue: Extract<Issue, {code: 'invalid_value'}>) =>
		`one of ${issue.values.map(value => JSON.stringify(value)).join(', ')}`,
	invalid_type: (issue: Extract<Issue, {code: 'invalid_type'}>) => typeNames[issue.expected] ?? issue.expected,
};

const typeNames: Partial<Record<string, string>> = {
	int: 'a whole number',
	number: 'a number',
	string: 'a string',
	boolean: 'true or false',
	array: 'a list',
	object: 'a mapping',
};

/** Describes the value that an issue expected. Issues of formats and cross-field checks carry this text as their message. */
function describeExpectation(issue: Issue): string {
	const formatIssue = (issueFormatters as Partial<Record<string, (issue: never) => string>>)[issue.code];
	// The table is indexed by the issue's code, but TypeScript can't narrow the formatter's parameter to that issue.

	return formatIssue === undefined ? issue.message : formatIssue(issue as never);
}

function getLimitUnit(origin: string): string {
	return origin === 'array' ? ' entries' : (origin === 'string' ? ' characters' : '');
}

function formatPath(path: readonly PropertyKey[]): string {
	return path.map((segment, index) => typeof segment === 'number' ? `[${segment}]` : `${index === 0 ? '' : '.'}${String(segment)}`).join('');
}

function getPrintableValue(input: unknown, path: readonly PropertyKey[]): unknown {
	let value = input;
	for (const segment of path) {
		value = typeof value === 'object' && value !== null ? Reflect.get(value, segment) : undefined;
	}

	const isSecret = path.some(segment => typeof segment === 'string' && secretNamePattern.test(segment));
	return isSecret && value !== undefined ? redactedValue : value;
}
