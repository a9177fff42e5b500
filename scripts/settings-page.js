/*
Generates docs/SETTINGS.md from the schemas of the settings package.
*/
import {Buffer} from 'node:buffer';
import {mkdirSync, writeFileSync} from 'node:fs';
import {build} from 'esbuild';

const {outputFiles: [bundle]} = await build({
	entryPoints: ['packages/settings/src/settings-page.ts'],
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	write: false,
	banner: {js: 'import {createRequire as __createRequire} from \'node:module\'; const require = __createRequire(\'file:///\');'},
});
const {createSettingsPage} = await import(`data:text/javascript;base64,${Buffer.from(bundle.contents).toString('base64')}`);

mkdirSync('docs', {recursive: true});
writeFileSync('docs/SETTINGS.md', createSettingsPage());
