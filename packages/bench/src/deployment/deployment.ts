/*
Starts a complete deployment on loopback addresses: the platform and network stand-ins, the targets and the routers. Then
posts the first release and waits until it is in force at every router. Routers only learn the addresses of relays, so that
the network stand-in can delay and cut traffic between failure domains.
*/
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {TargetKind} from '@shallotloom/core/configuration.ts';
import {allocatePort} from '@shallotloom/standin/free-port.ts';
import {stopChild, startChild, type Child} from './child.ts';
import {waitUntil} from './http.ts';
import {
	getFleetStatus, countOwnedTargets, postRelease, type ReleaseNote,
} from './operators.ts';
import {
	defaultDeploymentOptions, createFirstRelease, planDeployment,
	type DeploymentOptions, type PlannedProcess, type PlannedTarget, type WorkspaceShare,
} from './plan.ts';
import {writeSettings, type RouterAddresses} from './settings-file.ts';
import {addLink, setDomains} from './standin.ts';

export const standinProgram = 'shallotloom-standin';
const routerProgram = 'shallotloom-router';
const loopbackAddress = '127.0.0.1';

/** Number of last output lines of each program that an error message includes. */
const maxShownLines = 8;

/** `stop` functions of the deployments of this process, those still starting included. */
const stopFunctions = new Set<() => Promise<void>>();

export type RunningRouter = PlannedProcess & {
	/** URL for callers: that of the relay. */
	url: string;
	operatorsUrl: string;
	/** Path of the settings file. */
	settings: string;
	child: Child;
};

export type RunningTarget = PlannedTarget & {
	/** URL for routers: that of the relay. */
	url: string;
	/** URL of the target itself, without the relay: for the control paths of the stand-in. */
	directUrl: string;
	child: Child;
	args: string[];
};

export type Deployment = {
	options: DeploymentOptions;
	platformUrl: string;
	networkUrl: string;
	routers: RunningRouter[];
	targets: RunningTarget[];
	workspaces: WorkspaceShare[];
	/** Posts a release note through a running router and returns its revision. */
	release: (note: ReleaseNote, reason: string) => Promise<number>;
	/** Waits until the latest configuration is in force at all running routers. */
	waitUntilInForce: () => Promise<void>;
	/** Kills a router with SIGKILL. */
	kill: (router: string) => Promise<void>;
	/** Stops a router with SIGTERM and returns its exit code. */
	terminate: (router: string) => Promise<number | null>;
	/** Restarts a killed or stopped router with the same settings. */
	restart: (router: string) => Promise<void>;
	/** Adds a process that was started later, so that it is stopped with the deployment. */
	addChild: (child: Child) => void;
	/** Returns the last output lines of each process. */
	getOutputs: () => string;
	/** Stops all processes of the deployment. */
	stop: () => Promise<void>;
};

/** Starts a deployment; `options` override `defaultDeploymentOptions`. Stops all its processes when the start fails. */
export async function startDeployment(options: Partial<DeploymentOptions> = {}): Promise<Deployment> {
	const completeOptions = {...defaultDeploymentOptions, ...options};
	const children: Child[] = [];
	const directory = await mkdtemp(path.join(tmpdir(), 'shallotloom-bench-'));
	const stop = async () => {
		stopFunctions.delete(stop);
		const isRouter = ({program}: Child) => program === routerProgram;
		// Routers stop first: to hand over their targets and finish their requests they need the platform and the targets.
		await Promise.all(children.filter(child => isRouter(child)).map(async child => stopChild(child)));
		await Promise.all(children.filter(child => !isRouter(child)).map(async child => stopChild(child)));
		await rm(directory, {recursive: true, force: true});
	};

	stopFunctions.add(stop);
	try {
		return await startProcesses(completeOptions, {children, directory, stop});
	} catch (error) {
		const outputs = formatOutputs(children);
		await stop();
		throw new Error(`deployment failed to start: ${String(error)}\n${outputs}`, {cause: error});
	}
}

/** Stops all deployments of this process, those still starting included. */
export async function stopDeployments(): Promise<void> {
	await Promise.all([...stopFunctions].map(async stop => stop()));
}

type StartContext = {
	children: Child[];
	directory: string;
	stop: () => Promise<void>;
};

