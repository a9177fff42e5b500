/*
Writes the YAML settings file of one router.
*/
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {stringify} from 'yaml';
import {
	operatorKey, sha256, type DeploymentOptions, type PlannedProcess,
} from './plan.ts';

/** Addresses of one router: `HOST:PORT` to listen on, and what its relays listen on. */
export type RouterAddresses = {
	callers: string;
	peers: string;
	operators: string;
	/** Relay in front of `callers`. */
	callersRelay: string;
	/** Relay in front of `peers`. */
	peersRelay: string;
};

export type SettingsFile = {
	directory: string;
	router: PlannedProcess;
	addresses: RouterAddresses;
	platform: string;
	options: DeploymentOptions;
};

/** Writes `ID.yaml` into the directory and returns its path. */
export async function writeSettings(file: SettingsFile): Promise<string> {
	const location = path.join(file.directory, `${file.router.id}.yaml`);
	await writeFile(location, stringify(routerSettings(file)));
	return location;
}

function routerSettings({router, addresses, platform, options}: SettingsFile) {
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
