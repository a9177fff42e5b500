/*
Planned stops under load: one router stops; then another stops while a third is killed. Callers follow the addresses
that they are told. Only the killed router's own callers may lose requests.
*/
import type {Deployment, RunningRouter} from '../deployment/deployment.ts';
import {sleep} from '../deployment/http.ts';
import {targetsOf} from '../deployment/operators.ts';
import type {RunningLoad} from '../load/load.ts';
import {endings} from '../load/record.ts';
import {atMost, roundToThousandths} from '../measure/figures.ts';
import {countCallerFailures} from './caller-failures.ts';
import {warmUpMs} from './capacity.ts';
import {getEngines, fetchEngineStats} from './engines.ts';
import {startFollowingLoad} from './following-load.ts';
import {
	withDeployment, type Scenario, type ScenarioResult, type ScenarioRun,
} from './scenario.ts';

/** Offered load as a multiple of the capacity: engines get requests all the time, and queues stay short. */
const loadFactor = 0.8;

/** Time after the start of a stop in which its targets change hands. */
const handoverMs = 3000;

/** Longest time for which a stopped router's engine may get no request while it changes hands, in seconds. */
const idleLimit = 1;

/** A stop takes 6.5 s while callers keep the address; answers of 2 s end in that time. */
const stopSecondsLimit = 12;

type Stop = {
	exitCode: number | null;
	seconds: number;
	/** Longest time without an admission at the stopped router's engines, in seconds. */
	idleSeconds: number;
};

export const stop: Scenario = {
	summary: 'a router stops as planned under load, another one while a third is killed',
	seconds: 36,
	run: async run => withDeployment({}, async deployment => measure(deployment, run)),
};

async function measure(deployment: Deployment, {seed, seconds, progress}: ScenarioRun): Promise<ScenarioResult> {
	const durationMs = seconds * 1000;
	const {load, close} = await startFollowingLoad(deployment, {
		seed, durationMs, loadFactor, drainMs: 5000,
	});
	const [first, second, third] = ownersInTurn(deployment, seed);
	await sleep(warmUpMs);
	const alone = await stopOne(deployment, load, first);
	progress(`${first.id} stopped in ${alone.seconds} s`);
	const stopping = stopOne(deployment, load, second);
	await sleep(500);
	await deployment.kill(third.id);
	progress(`${third.id} was killed`);
	const withKill = await stopping;
	progress(`${second.id} stopped in ${withKill.seconds} s`);
	const result = await load.finished;
	close();
	const {cutRequests, failedRequests, failedAtKilled} = countCallerFailures(result.records, [third.url]);
	const exitCodes = [alone.exitCode, withKill.exitCode];
	const stopSeconds = Math.max(alone.seconds, withKill.seconds);
	return {
		cutRequests,
		failedRequests,
		failedAtKilled,
		handoverIdleSeconds: alone.idleSeconds,
		handoverIdleSecondsWithKill: withKill.idleSeconds,
		stopSeconds,
		exitCodes,
		requests: result.records.length,
		endings: endings(result.records),
		bounds: {
			cutRequests: atMost(cutRequests, 0),
			failedRequests: atMost(failedRequests, 0),
			handoverIdleSeconds: atMost(alone.idleSeconds, idleLimit),
			stopSeconds: atMost(stopSeconds, stopSecondsLimit),
			stopsThatFailed: atMost(exitCodes.filter(code => code !== 0).length, 0),
		},
	};
}

/** Three routers of different failure domains, by the seed. */
function ownersInTurn({routers}: Deployment, seed: number): [RunningRouter, RunningRouter, RunningRouter] {
	const at = (index: number) => routers[(seed + index) % routers.length]!;
	return [at(0), at(1), at(2)];
}

async function stopOne(deployment: Deployment, load: RunningLoad, router: RunningRouter): Promise<Stop> {
	const owned = await targetsOf(router.operatorsUrl, router.id);
	const engines = getEngines(deployment).filter(({id}) => owned.includes(id));
	const from = load.elapsedMs();
	const exitCode = await deployment.term(router.id);
	const seconds = roundToThousandths((load.elapsedMs() - from) / 1000);
	const stats = await fetchEngineStats(engines);
	const gaps = stats.map(({admissions}) => longestGap(admissions.map(({at}) => at - load.startedAt), from, from + handoverMs));
	return {exitCode, seconds, idleSeconds: roundToThousandths(Math.max(0, ...gaps) / 1000)};
}

/** Longest time between two of the moments, or between one and an end of the window, that touches the window. */
function longestGap(moments: number[], from: number, until: number): number {
	const inside = moments.filter(moment => moment > from && moment < until);
	const before = moments.findLast(moment => moment <= from) ?? from;
	const edges = [before, ...inside, until];
	return Math.max(...edges.slice(1).map((moment, index) => moment - edges[index]!));
}
