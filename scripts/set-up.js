/*
Installs the locked dependencies when they are absent, so that `npm test` and `npm run demo` work on a clean clone.
*/
import {existsSync} from 'node:fs';
import {spawnSync} from 'node:child_process';
import process from 'node:process';

if (!existsSync('node_modules/.package-lock.json')) {
	const {status} = spawnSync('npm', ['ci', '--no-audit', '--no-fund'], {stdio: 'inherit'});
	process.exitCode = status ?? 1;
}
