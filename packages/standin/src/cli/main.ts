#!/usr/bin/env node
/*
Program `shallotloom-standin`, with one command for each stand-in. Each prints `listening URL` when it is ready and exits
with 0 on SIGTERM.
*/
import process from 'node:process';
import sade from 'sade';
import {createEngineStandin} from '../engine-standin.ts';
import {defaultEngineSettings} from '../engine-settings.ts';
import {createNetworkStandin, defaultNetworkStandinOptions} from '../network-standin.ts';
import {createPlatformStandin, defaultPlatformStandinOptions} from '../platform-standin.ts';
import {createServiceStandin, defaultServiceSettings} from '../service-standin.ts';
import type {Standin} from '../standin-server.ts';
import {
	getOptionName, hasOption, parseSettings, type CommandOptions,
} from './command-options.ts';

type Command = {
	describe: string;
	defaults: object;
	create: (settings: object) => Standin;
};

const commands: Record<string, Command> = {
	platform: {
		describe: 'Object API, instance list and weight store.',
		defaults: defaultPlatformStandinOptions,
		create: createPlatformStandin,
	},
	engine: {
		describe: 'Model engine with continuous batching.',
		defaults: defaultEngineSettings,
		create: createEngineStandin,
	},
	service: {
		describe: 'Application service that counts its runs.',
		defaults: defaultServiceSettings,
		create: createServiceStandin,
	},
	network: {
		describe: 'TCP relays with delays and cuts.',
		defaults: defaultNetworkStandinOptions,
		create: createNetworkStandin,
	},
};

async function run({defaults, create}: Command, options: CommandOptions) {
	const standin = create(parseSettings(defaults, options));
	process.once('SIGTERM', () => {
		void stop(standin);
	});
	const {url} = await standin.start();
	console.log(`listening ${url}`);
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
		if (hasOption(setting)) {
			program.option(`--${getOptionName(setting)}`, `Default ${String(fallback)}`);
		}
	}

	program.action(async (options: CommandOptions) => run(command, options));
}

program.parse(process.argv);
