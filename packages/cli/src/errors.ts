/*
Every error of the operators' client: one table of kinds with exit code, message and what to do next.
*/
import {formatNoteProblem, type NoteProblem} from '@shallotloom/core/release-note.ts';
import type {AuditEntry} from '@shallotloom/core/release.ts';
import {describeProblems, type Problem} from '@shallotloom/settings/problems.ts';
import {shortList} from './describe.ts';

/** Exit codes of the program. */
export enum ExitCode {
	Ok = 0,
	/** Refused, or failed on the way. */
	Failed = 1,
	/** Wrong usage, or a file that can't be used. */
	Usage = 2,
}

/** Why a command failed. */
export type CommandError
	= | {kind: 'usage'; message: string}
		| {kind: 'missingOption'; option: string; variable: string}
		| {kind: 'badFile'; file: string; problems: Problem[]}
		| {kind: 'unreadableFile'; file: string; reason: string}
	/** No line of the logs names the request. */
		| {kind: 'notLogged'; request: string; lines: number; unreadable: number}
	/** No connection; nothing was sent. */
		| {kind: 'unreachable'; url: string; reason: string}
	/** Sent, but no answer to a question came. */
		| {kind: 'noAnswer'; url: string; reason: string}
	/** A release was sent, but no answer came: it may have been accepted. */
		| {kind: 'unknownOutcome'; url: string; reason: string}
		| {kind: 'unauthorized'; url: string}
		| {kind: 'unexpectedReply'; url: string; status: number}
		| {kind: 'refused'; message: string; hint: string}
		| {kind: 'invalidNote'; problems: NoteProblem[]}
		| {kind: 'superseded'; revision: number; audit?: AuditEntry | undefined; changes: string}
		| {kind: 'unknownName'; what: string; name: string; nearest: string | undefined};

/** Result of a step that may fail. */
export type Result<Value>
	= | {kind: 'ok'; value: Value}
		| {kind: 'failed'; error: CommandError};

type ErrorEntry<Kind extends CommandError['kind']> = {
	exitCode: ExitCode;
	message: (error: Extract<CommandError, {kind: Kind}>) => string;
	/** What the operator can do next. */
	hint: (error: Extract<CommandError, {kind: Kind}>) => string;
};

const seeHelp = 'Run the command with --help for its usage and an example.';
const wrongListener = 'Check that --router names the operators\' listener, not that of callers or peers.';
const tryAnother = 'Check that the router runs, or name another one with --router.';

export const commandErrors: {[Kind in CommandError['kind']]: ErrorEntry<Kind>} = {
	usage: {
		exitCode: ExitCode.Usage,
		message: error => error.message,
		hint: () => seeHelp,
	},
	missingOption: {
		exitCode: ExitCode.Usage,
		message: error => `--${error.option} is missing`,
		hint: error => `Give --${error.option}, or set ${error.variable}.`,
	},
	badFile: {
		exitCode: ExitCode.Usage,
		message: error => `${error.file} can't be used:\n${describeProblems(error.problems)}`,
		hint: () => 'Correct the file; docs/SETTINGS.md lists the options.',
	},
	unreadableFile: {
		exitCode: ExitCode.Usage,
		message: ({file, reason}) => `${file} can't be read: ${reason}`,
		hint: () => 'Name files with routers\' logs, or - for standard input.',
	},
	notLogged: {
		exitCode: ExitCode.Failed,
		message: ({request, lines, unreadable}) => `no line names the request ${request}; ${lines} lines were read, ${unreadable} were none of the log`,
		hint: () => 'Check that the logs of all routers and the right time are given; "lines left out" in them tells of lines that were not written.',
	},
	unreachable: {
		exitCode: ExitCode.Failed,
		message: error => `no connection to ${error.url}: ${error.reason}`,
		hint: () => tryAnother,
	},
	noAnswer: {
		exitCode: ExitCode.Failed,
		message: error => `no answer from ${error.url}: ${error.reason}`,
		hint: () => tryAnother,
	},
	unknownOutcome: {
		exitCode: ExitCode.Failed,
		message: error => `no answer from ${error.url} (${error.reason}); whether the release was accepted is not known`,
		hint: () => 'Look at `shallotloom release history` before you send it again.',
	},
	unauthorized: {
		exitCode: ExitCode.Failed,
		message: error => `${error.url} doesn't accept the operator key`,
		hint: () => 'Give the key with SHALLOTLOOM_KEY or --key; its hash must stand under operators in the router\'s settings.',
	},
	unexpectedReply: {
		exitCode: ExitCode.Failed,
		message: error => `${error.url} answered with status ${error.status} in a form that isn't the operators' API`,
		hint: () => wrongListener,
	},
	refused: {
		exitCode: ExitCode.Failed,
		message: error => error.message,
		hint: error => error.hint === '' ? wrongListener : error.hint,
	},
	invalidNote: {
		exitCode: ExitCode.Failed,
		message: error => `the note doesn't fit the configuration in force:\n${shortList(error.problems.map(problem => formatNoteProblem(problem))).join('\n')}`,
		hint: () => 'Correct the note and try it with `shallotloom release check FILE`.',
	},
	superseded: {
		exitCode: ExitCode.Failed,
		message: ({audit, revision, changes}) => audit === undefined
			? `the revision in force is ${revision}`
			: `another release came in between: revision ${revision} by ${audit.operator} at ${audit.at} (${audit.action}: ${audit.reason})\n${changes}`,
		hint: () => 'Try the note against it with `shallotloom release check FILE`, then apply it again.',
	},
	unknownName: {
		exitCode: ExitCode.Failed,
		message: error => `no ${error.what} is named "${error.name}"`,
		hint: error => error.nearest === undefined ? `Run \`shallotloom ${error.what} list\` for the names.` : `Did you mean "${error.nearest}"?`,
	},
};

/** Shorthand for a failed result. */
export function failed(error: CommandError): {kind: 'failed'; error: CommandError} {
	return {kind: 'failed', error};
}

/** Message, hint and exit code of one error. */
export function explain(error: CommandError): {message: string; hint: string; exitCode: ExitCode} {
	// The table is indexed by the error's own kind, which TypeScript can't relate to the parameter.
	const entry = commandErrors[error.kind] as ErrorEntry<CommandError['kind']>;
	return {message: entry.message(error), hint: entry.hint(error), exitCode: entry.exitCode};
}
