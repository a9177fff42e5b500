/*
Installs the locked dependencies if none are installed, so that `npm test` and `npm run demo` work on a fresh clone.
*/
import {existsSync} from 'node:fs';
import {spawnSync} from 'node:child_process';
import process from 'node:process';

if (!existsSync('node_modules/.package-lock.json')) {
	const {status} = spawnSync('npm', ['ci', '--no-audit', '--no-fund'], {stdio: 'inherit'});
	process.exitCode = status ?? 1;
}
