/*
Bundles the router into a temporary directory and runs it as a separate process.
*/
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

/** Loopback address derived from this process's id, so that fixed ports are free on it. */
export const host = `127.${64 + (Math.floor(process.pid / 256) % 64)}.${process.pid % 256}.1`;

/** Settings of a router on that address. */
export const minimalSettings = `
router: {id: suva-1, failureDomain: suva}
listen: {callers: "${host}:8080", peers: "${host}:8081", operators: "${host}:8082"}
platform: {url: "http://${host}:9000"}
`;

export type ProgramResult = {code: number | null; output: string; errors: string};

/** A bundle of the program with a directory for settings files. */
export type Program = {
	/** Writes a settings file and returns its path. */
	writeSettings: (text: string) => Promise<string>;
	/** Runs the program until it exits. */
	run: (...args: string[]) => Promise<ProgramResult>;
	/** Starts the program; resolves when it listens or has exited. */
	start: (...args: string[]) => Promise<RunningProgram>;
	/** Starts the program without waiting for anything. */
	launch: (...args: string[]) => RunningProgram;
	remove: () => Promise<void>;
};

export type RunningProgram = {
	output: () => string;
	signal: (signal: NodeJS.Signals) => void;
	/** Resolves to the exit code, or to undefined if the program still runs when the time is over. */
	waitForEnd: (timeoutMs: number) => Promise<number | null | undefined>;
	/** Kills the process and waits until it has exited. */
	end: () => Promise<void>;
};

/** Bundles a program into one file. */
export async function bundleProgram(entry: string, file: string, format: 'cjs' | 'esm') {
	const bundler = spawn('node_modules/.bin/esbuild', [
		entry,
		'--bundle',
		'--platform=node',
		'--target=node20',
		`--format=${format}`,
		'--log-level=error',
		`--outfile=${file}`,
		...(format === 'esm' ? ['--banner:js=import {createRequire as __createRequire} from "node:module"; const require = __createRequire(import.meta.url);'] : []),
	], {stdio: 'inherit'});
	await once(bundler, 'close');
}

export async function bundleRouter(): Promise<Program> {
	const directory = await mkdtemp(path.join(tmpdir(), 'shallotloom-router-'));
	const file = path.join(directory, 'router.mjs');
	await bundleProgram('packages/router/src/cli/main.ts', file, 'esm');

	function launch(args: string[]) {
		const child = spawn(process.execPath, [file, ...args], {stdio: ['ignore', 'pipe', 'pipe']});
		const captured = {output: '', errors: ''};
		child.stdout.on('data', (chunk: unknown) => {
			captured.output += String(chunk);
		});
		child.stderr.on('data', (chunk: unknown) => {
			captured.errors += String(chunk);
		});
		return {child, texts: captured};
	}

	function createRunning({child, texts}: ReturnType<typeof launch>): RunningProgram {
		const ended = once(child, 'close') as Promise<[number | null]>;
		return {
			output: () => texts.output + texts.errors,
			signal(signal) {
				child.kill(signal);
			},
			async waitForEnd(timeoutMs) {
				const timer = new AbortController();
				const [code] = await Promise.race([ended, sleep(timeoutMs, [undefined], {signal: timer.signal})]);
				timer.abort();
				return code;
			},
			async end() {
				if (child.exitCode === null && child.signalCode === null) {
					child.kill('SIGKILL');
					await ended;
				}
			},
		};
	}

	return {
		async writeSettings(text) {
			const settingsFile = path.join(directory, 'settings.yaml');
			await writeFile(settingsFile, text);
			return settingsFile;
		},
		async run(...args) {
			const {child, texts} = launch(args);
			const [code] = await once(child, 'close') as [number | null];
			return {code, ...texts};
		},
		launch: (...args) => createRunning(launch(args)),
		async start(...args) {
			const launched = launch(args);
			const {child, texts} = launched;
			const ended = once(child, 'close');
			while (!texts.output.includes('listening callers=') && child.exitCode === null) {
				await Promise.race([once(child.stdout, 'data'), ended]);
			}

			return createRunning(launched);
		},
		remove: async () => rm(directory, {recursive: true, force: true}),
	};
}
