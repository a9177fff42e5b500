/*
Writes the YAML settings file of a router.
*/
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {stringify} from 'yaml';
import {
	operatorKey, sha256, type DeploymentOptions, type PlannedProcess,
} from './plan.ts';

/** Addresses of a router and its relays, as `HOST:PORT`. */
export type RouterAddresses = {
	callers: string;
	peers: string;
	operators: string;
	/** Relay in front of `callers`. */
	callersRelay: string;
	/** Relay in front of `peers`. */
	peersRelay: string;
};

export type SettingsFileOptions = {
	directory: string;
	router: PlannedProcess;
	addresses: RouterAddresses;
	platform: string;
	options: DeploymentOptions;
};

/** Writes the settings to `ID.yaml` in the directory and returns the path. */
export async function writeSettings(options: SettingsFileOptions): Promise<string> {
	const filePath = path.join(options.directory, `${options.router.id}.yaml`);
	await writeFile(filePath, stringify(createRouterSettings(options)));
	return filePath;
}

function createRouterSettings({router, addresses, platform, options}: SettingsFileOptions) {
	return {
		router: {id: router.id, failureDomain: router.failureDomain},
		listen: {callers: addresses.callers, peers: addresses.peers, operators: addresses.operators},
		advertise: {callers: `http://${addresses.callersRelay}`, peers: `http://${addresses.peersRelay}`},
		bindAddress: router.address,
		platform: {url: platform, callTimeoutMs: 2000},
		operators: [{name: 'duty', keyHash: sha256(operatorKey)}],
		lease: options.lease,
		control: options.control,
		limits: {addressTtlMs: options.addressTtlMs},
		fairness: options.fairness,
		log: {format: 'text', level: options.logLevel},
	};
}
