/*
Runs the router as a process of its own, from a bundle in a temporary directory.
*/
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

/** Loopback address of this process alone, so that fixed ports are free on it. */
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
	/** Runs to the end. */
	run: (...args: string[]) => Promise<ProgramResult>;
	/** Starts, and resolves when the program says that it listens. */
	start: (...args: string[]) => Promise<RunningProgram>;
	remove: () => Promise<void>;
};

export type RunningProgram = {
	output: () => string;
	/** Kills the process and waits for its end. */
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

/** Bundles the router. */
export async function bundleRouter(): Promise<Program> {
	const directory = await mkdtemp(path.join(tmpdir(), 'shallotloom-router-'));
	const file = path.join(directory, 'router.cjs');
	await bundleProgram('packages/router/src/cli/main.ts', file, 'cjs');

	function launch(args: string[]) {
		const child = spawn(process.execPath, [file, ...args], {stdio: ['ignore', 'pipe', 'pipe']});
		const texts = {output: '', errors: ''};
		child.stdout.on('data', (chunk: unknown) => {
			texts.output += String(chunk);
		});
		child.stderr.on('data', (chunk: unknown) => {
			texts.errors += String(chunk);
		});
		return {child, texts};
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
		async start(...args) {
			const {child, texts} = launch(args);
			const ended = once(child, 'close');
			while (!texts.output.includes('listening callers=') && child.exitCode === null) {
				await Promise.race([once(child.stdout, 'data'), ended]);
			}

			return {
				output: () => texts.output + texts.errors,
				async end() {
					child.kill('SIGKILL');
					await ended;
				},
			};
		},
		remove: async () => rm(directory, {recursive: true, force: true}),
	};
}
