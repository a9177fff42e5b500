/*
All routers are restarted in turn under load, each after the previous one serves again. Callers use the addresses that routers
return.
*/
import type {Deployment, RunningRouter} from '../deployment/deployment.ts';
import {sleep, waitUntil} from '../deployment/http.ts';
import {getFleetStatus} from '../deployment/operators.ts';
import {countEndings} from '../load/record.ts';
import {atLeast, atMost, roundToThousandths} from '../measure/figures.ts';
import {countCallerFailures} from './caller-failures.ts';
import {startFollowingLoad} from './following-load.ts';
import {
	withDeployment, type Scenario, type ScenarioResult, type ScenarioRun,
} from './scenario.ts';

const loadFactor = 0.7;

/** Duration of the load before the first restart, in milliseconds. */
const leadInMs = 3000;

/** Shorter than the default, so that nine planned stops fit into the scenario. */
const addressTtlMs = 2000;

export const rollingRestart: Scenario = {
	summary: 'all routers are restarted in turn under load',
	seconds: 58,
	run: async run => withDeployment({addressTtlMs}, async deployment => measure(deployment, run)),
};

type Restart = {exitCode: number | null; stopSeconds: number; startSeconds: number};

async function measure(deployment: Deployment, {seed, seconds, progress}: ScenarioRun): Promise<ScenarioResult> {
	const durationMs = seconds * 1000;
	const {load, close} = await startFollowingLoad(deployment, {
		seed, durationMs, loadFactor, drainMs: 5000,
	});
	await sleep(leadInMs);
	const restarts: Restart[] = [];
	for (const router of deployment.routers) {
		const restart = await restartRouter(deployment, router);
		restarts.push(restart);
		progress(`${router.id} stopped in ${restart.stopSeconds} s, started in ${restart.startSeconds} s, at ${Math.round(load.getElapsedMs() / 1000)} s`);
	}

	const allSeconds = roundToThousandths(load.getElapsedMs() / 1000);
	const result = await load.finished;
	close();
	const {cutRequests, failedRequests} = countCallerFailures(result.records);
	const restarted = restarts.filter(({exitCode}) => exitCode === 0).length;
	return {
		cutRequests,
		failedRequests,
		restarted,
		allSeconds,
		stopSeconds: Math.max(...restarts.map(({stopSeconds}) => stopSeconds)),
		startSeconds: Math.max(...restarts.map(({startSeconds}) => startSeconds)),
		requests: result.records.length,
		endings: countEndings(result.records),
		bounds: {
			cutRequests: atMost(cutRequests, 0),
			failedRequests: atMost(failedRequests, 0),
			restarted: atLeast(restarted, deployment.routers.length),
			allSeconds: atMost(allSeconds, seconds),
		},
	};
}

async function restartRouter(deployment: Deployment, router: RunningRouter): Promise<Restart> {
	const beganAt = performance.now();
	const exitCode = await deployment.terminate(router.id);
	const stoppedAt = performance.now();
	await deployment.restart(router.id);
	await waitUntil(`${router.id} being ready`, async () => isReady(router));
	return {
		exitCode,
		stopSeconds: roundToThousandths((stoppedAt - beganAt) / 1000),
		startSeconds: roundToThousandths((performance.now() - stoppedAt) / 1000),
	};
}

/** Whether a router has a configuration and receives digests of the other routers. */
async function isReady({operatorsUrl}: RunningRouter): Promise<boolean> {
	const {inForce} = await getFleetStatus(operatorsUrl);
	return inForce.members === inForce.of && inForce.of > 1;
}
