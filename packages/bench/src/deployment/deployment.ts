/*
Starts a whole deployment on loopback: the stand-in platform and network, the targets and the routers. It then posts the
first release and waits until every router has it in force. All addresses that routers learn are those of relays, so that
the network stand-in can delay and cut what passes between failure domains.
*/
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {TargetKind} from '@shallotloom/core/configuration.ts';
import {endChild, startChild, type Child} from './child.ts';
import {freePort} from './free-port.ts';
import {waitUntil} from './http.ts';
import {
	fleetStatus, ownedTargets, postRelease, type ReleaseNote,
} from './operators.ts';
import {
	deploymentDefaults, firstRelease, planDeployment,
	type DeploymentOptions, type PlannedProcess, type PlannedTarget, type WorkspaceShare,
} from './plan.ts';
import {writeSettings, type RouterAddresses} from './settings-file.ts';
import {addLink, setDomains} from './standin.ts';

export const standinProgram = 'shallotloom-standin';
const routerProgram = 'shallotloom-router';
const localHost = '127.0.0.1';

/** Lines of each program's output that a failure shows. */
const shownLines = 8;

const deployments = new Set<() => Promise<void>>();

export type RunningRouter = PlannedProcess & {
	/** What callers use: the relay's URL. */
	url: string;
	operatorsUrl: string;
	settings: string;
	child: Child;
};

export type RunningTarget = PlannedTarget & {
	/** What routers use: the relay's URL. */
	url: string;
	/** The target itself, without the relay: for the controls of the stand-in. */
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
	/** Posts a release note through any router that runs, and returns its revision. */
	release: (note: ReleaseNote, reason: string) => Promise<number>;
	/** Waits until all routers that run have the latest configuration in force. */
	settled: () => Promise<void>;
	/** Kills a router without warning. */
	kill: (router: string) => Promise<void>;
	/** Stops a router as planned, and returns its exit code. */
	term: (router: string) => Promise<number | null>;
	/** Starts a killed or stopped router again with the same settings. */
	restart: (router: string) => Promise<void>;
	/** Ends a process with the deployment that was started for it later. */
	adopt: (child: Child) => void;
	/** Last lines that each process has written. */
	outputs: () => string;
	/** Ends every process of the deployment. */
	stop: () => Promise<void>;
};

/** Starts a deployment; `options` go over `deploymentDefaults`. Leaves no process behind when it fails. */
export async function startDeployment(options: Partial<DeploymentOptions> = {}): Promise<Deployment> {
	const complete = {...deploymentDefaults, ...options};
	const children: Child[] = [];
	const directory = await mkdtemp(path.join(tmpdir(), 'shallotloom-bench-'));
	const stop = async () => {
		deployments.delete(stop);
		const isRouter = ({program}: Child) => program === routerProgram;
		// Routers hand on and finish what they hold while the rest still answers.
		await Promise.all(children.filter(child => isRouter(child)).map(async child => endChild(child)));
		await Promise.all(children.filter(child => !isRouter(child)).map(async child => endChild(child)));
		await rm(directory, {recursive: true, force: true});
	};

	deployments.add(stop);
	try {
		return await assemble(complete, {children, directory, stop});
	} catch (error) {
		const outputs = lastOutputs(children);
		await stop();
		throw new Error(`the deployment didn't start: ${String(error)}\n${outputs}`, {cause: error});
	}
}

/** Ends the processes of every deployment of this process, those that still start included. */
export async function stopDeployments(): Promise<void> {
	await Promise.all([...deployments].map(async stop => stop()));
}

type Assembly = {
	children: Child[];
	directory: string;
	stop: () => Promise<void>;
};

