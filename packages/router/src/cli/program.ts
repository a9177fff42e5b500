/*
Program `shallotloom-router`: reads its settings, starts the router, and makes a planned stop on SIGTERM or SIGINT.
Exit codes: 0 planned stop complete or settings valid, 1 start failed, stop timed out or exception, 2 wrong usage or invalid settings.
*/
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import sade from 'sade';
import {awaitSettings} from '@shallotloom/settings/load.ts';
import {checkRouterSettings, loadRouterSettings} from '@shallotloom/settings/router-settings.ts';
import {describeProblems} from '@shallotloom/settings/problems.ts';
import {ignoreOutputErrors, writeDiagnostic} from '../diagnostics.ts';
import {AdapterPart, createLog} from '../log.ts';
import {ExitCode, ProcessEvent, type ProcessLifecycle} from '../process-lifecycle.ts';
import {createLoggedBind, logProcessEvent, logRejections} from '../process-log.ts';
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

async function closeAndReport(router: Router, lifecycle: ProcessLifecycle) {
	await Promise.race([router.close(), sleep(closeTimeoutMs)]);
	lifecycle.handle(ProcessEvent.Stopped);
}

async function serve(file: string, lifecycle: ProcessLifecycle) {
	const result = await awaitSettings(async () => loadRouterSettings(file));
	if (result.kind !== 'ok') {
		writeDiagnostic(`${file}: ${result.kind}\n${describeProblems(result.problems)}`);
		lifecycle.handle(ProcessEvent.StartFailed, file, ExitCode.InvalidSettings);
		return;
	}

	const {settings} = result;
	const log = createLog(settings.log);
	logRejections(log);
	const program: {drain?: () => void; fail?: (cause: string) => void} = {};
	lifecycle.setHandlers({
		reload() {
			log.write({part: AdapterPart.Process, level: 'warn', text: 'settings kept: they are read at the start only'});
		},
		drain() {
			program.drain?.();
		},
		fail(cause) {
			program.fail?.(cause);
		},
		record(record) {
			logProcessEvent(log, record);
		},
	});
	// A process that was here before may still be in its planned stop.
	const bind = createLoggedBind(log, settings.stop.graceMs);
	const router = await startRouter({
		settings,
		log,
		bind,
		onStopped() {
			void closeAndReport(router, lifecycle);
		},
	});
	const limitStop = () => {
		setTimeout(() => {
			lifecycle.handle(ProcessEvent.StopFailed, `planned stop timed out after ${settings.stop.graceMs} ms with answers still running`);
		}, settings.stop.graceMs);
	};

	program.drain = () => {
		limitStop();
		router.stop();
	};

	program.fail = cause => {
		limitStop();
		router.fail(cause);
	};

	lifecycle.handle(ProcessEvent.Started);
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

async function run(options: Options, lifecycle: ProcessLifecycle) {
	const problem = findUsageProblem(options);
	if (problem !== undefined || typeof options.settings !== 'string') {
		console.error(`${problem}; see --help`);
		process.exitCode = 2;
		return;
	}

	await (options['check-settings'] ? checkSettings(options.settings) : serve(options.settings, lifecycle));
}

/** Parses the arguments and runs what they ask for. */
export function runProgram(lifecycle: ProcessLifecycle) {
	ignoreOutputErrors();
	lifecycle.handle(ProcessEvent.Loaded);
	try {
		sade('shallotloom-router', true)
			.version(version)
			.describe('Routes callers\' requests to model engines and application services.')
			.option('--settings', 'Settings file, in YAML')
			.option('--check-settings', 'Check the settings file and exit')
			.example('--settings examples/council/routers/suva-1.yaml')
			.action((options: Options) => {
				run(options, lifecycle).catch((error: unknown) => {
					const reason = error instanceof Error ? error.message : String(error);
					writeDiagnostic(`error [router] ${reason}`);
					lifecycle.handle(ProcessEvent.StartFailed, reason);
				});
			})
			.parse(process.argv);
	} catch (error) {
		console.error(error);
	}
}
