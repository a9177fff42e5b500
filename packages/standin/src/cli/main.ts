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
import {createServiceStandin, serviceDefaults} from '../service-standin.ts';
import type {Standin} from '../standin-server.ts';
import {
	hasOption, optionName, settingsOf, type CommandOptions,
} from './command-options.ts';

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

async function run({defaults, create}: Command, options: CommandOptions) {
	const standin = create(settingsOf(defaults, options));
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
			program.option(`--${optionName(setting)}`, `Default ${String(fallback)}`);
		}
	}

	program.action(async (options: CommandOptions) => run(command, options));
}

program.parse(process.argv);