async function startProcesses(options: DeploymentOptions, {children, directory, stop}: StartContext): Promise<Deployment> {
	const plan = planDeployment(options);
	const start = async (name: string, program: string, args: string[]) => {
		const child = await startChild({name, program, args});
		children.push(child);
		return child;
	};

	const [platform, network] = await Promise.all([
		start('platform', standinProgram, ['platform', '--listen', await allocateAddress(loopbackAddress)]),
		start('network', standinProgram, ['network', '--listen', await allocateAddress(loopbackAddress)]),
	]);
	const networkUrl = getUrl(network);
	const platformUrl = getUrl(platform);
	await setDomains(networkUrl, plan.prefixes, options.delayMs);
	const relay = async (address: string, to: string) => {
		const listen = await allocateAddress(address);
		await addLink(networkUrl, listen, to);
		return listen;
	};

	const targets = await Promise.all(plan.targets.map(async target => {
		const listen = await allocateAddress(target.address);
		const args = createTargetArguments(target, listen, options);
		const child = await start(target.id, standinProgram, args);
		return {
			...target, child, args, directUrl: `http://${listen}`, url: `http://${await relay(target.address, listen)}`,
		};
	}));
	const routers = await Promise.all(plan.routers.map(async router => {
		const addresses = await allocateRouterAddresses(router, relay);
		const settings = await writeSettings({
			directory, router, addresses, platform: platformUrl, options,
		});
		return {
			...router,
			settings,
			url: `http://${addresses.callersRelay}`,
			operatorsUrl: `http://${addresses.operators}`,
			child: await start(router.id, routerProgram, ['--settings', settings]),
		};
	}));
	const deployment: Deployment = {
		options, platformUrl, networkUrl, routers, targets, workspaces: options.workspaces, stop,
		getOutputs: () => formatOutputs(children),
		addChild(child) {
			children.push(child);
		},
		...createRouterControls(routers, start),
	};
	await postFirstRelease(deployment, createFirstRelease(options, targets));
	await deployment.waitUntilInForce();
	await waitUntil('an owner for every target', async () => {
		const owned = await Promise.all(routers.map(async router => countOwnedTargets(router.operatorsUrl)));
		return owned.every(count => count === targets.length);
	});
	return deployment;
}

/** Retries the first release: a router that hasn't reached the platform yet answers that nothing was changed. */
async function postFirstRelease(deployment: Deployment, note: ReleaseNote): Promise<void> {
	await waitUntil('the first release', async () => await deployment.release(note, 'first release') > 0);
}

function createRouterControls(routers: RunningRouter[], start: (name: string, program: string, args: string[]) => Promise<Child>) {
	const stopped = new Set<string>();
	const getRouter = (id: string) => {
		const router = routers.find(candidate => candidate.id === id);
		if (!router) {
			throw new Error(`unknown router "${id}"`);
		}

		return router;
	};

	const getRunningRouters = () => routers.filter(router => !stopped.has(router.id));

	return {
		async release(note: ReleaseNote, reason: string) {
			const [router] = getRunningRouters();
			if (!router) {
				throw new Error('cannot post the release: no router is running');
			}

			return postRelease(router.operatorsUrl, note, reason);
		},
		async waitUntilInForce() {
			const runningRouters = getRunningRouters();
			await waitUntil('the configuration to be in force at all routers', async () => {
				const statuses = await Promise.all(runningRouters.map(async router => getFleetStatus(router.operatorsUrl)));
				const isInForce = statuses.every(status => status.inForce.members === runningRouters.length);
				return isInForce || fail(`routers report ${JSON.stringify(statuses)}`);
			});
		},
		async kill(id: string) {
			stopped.add(id);
			const {child} = getRouter(id);
			child.signal('SIGKILL');
			await child.exited;
		},
		async terminate(id: string) {
			stopped.add(id);
			const {child} = getRouter(id);
			child.signal('SIGTERM');
			return child.exited;
		},
		async restart(id: string) {
			const router = getRouter(id);
			router.child = await start(id, routerProgram, ['--settings', router.settings]);
			stopped.delete(id);
		},
	};
}

async function allocateRouterAddresses(
	{address}: PlannedProcess,
	relay: (address: string, to: string) => Promise<string>,
): Promise<RouterAddresses> {
	const callers = await allocateAddress(address);
	const peers = await allocateAddress(address);
	return {
		callers,
		peers,
		operators: await allocateAddress(address),
		callersRelay: await relay(address, callers),
		peersRelay: await relay(address, peers),
	};
}

function createTargetArguments(target: PlannedTarget, listen: string, {engine}: DeploymentOptions): string[] {
	const common = ['--listen', listen, '--id', target.id];
	if (target.kind === TargetKind.Service) {
		return ['service', ...common];
	}

	return [
		'engine',
		...common,
		'--first-token-ms',
		String(engine.firstTokenMs),
		'--between-tokens-ms',
		String(engine.betweenTokensMs),
		'--slope',
		String(engine.slope),
		'--warm-capacity',
		String(engine.warmCapacity),
		'--cold-capacity',
		String(engine.coldCapacity),
		'--cold-completions',
		String(engine.coldCompletions),
	];
}

/** Returns `HOST:PORT` with a free port. */
async function allocateAddress(address: string): Promise<string> {
	return `${address}:${await allocatePort(address)}`;
}

function getUrl(child: Child): string {
	const {listenAddress} = child;
	return listenAddress.endsWith('/') ? listenAddress.slice(0, -1) : listenAddress;
}

function formatOutputs(children: Child[]): string {
	return children.map(({name, getOutput}) => [`${name}:`, ...getOutput().slice(-maxShownLines)].join('\n  ')).join('\n');
}

/** Throws, so that the time-out error of `waitUntil` includes the reason why its check wasn't true. */
function fail(reason: string): never {
	throw new Error(reason);
}
