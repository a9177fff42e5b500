/* eslint camelcase: "off" -- The platform's documents have such names. */
/*
A small deployment on loopback addresses: the project's stand-in of the platform's store, and routers as separate processes that are
started with the command of the deploy file.
*/
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
/* eslint-disable n/file-extension-in-import -- The bundler resolves TypeScript, which the rule forbids in JavaScript files. */
import {allocatePort} from '../../packages/standin/src/free-port.ts';
import {startObjectStoreStandin} from '../../packages/standin/src/object-store-standin.ts';
/* eslint-enable n/file-extension-in-import */
import {sendOnce} from './channel.js';
import {bounds} from './documents.js';
import {startProxy} from './proxy.js';

export const graceMs = bounds.grace_s * 1000;

const zones = ['waco-a', 'temple-b', 'killeen-c'];

/** Time within which a process has to become ready, in milliseconds. */
const startTimeoutMs = 20_000;

function readCommand() {
	const [, command] = /^run = "(.*)"$/mv.exec(readFileSync('deploy/system.toml', 'utf8'));
	const [program, ...args] = command.split(' ');
	return {program: program === 'node' ? process.execPath : program, args};
}

/** Processes that run; a script that is ended early leaves none behind. */
const children = new Set();

process.once('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});

// An error of the script says nothing of the rule.
process.once('uncaughtException', error => {
	console.error(error);
	process.exit(2);
});

for (const signal of ['SIGINT', 'SIGTERM']) {
	process.once(signal, () => {
		// The case couldn't run to its end.
		process.exit(2);
	});
}

async function waitUntil(text, check, timeoutMs = startTimeoutMs) {
	const endsAt = performance.now() + timeoutMs;
	while (!await check()) {
		if (performance.now() > endsAt) {
			throw new Error(`timed out: ${text}`);
		}

		await sleep(100);
	}
}

/** Address of the loopback network for the router with an index: the port of its metrics is fixed, so each has its own. */
function createHost(index) {
	return `127.${64 + (Math.floor(process.pid / 250) % 128)}.${process.pid % 250}.${index + 1}`;
}

/**
Starts the store with a configuration and the entries of workers, and `count` routers.

@param config Contents of `config/main`.
@param entries Entries of the workers by their ids.
@param zoneOf Returns the zone of the router with an index.
@param hasProxies Whether each router reaches the store through a proxy of its own.
*/
export async function startDeployment({
	count, config, entries, zoneOf = index => zones[index % zones.length], hasProxies = false,
}) {
	const folder = await mkdtemp(path.join(tmpdir(), 'shallotloom-review-'));
	const store = await startObjectStoreStandin();
	store.put('config', 'main', config);
	for (const [id, entry] of Object.entries(entries)) {
		store.put('servers', id, entry);
	}

	const routers = [];
	for (let index = 0; index < count; index += 1) {
		const host = createHost(index);
		const ports = [];
		for (let number = 0; number < 5; number += 1) {
			ports.push(await allocatePort(host));
		}

		const [front, ready, control, directory, peers] = ports;
		routers.push({
			name: `edge-${zoneOf(index)}-${index}`,
			zone: zoneOf(index),
			proxy: hasProxies ? await startProxy(store.address) : undefined,
			host,
			front: `${host}:${front}`,
			ready: `${host}:${ready}`,
			directory: `${host}:${directory}`,
			control: `${host}:${control}`,
			peers,
			child: undefined,
			log: '',
			/** Times of the last SIGTERM and of the last end, and the exit status. */
			stoppedAt: undefined,
			endedAt: undefined,
			end: undefined,
		});
	}

	function createSettings(router, isFirstStart) {
		return JSON.stringify({
			node_name: router.name,
			role: 'router',
			machine_class: 'edge',
			serves: ['edge', 'registry'],
			ip: router.host,
			zone: router.zone,
			region: 'central-tx',
			zones: Object.fromEntries(zones.map(zone => [zone, 'central-tx'])),
			listen_addrs: {
				front: router.front, ready: router.ready, control: router.control, directory: router.directory,
			},
			internal_port_range: [router.peers, router.peers],
			seed_nodes: [],
			bootstrap: isFirstStart,
			fault_counted: false,
			limits: {
				cpu_share: 0.675, cpu_cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0,
			},
			data_dir: null,
			discovery: 'platform',
			entry_mode: 'registry',
			heartbeat_ms: 1200,
			contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'places', 'platform'],
			fault_tolerance: {machines: 2, zones: 1, regions: 0},
			bounds,
			platform: {
				address: router.proxy?.address ?? store.address, form: 'objects', writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1_048_576, min_ttl_ms: 1000,
			},
		});
	}

	async function startRouter(router, isFirstStart = false) {
		const file = path.join(folder, `${router.name}.yaml`);
		// JSON is a subset of YAML.
		await writeFile(file, createSettings(router, isFirstStart));
		const {program, args} = readCommand();
		const child = spawn(program, args, {env: {PATH: process.env.PATH, SHALLOTLOOM_SETTINGS: file}, stdio: ['ignore', 'pipe', 'pipe']});
		Object.assign(router, {
			child, stoppedAt: undefined, endedAt: undefined, end: undefined,
		});
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8');
			stream.on('data', text => {
				router.log += text;
			});
		}

		children.add(child);
		child.once('exit', (code, signal) => {
			children.delete(child);
			router.endedAt = performance.now();
			router.end = signal ?? code;
		});
		await waitUntil(`${router.name} is ready`, async () => isReady(router));
	}

	async function isReady(router) {
		const {status} = await sendOnce(router.ready, 'GET /shallotloom/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n');
		return status === 200;
	}

	/** Stops a router as the platform does: SIGTERM, and SIGKILL after the grace period. Resolves when it has ended. */
	async function stopRouter(router) {
		const ended = once(router.child, 'exit');
		router.stoppedAt = performance.now();
		router.child.kill('SIGTERM');
		const timer = setTimeout(() => {
			router.child.kill('SIGKILL');
		}, graceMs);
		await ended;
		clearTimeout(timer);
	}

	async function stop() {
		for (const {child} of routers) {
			if (child && child.exitCode === null && child.signalCode === null) {
				const ended = once(child, 'exit');
				child.kill('SIGKILL');
				await ended;
			}
		}

		await Promise.all(routers.map(async ({proxy}) => proxy?.stop()));
		await store.stop();
		await rm(folder, {recursive: true});
	}

	try {
		await Promise.all(routers.map(async router => startRouter(router, true)));
		// Each process knows the others once their digests have arrived.
		await sleep(3000);
	} catch (error) {
		await stop();
		throw error;
	}

	return {
		store, routers, startRouter, stopRouter, isReady, stop,
	};
}

/** Asks the directory of one of the routers for addresses, as a requester does; undefined when none answers. */
export async function resolveAddresses(routers, zone) {
	for (const {directory} of routers.toSorted((a, b) => Number(b.zone === zone) - Number(a.zone === zone))) {
		const {status, body} = await sendOnce(directory, `GET /shallotloom/resolve?name=desk.example&region=central-tx&zone=${zone} HTTP/1.1\r\nHost: directory\r\nConnection: close\r\n\r\n`, 1000);
		if (status === 200) {
			const {addresses, ttl_s: ttl} = JSON.parse(body);
			return {addresses, ttlMs: Math.min(ttl, bounds.ttl_max_s) * 1000};
		}
	}

	return undefined;
}