async function assemble(options: DeploymentOptions, {children, directory, stop}: Assembly): Promise<Deployment> {
	const plan = planDeployment(options);
	const start = async (name: string, program: string, args: string[]) => {
		const child = await startChild({name, program, args});
		children.push(child);
		return child;
	};

	const [platform, network] = await Promise.all([
		start('platform', standinProgram, ['platform', '--listen', await place(localHost)]),
		start('network', standinProgram, ['network', '--listen', await place(localHost)]),
	]);
	const networkUrl = urlOf(network);
	const platformUrl = urlOf(platform);
	await setDomains(networkUrl, plan.prefixes, options.delayMs);
	const relay = async (address: string, to: string) => {
		const listen = await place(address);
		await addLink(networkUrl, listen, to);
		return listen;
	};

	const targets = await Promise.all(plan.targets.map(async target => {
		const listen = await place(target.address);
		const args = targetArguments(target, listen, options);
		const child = await start(target.id, standinProgram, args);
		return {
			...target, child, args, directUrl: `http://${listen}`, url: `http://${await relay(target.address, listen)}`,
		};
	}));
	const routers = await Promise.all(plan.routers.map(async router => {
		const addresses = await routerAddresses(router, relay);
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
		outputs: () => lastOutputs(children),
		adopt(child) {
			children.push(child);
		},
		...routerControls(routers, start),
	};
	await releaseFirst(deployment, firstRelease(options, targets));
	await deployment.settled();
	await waitUntil('an owner for every target', async () => {
		const owned = await Promise.all(routers.map(async router => ownedTargets(router.operatorsUrl)));
		return owned.every(count => count === targets.length);
	});
	return deployment;
}

/** A router that has only just started may not have reached the platform yet; it then says that nothing was changed. */
async function releaseFirst(deployment: Deployment, note: ReleaseNote): Promise<void> {
	await waitUntil('the first release', async () => await deployment.release(note, 'first release') > 0);
}

function routerControls(routers: RunningRouter[], start: (name: string, program: string, args: string[]) => Promise<Child>) {
	const stopped = new Set<string>();
	const find = (id: string) => {
		const router = routers.find(candidate => candidate.id === id);
		if (!router) {
			throw new Error(`no router is named "${id}"`);
		}

		return router;
	};

	const alive = () => routers.filter(router => !stopped.has(router.id));

	return {
		async release(note: ReleaseNote, reason: string) {
			const [router] = alive();
			if (!router) {
				throw new Error('no router runs');
			}

			return postRelease(router.operatorsUrl, note, reason);
		},
		async settled() {
			const wanted = alive();
			await waitUntil('the configuration being in force everywhere', async () => {
				const statuses = await Promise.all(wanted.map(async router => fleetStatus(router.operatorsUrl)));
				const settled = statuses.every(status => status.inForce.members === wanted.length);
				return settled || fail(`the routers say ${JSON.stringify(statuses)}`);
			});
		},
		async kill(id: string) {
			stopped.add(id);
			const {child} = find(id);
			child.signal('SIGKILL');
			await child.exited;
		},
		async term(id: string) {
			stopped.add(id);
			const {child} = find(id);
			child.signal('SIGTERM');
			return child.exited;
		},
		async restart(id: string) {
			const router = find(id);
			router.child = await start(id, routerProgram, ['--settings', router.settings]);
			stopped.delete(id);
		},
	};
}

async function routerAddresses(
	{address}: PlannedProcess,
	relay: (address: string, to: string) => Promise<string>,
): Promise<RouterAddresses> {
	const callers = await place(address);
	const peers = await place(address);
	return {
		callers,
		peers,
		operators: await place(address),
		callersRelay: await relay(address, callers),
		peersRelay: await relay(address, peers),
	};
}

function targetArguments(target: PlannedTarget, listen: string, {engine}: DeploymentOptions): string[] {
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

/** `HOST:PORT` with a free port. */
async function place(address: string): Promise<string> {
	return `${address}:${await freePort(address)}`;
}

function urlOf(child: Child): string {
	const {listening} = child;
	return listening.endsWith('/') ? listening.slice(0, -1) : listening;
}

function lastOutputs(children: Child[]): string {
	return children.map(({name, output}) => [`${name}:`, ...output().slice(-shownLines)].join('\n  ')).join('\n');
}

/** Tells `waitUntil` why its check isn't true yet. */
function fail(reason: string): never {
	throw new Error(reason);
}
