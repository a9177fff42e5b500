/*
Starts a program of the project as a child process, waits for its `listening` line and stops it. All running children are
tracked in one set, so that none is left behind after an error or a signal.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** Number of last output lines that are stored for error messages. */
const maxOutputLines = 40;

export type Child = {
	name: string;
	program: string;
	pid: number;
	/** Text after `listening` in the ready line: the URL of a stand-in, the addresses of a router. */
	listenAddress: string;
	/** Resolves to the exit code; null when a signal ended the process or it couldn't be started. */
	exited: Promise<number | null>;
	/** Returns the last lines of standard output and standard error. */
	getOutput: () => string[];
	signal: (signal: NodeJS.Signals) => void;
};

export type ChildOptions = {
	name: string;
	/** Name of the bundle without its extension, for example `shallotloom-router`. */
	program: string;
	args: string[];
	/** Directory of the bundles; by default that of the running program. */
	directory?: string;
	readyTimeoutMs?: number;
};

/** Defaults of `startChild`: the bundles are in the directory of the running program. */
export const defaultChildOptions = {
	directory: path.dirname(process.argv[1] ?? '.'),
	readyTimeoutMs: 15_000,
};

const runningChildren = new Set<Child>();

/** A process that exited without having been sent a signal by this module. */
export type UnexpectedExit = {name: string; code: number | null; output: string[]};

const unexpectedExits: UnexpectedExit[] = [];

/** Returns the unexpected exits since the last call and clears the list. */
export function drainUnexpectedExits(): UnexpectedExit[] {
	return unexpectedExits.splice(0);
}

/**
Starts the program and resolves once it listens. Rejects with its last output when it exits or doesn't listen in time.
*/
export async function startChild(options: ChildOptions): Promise<Child> {
	const {name, program, args, directory, readyTimeoutMs} = {...defaultChildOptions, ...options};
	const file = path.join(directory, `${program}.js`);
	const childProcess = spawn(process.execPath, [file, ...args], {stdio: ['ignore', 'pipe', 'pipe']});
	const lines: string[] = [];
	const exited = waitForExit(childProcess);
	const ready = waitForReadyLine(childProcess, lines);
	const failed = exited.then(code => `exited with ${code}`);
	const timeout = createTimeout(readyTimeoutMs);
	const first = await Promise.race([ready, failed.then(reason => ({reason})), timeout.promise]);
	timeout.clear();
	if ('reason' in first || childProcess.pid === undefined) {
		childProcess.kill('SIGKILL');
		const reason = 'reason' in first ? first.reason : 'did not start: no process id';
		throw new Error(`${name} (${program}) ${reason}:\n${lines.join('\n')}`);
	}

	let isExitExpected = false;
	const child: Child = {
		name, program, pid: childProcess.pid, listenAddress: first.listenAddress, exited, getOutput: () => [...lines],
		signal(signal) {
			isExitExpected = true;
			childProcess.kill(signal);
		},
	};
	runningChildren.add(child);
	void exited.then(code => {
		runningChildren.delete(child);
		if (!isExitExpected) {
			unexpectedExits.push({name, code, output: lines});
		}
	});
	return child;
}

/** Sends SIGTERM, and SIGKILL if the process hasn't exited after `graceMs`. */
export async function stopChild(child: Child, graceMs = 3000): Promise<void> {
	child.signal('SIGTERM');
	const timer = setTimeout(() => {
		child.signal('SIGKILL');
	}, graceMs);
	await child.exited;
	clearTimeout(timer);
}

/** Kills all running children; for the exit handler of the process. */
export function killChildren(): void {
	for (const child of runningChildren) {
		child.signal('SIGKILL');
	}
}

async function waitForExit(childProcess: ChildProcess): Promise<number | null> {
	return new Promise(resolve => {
		childProcess.once('exit', code => {
			resolve(code);
		});
		childProcess.once('error', () => {
			resolve(null);
		});
	});
}

async function waitForReadyLine(childProcess: ChildProcess, lines: string[]): Promise<{listenAddress: string}> {
	return new Promise(resolve => {
		for (const stream of [childProcess.stdout, childProcess.stderr]) {
			if (!stream) {
				continue;
			}

			createInterface({input: stream}).on('line', line => {
				lines.push(line);
				lines.splice(0, lines.length - maxOutputLines);
				if (line.startsWith('listening ')) {
					resolve({listenAddress: line.slice('listening '.length).trim()});
				}
			});
		}
	});
}

function createTimeout(ms: number) {
	const {promise, resolve} = withResolvers<{reason: string}>();
	const timer = setTimeout(() => {
		resolve({reason: `did not listen within ${ms} ms`});
	}, ms);
	return {
		promise,
		clear() {
			clearTimeout(timer);
		},
	};
}

function withResolvers<Value>() {
	let resolve!: (value: Value) => void;
	const promise = new Promise<Value>(settle => {
		resolve = settle;
	});
	return {promise, resolve};
}
