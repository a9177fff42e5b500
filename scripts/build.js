/*
Bundles each program into one file under dist/, so that it starts as `node dist/NAME.js`; with --platform those of the
users' platform, under target/.
*/
import process from 'node:process';
import {execFileSync} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';
import {build} from 'esbuild';

const quiet = process.argv.includes('--quiet');

/** Programs by name and entry module. */
const programs = {
	'shallotloom-router': 'packages/router/src/cli/main.ts',
	shallotloom: 'packages/cli/src/cli/main.ts',
	'shallotloom-standin': 'packages/standin/src/cli/main.ts',
	'shallotloom-bench': 'packages/bench/src/cli/main.ts',
};

/** Programs of the users' platform, which go under target/. */
const platformPrograms = {
	'shallotloom-gateway': 'platform/src/main.ts',
};

function commit() {
	try {
		return execFileSync('git', ['rev-parse', '--short', 'HEAD'], {encoding: 'utf8', stdio: ['ignore', 'pipe', 'ignore']}).trim();
	} catch {
		return 'unknown';
	}
}

const {version} = JSON.parse(readFileSync('package.json', 'utf8'));
const forPlatform = process.argv.includes('--platform');
const entryPoints = forPlatform ? platformPrograms : Object.fromEntries(Object.entries(programs).filter(([, entry]) => existsSync(entry)));

await build({
	entryPoints,
	outdir: forPlatform ? 'target' : 'dist',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	legalComments: 'none',
	sourcemap: forPlatform ? false : 'linked',
	minify: forPlatform,
	keepNames: forPlatform,
	logLevel: quiet ? 'error' : 'warning',
	define: {SHALLOTLOOM_VERSION: JSON.stringify(`${version}+${commit()}`)},
	banner: {js: 'import {createRequire as __createRequire} from \'node:module\'; const require = __createRequire(import.meta.url);'},
});

if (!quiet) {
	console.log(`built ${Object.keys(entryPoints).length} programs under ${forPlatform ? 'target' : 'dist'}/`);
}
