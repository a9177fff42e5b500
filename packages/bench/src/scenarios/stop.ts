/*
Planned stops under load: one router stops, then another stops while a third is killed. Callers use the addresses that routers
return. Only requests that were sent to the killed router may fail.
*/
import type {Deployment, RunningRouter} from '../deployment/deployment.ts';
import {sleep} from '../deployment/http.ts';
import {getOwnedTargetIds} from '../deployment/operators.ts';
import type {RunningLoad} from '../load/load.ts';
import {countEndings} from '../load/record.ts';
import {atMost, roundToThousandths} from '../measure/figures.ts';
import {countCallerFailures} from './caller-failures.ts';
import {warmUpMs} from './capacity.ts';
import {getEngines, fetchEngineStats} from './engines.ts';
import {startFollowingLoad} from './following-load.ts';
import {
	withDeployment, type Scenario, type ScenarioResult, type ScenarioRun,
} from './scenario.ts';

/** Offered load as a multiple of the capacity, so that engines always get requests and queues stay short. */
const loadFactor = 0.8;

/** Time after the start of a stop in which its targets get new owners. */
const handoverMs = 3000;

/** Maximum time without requests for an engine of a stopping router while it gets a new owner, in seconds. */
const maxIdleSeconds = 1;

/** A stop takes 6.5 s, while callers may have cached the address; answers of 2 s end within that time. */
const maxStopSeconds = 12;

type StopMeasurement = {
	exitCode: number | null;
	seconds: number;
	/** Longest time without an admission at one of the stopped router's engines, in seconds. */
	idleSeconds: number;
};

export const stop: Scenario = {
	summary: 'planned stop of a router under load, and of another while a third is killed',
	seconds: 36,
	run: async run => withDeployment({}, async deployment => measure(deployment, run)),
};

async function measure(deployment: Deployment, {seed, seconds, progress}: ScenarioRun): Promise<ScenarioResult> {
	const durationMs = seconds * 1000;
	const {load, close} = await startFollowingLoad(deployment, {
		seed, durationMs, loadFactor, drainMs: 5000,
	});
	const [first, second, third] = selectRouters(deployment, seed);
	await sleep(warmUpMs);
	const firstStop = await stopRouter(deployment, load, first);
	progress(`${first.id} stopped in ${firstStop.seconds} s`);
	const pendingStop = stopRouter(deployment, load, second);
	await sleep(500);
	await deployment.kill(third.id);
	progress(`${third.id} killed`);
	const secondStop = await pendingStop;
	progress(`${second.id} stopped in ${secondStop.seconds} s`);
	const result = await load.finished;
	close();
	const {cutRequests, failedRequests, failedAtKilled} = countCallerFailures(result.records, [third.url]);
	const exitCodes = [firstStop.exitCode, secondStop.exitCode];
	const stopSeconds = Math.max(firstStop.seconds, secondStop.seconds);
	return {
		cutRequests,
		failedRequests,
		failedAtKilled,
		handoverIdleSeconds: firstStop.idleSeconds,
		handoverIdleSecondsWithKill: secondStop.idleSeconds,
		stopSeconds,
		exitCodes,
		requests: result.records.length,
		endings: countEndings(result.records),
		bounds: {
			cutRequests: atMost(cutRequests, 0),
			failedRequests: atMost(failedRequests, 0),
			handoverIdleSeconds: atMost(firstStop.idleSeconds, maxIdleSeconds),
			stopSeconds: atMost(stopSeconds, maxStopSeconds),
			stopsThatFailed: atMost(exitCodes.filter(code => code !== 0).length, 0),
		},
	};
}

/** Selects three routers of different failure domains by the seed. */
function selectRouters({routers}: Deployment, seed: number): [RunningRouter, RunningRouter, RunningRouter] {
	const at = (index: number) => routers[(seed + index) % routers.length]!;
	return [at(0), at(1), at(2)];
}

async function stopRouter(deployment: Deployment, load: RunningLoad, router: RunningRouter): Promise<StopMeasurement> {
	const owned = await getOwnedTargetIds(router.operatorsUrl, router.id);
	const engines = getEngines(deployment).filter(({id}) => owned.includes(id));
	const from = load.getElapsedMs();
	const exitCode = await deployment.terminate(router.id);
	const seconds = roundToThousandths((load.getElapsedMs() - from) / 1000);
	const stats = await fetchEngineStats(engines);
	const gaps = stats.map(({admissions}) => computeLongestGap(admissions.map(({at}) => at - load.startedAt), from, from + handoverMs));
	return {exitCode, seconds, idleSeconds: roundToThousandths(Math.max(0, ...gaps) / 1000)};
}

/** Longest interval between times that overlaps the window, up to its end; its start counts if no time lies before it. */
function computeLongestGap(times: number[], from: number, until: number): number {
	const inside = times.filter(time => time > from && time < until);
	const before = times.findLast(time => time <= from) ?? from;
	const edges = [before, ...inside, until];
	return Math.max(...edges.slice(1).map((time, index) => time - edges[index]!));
}
