/*
Starts one program of the project as a child process, waits for the line that says where it listens, and ends just that
process. Every child is kept in one set, so that an error or a signal leaves none behind.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** Lines of output kept for error messages. */
const keptLines = 40;

export type Child = {
	name: string;
	program: string;
	pid: number;
	/** What stood after `listening` in the ready line. */
	listening: string;
	/** Exit code, or null when a signal ended the process. */
	exited: Promise<number | null>;
	/** Last lines of standard output and standard error. */
	output: () => string[];
	signal: (signal: NodeJS.Signals) => void;
};

export type ChildOptions = {
	name: string;
	/** Name of the bundle without its extension, for example `shallotloom-router`. */
	program: string;
	args: string[];
	/** Directory of the bundles. */
	directory?: string;
	readyTimeoutMs?: number;
};

/** Defaults of `startChild`: the bundles lie beside the running one. */
export const childDefaults = {
	directory: path.dirname(process.argv[1] ?? '.'),
	readyTimeoutMs: 15_000,
};

const running = new Set<Child>();

/** Processes that ended although nobody asked them to. */
export type UnexpectedExit = {name: string; code: number | null; output: string[]};

const unexpectedExits: UnexpectedExit[] = [];

/** Takes the processes that ended unasked since the last call. */
export function takeUnexpectedExits(): UnexpectedExit[] {
	return unexpectedExits.splice(0);
}

/**
Starts the program and resolves once it listens. Rejects with the last output when it ends or stays silent.
*/
export async function startChild(options: ChildOptions): Promise<Child> {
	const {name, program, args, directory, readyTimeoutMs} = {...childDefaults, ...options};
	const file = path.join(directory, `${program}.js`);
	const spawned = spawn(process.execPath, [file, ...args], {stdio: ['ignore', 'pipe', 'pipe']});
	const lines: string[] = [];
	const exited = exitOf(spawned);
	const ready = readyLine(spawned, lines);
	const failed = exited.then(code => `ended with ${code}`);
	const timeout = timeoutAfter(readyTimeoutMs);
	const first = await Promise.race([ready, failed.then(reason => ({reason})), timeout.promise]);
	timeout.clear();
	if ('reason' in first || spawned.pid === undefined) {
		spawned.kill('SIGKILL');
		const reason = 'reason' in first ? first.reason : 'has no process id';
		throw new Error(`${name} (${program}) ${reason}:\n${lines.join('\n')}`);
	}

	let asked = false;
	const child: Child = {
		name, program, pid: spawned.pid, listening: first.listening, exited, output: () => [...lines],
		signal(signal) {
			asked = true;
			spawned.kill(signal);
		},
	};
	running.add(child);
	void exited.then(code => {
		running.delete(child);
		if (!asked) {
			unexpectedExits.push({name, code, output: lines});
		}
	});
	return child;
}

/** Asks the process to end, and kills it when it hasn't after `graceMs`. */
export async function endChild(child: Child, graceMs = 3000): Promise<void> {
	child.signal('SIGTERM');
	const timer = setTimeout(() => {
		child.signal('SIGKILL');
	}, graceMs);
	await child.exited;
	clearTimeout(timer);
}

/** Kills every child that still runs; for the exit handler of the process. */
export function killAll(): void {
	for (const child of running) {
		child.signal('SIGKILL');
	}
}

async function exitOf(spawned: ChildProcess): Promise<number | null> {
	return new Promise(resolve => {
		spawned.once('exit', code => {
			resolve(code);
		});
		spawned.once('error', () => {
			resolve(null);
		});
	});
}

async function readyLine(spawned: ChildProcess, lines: string[]): Promise<{listening: string}> {
	return new Promise(resolve => {
		for (const stream of [spawned.stdout, spawned.stderr]) {
			if (!stream) {
				continue;
			}

			createInterface({input: stream}).on('line', line => {
				lines.push(line);
				lines.splice(0, lines.length - keptLines);
				if (line.startsWith('listening ')) {
					resolve({listening: line.slice('listening '.length).trim()});
				}
			});
		}
	});
}

function timeoutAfter(ms: number) {
	const {promise, resolve} = withResolvers<{reason: string}>();
	const timer = setTimeout(() => {
		resolve({reason: `didn't listen within ${ms} ms`});
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
