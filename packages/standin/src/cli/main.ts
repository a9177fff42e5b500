#!/usr/bin/env node
/*
Program `shallotloom-standin`: one command a stand-in. Each prints `listening URL` when it is ready, and exits with 0 on
SIGTERM.
*/
import process from 'node:process';
import sade from 'sade';
import {createEngineStandin} from '../engine-standin.ts';
import {engineDefaults} from '../engine-settings.ts';
import {createNetworkStandin, networkStandinDefaults} from '../network-standin.ts';
import {createPlatformStandin, platformStandinDefaults} from '../platform-standin.ts';
import {addressOf} from '../relay.ts';
import {createServiceStandin, serviceDefaults} from '../service-standin.ts';
import type {Standin} from '../standin-server.ts';

/** Options as the command line gives them: by name, with dashes. */
type CommandOptions = Record<string, string | number | boolean | undefined>;

type Command = {
	describe: string;
	defaults: object;
	create: (settings: object) => Standin;
};

const commands: Record<string, Command> = {
	platform: {
		describe: 'Object API, instance list and weight store.',
		defaults: platformStandinDefaults,
		create: createPlatformStandin,
	},
	engine: {
		describe: 'Model engine with continuous batching.',
		defaults: engineDefaults,
		create: createEngineStandin,
	},
	service: {
		describe: 'Application service that counts its runs.',
		defaults: serviceDefaults,
		create: createServiceStandin,
	},
	network: {
		describe: 'TCP relays with delays and cuts.',
		defaults: networkStandinDefaults,
		create: createNetworkStandin,
	},
};

/** Names that come from `--listen` or from control, not from an own option. */
const namesWithoutOption = new Set(['host', 'port', 'domains', 'delayMs']);

function settingsOf(defaults: object, options: CommandOptions): object {
	const settings: Record<string, unknown> = {...addressOf(String(options.listen))};
	for (const [name, fallback] of Object.entries(defaults)) {
		const given = options[optionName(name)];
		if (!namesWithoutOption.has(name) && given !== undefined) {
			settings[name] = valueLike(fallback, given);
		}
	}

	return settings;
}

/** The command line reads `--id 7` as a number and `--fences false` as a text. */
function valueLike(fallback: unknown, given: string | number | boolean) {
	if (typeof fallback === 'boolean') {
		return String(given) === 'true';
	}

	return typeof fallback === 'string' ? String(given) : given;
}

/** `warmCapacity` is `--warm-capacity` on the command line. */
function optionName(name: string): string {
	return [...name].map(letter => letter === letter.toLowerCase() ? letter : `-${letter.toLowerCase()}`).join('');
}

async function run({defaults, create}: Command, options: CommandOptions) {
	const standin = create(settingsOf(defaults, options));
	const {url} = await standin.start();
	console.log(`listening ${url}`);

	process.once('SIGTERM', () => {
		void stop(standin);
	});
}

async function stop(standin: Standin) {
	await standin.stop();
	process.exit(0);
}

const program = sade('shallotloom-standin');

for (const [name, command] of Object.entries(commands)) {
	program.command(name).describe(command.describe).option('--listen', 'Address to listen on', '127.0.0.1:0')
		.example(`${name} --listen 127.0.0.1:7000`);
	for (const [setting, fallback] of Object.entries(command.defaults)) {
		if (!namesWithoutOption.has(setting)) {
			program.option(`--${optionName(setting)}`, `Default ${String(fallback)}`);
		}
	}

	program.action(async (options: CommandOptions) => run(command, options));
}

program.parse(process.argv);
