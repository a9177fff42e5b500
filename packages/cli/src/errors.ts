/*
Errors of the operators' client: a table with the exit code, message and hint of each kind.
*/
import {formatNoteProblem, type NoteProblem} from '@shallotloom/core/release-note.ts';
import type {AuditEntry} from '@shallotloom/core/release.ts';
import {describeProblems, type Problem} from '@shallotloom/settings/problems.ts';
import {truncateList} from './describe.ts';

/** Exit codes of the program. */
export enum ExitCode {
	Ok = 0,
	/** The command was refused or failed. */
	Failed = 1,
	/** Wrong usage, or an unreadable or invalid file. */
	Usage = 2,
}

/** Why a command failed. */
export type CommandError
	= | {kind: 'usage'; message: string}
		| {kind: 'missingOption'; option: string; variable: string}
		| {kind: 'badFile'; file: string; problems: Problem[]}
		| {kind: 'unreadableFile'; file: string; reason: string}
	/** No log line has the ID of the request. */
		| {kind: 'notLogged'; request: string; lines: number; unreadable: number}
	/** No connection was made, so nothing was sent. */
		| {kind: 'unreachable'; url: string; reason: string}
	/** A call that changes nothing was sent, but got no response. */
		| {kind: 'noAnswer'; url: string; reason: string}
	/** A release was sent, but got no response; it may have been accepted. */
		| {kind: 'unknownOutcome'; url: string; reason: string}
		| {kind: 'unauthorized'; url: string}
		| {kind: 'unexpectedReply'; url: string; status: number}
		| {kind: 'refused'; message: string; hint: string}
		| {kind: 'invalidNote'; problems: NoteProblem[]}
		| {kind: 'superseded'; revision: number; audit?: AuditEntry | undefined; changes: string}
		| {kind: 'unknownName'; what: string; name: string; nearest: string | undefined};

/** Value, or the error of a step that failed. */
export type Result<Value>
	= | {kind: 'ok'; value: Value}
		| {kind: 'failed'; error: CommandError};

type ErrorDescription<Kind extends CommandError['kind']> = {
	exitCode: ExitCode;
	message: (error: Extract<CommandError, {kind: Kind}>) => string;
	/** Suggests what the operator can do next. */
	hint: (error: Extract<CommandError, {kind: Kind}>) => string;
};

const seeHelpHint = 'Run the command with --help for its usage and an example.';
const checkListenerHint = 'Check that --router is the URL of the operators\' listener, not of the listener for callers or peers.';
const checkRouterHint = 'Check that the router is running, or choose another one with --router.';

export const commandErrors: {[Kind in CommandError['kind']]: ErrorDescription<Kind>} = {
	usage: {
		exitCode: ExitCode.Usage,
		message: error => error.message,
		hint: () => seeHelpHint,
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
		hint: () => 'Pass log files of routers, or - for standard input.',
	},
	notLogged: {
		exitCode: ExitCode.Failed,
		message: ({request, lines, unreadable}) => `no log line has the request ID ${request}: ${lines} log lines read, ${unreadable} other lines skipped`,
		hint: () => 'Pass the logs of all routers for the time of the request; a "lines left out" entry means that a router omitted log lines.',
	},
	unreachable: {
		exitCode: ExitCode.Failed,
		message: error => `no connection to ${error.url}: ${error.reason}`,
		hint: () => checkRouterHint,
	},
	noAnswer: {
		exitCode: ExitCode.Failed,
		message: error => `no answer from ${error.url}: ${error.reason}`,
		hint: () => checkRouterHint,
	},
	unknownOutcome: {
		exitCode: ExitCode.Failed,
		message: error => `no answer from ${error.url} (${error.reason}); whether the release was accepted is not known`,
		hint: () => 'Check `shallotloom release history` before you send the release again.',
	},
	unauthorized: {
		exitCode: ExitCode.Failed,
		message: error => `${error.url} doesn't accept the operator key`,
		hint: () => 'Give the key with SHALLOTLOOM_KEY or --key; its hash must be listed under operators in the router\'s settings.',
	},
	unexpectedReply: {
		exitCode: ExitCode.Failed,
		message: error => `unexpected response from ${error.url} with status ${error.status}: it isn't the operators' API`,
		hint: () => checkListenerHint,
	},
	refused: {
		exitCode: ExitCode.Failed,
		message: error => error.message,
		hint: error => error.hint === '' ? checkListenerHint : error.hint,
	},
	invalidNote: {
		exitCode: ExitCode.Failed,
		message: error => `the note can't be applied to the configuration in force:\n${truncateList(error.problems.map(problem => formatNoteProblem(problem))).join('\n')}`,
		hint: () => 'Correct the note and check it with `shallotloom release check FILE`.',
	},
	superseded: {
		exitCode: ExitCode.Failed,
		message: ({audit, revision, changes}) => audit === undefined
			? `the revision in force is ${revision}`
			: `another release was accepted in the meantime: revision ${revision} by ${audit.operator} at ${audit.at} (${audit.action}: ${audit.reason})\n${changes}`,
		hint: () => 'Check the note against that revision with `shallotloom release check FILE`, then apply it again.',
	},
	unknownName: {
		exitCode: ExitCode.Failed,
		message: error => `no ${error.what} is named "${error.name}"`,
		hint: error => error.nearest === undefined ? `Run \`shallotloom ${error.what} list\` for the names.` : `Did you mean "${error.nearest}"?`,
	},
};

export function createFailure(error: CommandError): {kind: 'failed'; error: CommandError} {
	return {kind: 'failed', error};
}

/** Returns the message, hint and exit code of an error. */
export function describeError(error: CommandError): {message: string; hint: string; exitCode: ExitCode} {
	// The table is indexed by the error's kind, but TypeScript can't narrow the parameter of the entry's functions to that error.
	const entry = commandErrors[error.kind] as ErrorDescription<CommandError['kind']>;
	return {message: entry.message(error), hint: entry.hint(error), exitCode: entry.exitCode};
}
