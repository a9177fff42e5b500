/*
Once calls while routers are killed and restarted and the platform is down, slow or loses answers. Callers retry with the same
key at other routers; the service stand-ins count the runs of every key.
*/
import {Agent} from 'undici';
import {TargetKind} from '@shallotloom/core/configuration.ts';
import {callJson, sleep} from '../deployment/http.ts';
import type {Deployment} from '../deployment/deployment.ts';
import {getClientAddress} from '../deployment/plan.ts';
import {clearFaults, setFaults} from '../deployment/standin.ts';
import {callOnce, type OnceCall} from '../load/once-caller.ts';
import {createRandom, type Random} from '../load/random.ts';
import {atMost} from '../measure/figures.ts';
import {computeOnceFigures, type Kill, type ServiceStats} from '../measure/once.ts';
import {getRouterUrls} from './capacity.ts';
import {
	withDeployment, type Scenario, type ScenarioResult, type ScenarioRun,
} from './scenario.ts';

const keysPerSecond = 60;
const deadlineMs = 4000;

/** One in this many keys is sent by two callers at the same time. */
const keysPerDuplicate = 8;

/** Time after the load, without new faults, in which callers may still retry. */
const maxRetryMs = 15_000;

const killIntervalMs = 3000;
const maxPlatformFaultPauseMs = 5000;
const platformFaultMs = 2500;
const platformFaults = [{down: true}, {slowMs: 1500}, {loseAnswers: 0.3}, {slowMs: 2500}];

export const atMostOnce: Scenario = {
	summary: 'once calls while routers are killed and the platform fails',
	seconds: 30,
	run: async run => withDeployment({engines: 0, services: 3}, async deployment => measure(deployment, run)),
};

async function measure(deployment: Deployment, {seed, seconds, progress}: ScenarioRun): Promise<ScenarioResult> {
	const agent = new Agent({connect: {localAddress: getClientAddress(0)}});
	const stopAt = performance.now() + (seconds * 1000);
	const kills: Kill[] = [];
	const [calls] = await Promise.all([
		startOnceCalls(deployment, {random: createRandom(seed, 3), stopAt, agent}),
		killRouters(deployment, {
			random: createRandom(seed, 1), stopAt, kills, progress,
		}),
		injectPlatformFaults(deployment, {random: createRandom(seed, 2), stopAt, progress}),
	]);
	const results = await Promise.all(calls);
	await agent.destroy();
	return createResult(results, kills, await fetchServiceStats(deployment));
}

type CallOptions = {random: Random; stopAt: number; agent: Agent};

async function startOnceCalls(deployment: Deployment, {random, stopAt, agent}: CallOptions): Promise<Array<Promise<OnceCall>>> {
	const routers = getRouterUrls(deployment);
	const getRandomRouter = () => routers[Math.floor(random.uniform() * routers.length)] ?? '';
	const calls: Array<Promise<OnceCall>> = [];
	for (let number = 0; performance.now() < stopAt; number++) {
		const workspace = deployment.workspaces[number % deployment.workspaces.length]!;
		const caller = {
			key: `key-${number}`, workspaceKey: workspace.key, agent, nextRouter: getRandomRouter, endAt: stopAt + maxRetryMs, deadlineMs,
		};
		calls.push(callOnce(caller));
		if (number % keysPerDuplicate === 0) {
			calls.push(callOnce(caller));
		}

		await sleep(random.exponential(1000 / keysPerSecond));
	}

	return calls;
}

type FaultOptions = {random: Random; stopAt: number; progress: (text: string) => void};

async function killRouters(deployment: Deployment, {random, stopAt, kills, progress}: FaultOptions & {kills: Kill[]}): Promise<void> {
	while (performance.now() + killIntervalMs < stopAt) {
		await sleep(killIntervalMs * (0.5 + random.uniform()));
		const {id} = deployment.routers[Math.floor(random.uniform() * deployment.routers.length)]!;
		progress(`${id} killed`);
		kills.push({router: id, at: Date.now()});
		await deployment.kill(id);
		await sleep(random.uniform() * 3000);
		await deployment.restart(id);
	}
}

async function injectPlatformFaults({platformUrl}: Deployment, {random, stopAt, progress}: FaultOptions): Promise<void> {
	while (performance.now() + maxPlatformFaultPauseMs < stopAt) {
		await sleep(maxPlatformFaultPauseMs * random.uniform());
		const fault = platformFaults[Math.floor(random.uniform() * platformFaults.length)]!;
		progress(`platform fault: ${JSON.stringify(fault)}`);
		await setFaults(platformUrl, fault);
		await sleep(platformFaultMs);
		await clearFaults(platformUrl);
	}
}

async function fetchServiceStats({targets}: Deployment): Promise<ServiceStats[]> {
	const services = targets.filter(({kind}) => kind === TargetKind.Service);
	return Promise.all(services.map(async ({directUrl}) => callJson<ServiceStats>(`${directUrl}/standin/stats`)));
}

function createResult(calls: OnceCall[], kills: Kill[], services: ServiceStats[]): ScenarioResult {
	const onceFigures = computeOnceFigures(calls, kills, services);
	const {
		doubleRuns, lostAnswers, untrueRefusals, differentAnswers,
	} = onceFigures;
	return {
		...onceFigures,
		kills: kills.length,
		bounds: {
			doubleRuns: atMost(doubleRuns, 0),
			lostAnswers: atMost(lostAnswers, 0),
			untrueRefusals: atMost(untrueRefusals, 0),
			differentAnswers: atMost(differentAnswers, 0),
		},
	};
}
