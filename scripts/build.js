/*
Bundles each program into a file under dist/ that runs as `node dist/NAME.js`, with the parts that it shares or loads later under
dist/chunks/. With --platform it bundles the programs for the users' platform instead, under target/. `--out FOLDER` names another folder.
*/
import path from 'node:path';
import process from 'node:process';
import {execFileSync} from 'node:child_process';
import {
	existsSync, readdirSync, readFileSync, rmSync,
} from 'node:fs';
import {build} from 'esbuild';

const chunkFolder = 'chunks';

const quiet = process.argv.includes('--quiet');

/** Entry module of each program. */
const programs = {
	'shallotloom-router': 'packages/router/src/cli/main.ts',
	shallotloom: 'packages/cli/src/cli/main.ts',
	'shallotloom-standin': 'packages/standin/src/cli/main.ts',
	'shallotloom-bench': 'packages/bench/src/cli/main.ts',
};

/** Entry module of each program for the users' platform. */
const platformPrograms = {
	'shallotloom-gateway': 'platform/src/main.ts',
};

function getCommit() {
	try {
		return execFileSync('git', ['rev-parse', '--short', 'HEAD'], {encoding: 'utf8', stdio: ['ignore', 'pipe', 'ignore']}).trim();
	} catch {
		return 'unknown';
	}
}

const {version} = JSON.parse(readFileSync('package.json', 'utf8'));
const isPlatformBuild = process.argv.includes('--platform');
const outIndex = process.argv.indexOf('--out');
const defaultOutdir = isPlatformBuild ? 'target' : 'dist';
const outdir = outIndex === -1 ? defaultOutdir : process.argv[outIndex + 1];
const entryPoints = isPlatformBuild ? platformPrograms : Object.fromEntries(Object.entries(programs).filter(([, entry]) => existsSync(entry)));

const {metafile} = await build({
	entryPoints,
	outdir,
	bundle: true,
	// A part that an entry loads with `import()` is a file of its own, so that the entry runs before it is read.
	splitting: true,
	metafile: true,
	chunkNames: `${chunkFolder}/[name]-[hash]`,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	legalComments: 'none',
	sourcemap: isPlatformBuild ? false : 'linked',
	minify: isPlatformBuild,
	keepNames: isPlatformBuild,
	logLevel: quiet ? 'error' : 'warning',
	define: {SHALLOTLOOM_VERSION: JSON.stringify(`${version}+${getCommit()}`)},
	banner: {js: 'import {createRequire as __createRequire} from \'node:module\'; const require = __createRequire(import.meta.url);'},
});

// Chunks of earlier builds have other names and would stay.
const built = new Set(Object.keys(metafile.outputs).map(file => path.resolve(file)));
for (const name of existsSync(path.join(outdir, chunkFolder)) ? readdirSync(path.join(outdir, chunkFolder)) : []) {
	const file = path.resolve(outdir, chunkFolder, name);
	if (!built.has(file)) {
		rmSync(file);
	}
}

if (!quiet) {
	console.log(`built ${Object.keys(entryPoints).length} programs under ${outdir}/`);
}
