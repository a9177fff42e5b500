/*
Program `shallotloom-router`: reads its settings, starts the router, and makes a planned stop on SIGTERM or SIGINT.
Exit codes: 0 planned stop complete or settings valid, 1 start failed or stop timed out, 2 wrong usage or invalid settings.
*/
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import sade from 'sade';
import {LogPart} from '@shallotloom/core/ports.ts';
import {checkRouterSettings, loadRouterSettings} from '@shallotloom/settings/router-settings.ts';
import {describeProblems} from '@shallotloom/settings/problems.ts';
import {createLog} from '../log.ts';
import {startRouter, type Router} from '../router.ts';

declare const SHALLOTLOOM_VERSION: string | undefined;

type Options = {settings?: string | boolean; 'check-settings'?: boolean};

const version = typeof SHALLOTLOOM_VERSION === 'string' ? SHALLOTLOOM_VERSION : 'development';

async function checkSettings(file: string) {
	const {text, exitCode} = await checkRouterSettings(file);
	console.log(text);
	process.exitCode = exitCode;
}

/** Maximum wait for connections to close after the stop; an unresponsive peer must not keep the process running. */
const closeTimeoutMs = 3000;

async function closeAndExit(router: Router) {
	await Promise.race([router.close(), sleep(closeTimeoutMs)]);
	process.exit(0); // eslint-disable-line unicorn/no-process-exit
}

async function serve(file: string) {
	const result = await loadRouterSettings(file);
	if (result.kind !== 'ok') {
		console.error(`${file}: ${result.kind}\n${describeProblems(result.problems)}`);
		process.exitCode = 2;
		return;
	}

	const {settings} = result;
	const log = createLog(settings.log);
	const router = await startRouter({
		settings,
		log,
		onStopped() {
			clearTimeout(graceTimer);
			void closeAndExit(router);
		},
	});
	let graceTimer: NodeJS.Timeout | undefined;

	function stop() {
		router.stop();
		graceTimer ??= setTimeout(() => {
			log.write({part: LogPart.Stop, level: 'error', text: `planned stop timed out after ${settings.stop.graceMs} ms with answers still running`});
			process.exit(1); // eslint-disable-line unicorn/no-process-exit
		}, settings.stop.graceMs);
	}

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
	console.log(`listening callers=${settings.advertise.callers} peers=${settings.advertise.peers} operators=http://${settings.listen.operators}`);
}

/** Option names, and `_`, which sade adds for positional arguments. */
const knownOptions = new Set(['_', 'settings', 'check-settings']);

function findUsageProblem(options: Options): string | undefined {
	const unknown = Object.keys(options).find(name => !knownOptions.has(name));
	if (unknown !== undefined) {
		return `no option is named --${unknown}`;
	}

	return typeof options.settings === 'string' ? undefined : '--settings FILE is missing';
}

async function run(options: Options) {
	const problem = findUsageProblem(options);
	if (problem !== undefined || typeof options.settings !== 'string') {
		console.error(`${problem}; see --help`);
		process.exitCode = 2;
		return;
	}

	await (options['check-settings'] ? checkSettings(options.settings) : serve(options.settings));
}

try {
	sade('shallotloom-router', true)
		.version(version)
		.describe('Routes callers\' requests to model engines and application services.')
		.option('--settings', 'Settings file, in YAML')
		.option('--check-settings', 'Check the settings file and exit')
		.example('--settings examples/council/routers/suva-1.yaml')
		.action((options: Options) => {
			run(options).catch((error: unknown) => {
				console.error(`error [router] ${error instanceof Error ? error.message : String(error)}`);
				process.exitCode = 1;
			});
		})
		.parse(process.argv);
} catch (error) {
	console.error(error);
}
