/*
Calls that may run only once, while routers are killed and started again and the platform goes down, slows down and loses
answers. Callers come back with the same key at other routers; the services count the runs of every key.
*/
import {Agent} from 'undici';
import {TargetKind} from '@shallotloom/core/configuration.ts';
import {callJson, sleep} from '../deployment/http.ts';
import type {Deployment} from '../deployment/deployment.ts';
import {clientAddress} from '../deployment/plan.ts';
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

/** Every so many keys are sent by two callers at the same time. */
const twinEvery = 8;

/** Time without faults in which callers may still come back. */
const quietMs = 15_000;

const killEveryMs = 3000;
const platformFaultEveryMs = 5000;
const platformFaultMs = 2500;
const platformFaults = [{down: true}, {slowMs: 1500}, {loseAnswers: 0.3}, {slowMs: 2500}];

export const atMostOnce: Scenario = {
	summary: 'calls that may run only once, while routers are killed and the platform fails',
	seconds: 30,
	run: async run => withDeployment({engines: 0, services: 3}, async deployment => measure(deployment, run)),
};

async function measure(deployment: Deployment, {seed, seconds, progress}: ScenarioRun): Promise<ScenarioResult> {
	const agent = new Agent({connect: {localAddress: clientAddress(0)}});
	const stopAt = performance.now() + (seconds * 1000);
	const kills: Kill[] = [];
	const [calls] = await Promise.all([
		startCalls(deployment, {random: createRandom(seed, 3), stopAt, agent}),
		killRouters(deployment, {
			random: createRandom(seed, 1), stopAt, kills, progress,
		}),
		failPlatform(deployment, {random: createRandom(seed, 2), stopAt, progress}),
	]);
	const results = await Promise.all(calls);
	await agent.destroy();
	return figures(results, kills, await serviceLogs(deployment));
}

type Load = {random: Random; stopAt: number; agent: Agent};

async function startCalls(deployment: Deployment, {random, stopAt, agent}: Load): Promise<Array<Promise<OnceCall>>> {
	const routers = getRouterUrls(deployment);
	const nextRouter = () => routers[Math.floor(random.uniform() * routers.length)] ?? '';
	const calls: Array<Promise<OnceCall>> = [];
	for (let number = 0; performance.now() < stopAt; number++) {
		const workspace = deployment.workspaces[number % deployment.workspaces.length]!;
		const caller = {
			key: `key-${number}`, workspaceKey: workspace.key, agent, nextRouter, endAt: stopAt + quietMs, deadlineMs,
		};
		calls.push(callOnce(caller));
		if (number % twinEvery === 0) {
			calls.push(callOnce(caller));
		}

		await sleep(random.exponential(1000 / keysPerSecond));
	}

	return calls;
}

type Faults = {random: Random; stopAt: number; progress: (text: string) => void};

async function killRouters(deployment: Deployment, {random, stopAt, kills, progress}: Faults & {kills: Kill[]}): Promise<void> {
	while (performance.now() + killEveryMs < stopAt) {
		await sleep(killEveryMs * (0.5 + random.uniform()));
		const {id} = deployment.routers[Math.floor(random.uniform() * deployment.routers.length)]!;
		progress(`${id} is killed`);
		kills.push({router: id, at: Date.now()});
		await deployment.kill(id);
		await sleep(random.uniform() * 3000);
		await deployment.restart(id);
	}
}

async function failPlatform({platformUrl}: Deployment, {random, stopAt, progress}: Faults): Promise<void> {
	while (performance.now() + platformFaultEveryMs < stopAt) {
		await sleep(platformFaultEveryMs * random.uniform());
		const fault = platformFaults[Math.floor(random.uniform() * platformFaults.length)]!;
		progress(`platform: ${JSON.stringify(fault)}`);
		await setFaults(platformUrl, fault);
		await sleep(platformFaultMs);
		await clearFaults(platformUrl);
	}
}

async function serviceLogs({targets}: Deployment): Promise<ServiceStats[]> {
	const services = targets.filter(({kind}) => kind === TargetKind.Service);
	return Promise.all(services.map(async ({directUrl}) => callJson<ServiceStats>(`${directUrl}/standin/stats`)));
}

function figures(calls: OnceCall[], kills: Kill[], logs: ServiceStats[]): ScenarioResult {
	const judged = computeOnceFigures(calls, kills, logs);
	const {
		doubleRuns, lostAnswers, untrueRefusals, differentAnswers,
	} = judged;
	return {
		...judged,
		kills: kills.length,
		bounds: {
			doubleRuns: atMost(doubleRuns, 0),
			lostAnswers: atMost(lostAnswers, 0),
			untrueRefusals: atMost(untrueRefusals, 0),
			differentAnswers: atMost(differentAnswers, 0),
		},
	};
}
