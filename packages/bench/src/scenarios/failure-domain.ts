/*
Under full load, operators take a failure domain out of service with one release and bring it back with another. Callers use the
addresses that routers return, and follow Retry-After.
*/
import {Standing} from '@shallotloom/core/configuration.ts';
import {sleep} from '../deployment/http.ts';
import type {Deployment} from '../deployment/deployment.ts';
import type {LoadResult, RunningLoad} from '../load/load.ts';
import {countEndings, isFailure} from '../load/record.ts';
import {atLeast, atMost, roundToThousandths} from '../measure/figures.ts';
import {computeGoodputFraction, computeTimeToGoodput, type GoodputOptions} from '../measure/goodput.ts';
import {computeFleetCapacity} from './capacity.ts';
import {fetchColdOverruns, getEngines, fetchEngineStats} from './engines.ts';
import {startFollowingLoad} from './following-load.ts';
import {
	withDeployment, type Scenario, type ScenarioResult, type ScenarioRun,
} from './scenario.ts';

const domain = 'labasa';

/** Offered load as a multiple of the full capacity: enough to use all engines, both without the domain and after its return. */
const loadFactor = 1.1;

/** Time after the release in which the domain may still get new work. */
const maxNewWorkMs = 3000;

/** Fraction of the capacity that counts as full service. */
const fullServiceFraction = 0.95;

/** Times in milliseconds from the start of the load. */
type Measurement = {outMs: number; backMs: number; lastDispatchMs: number; coldOverruns: number};

export const failureDomain: Scenario = {
	summary: 'service while a failure domain is taken out and brought back',
	seconds: 42,
	run: async run => withDeployment({}, async deployment => measure(deployment, run)),
};

async function measure(deployment: Deployment, {seed, seconds, progress}: ScenarioRun): Promise<ScenarioResult> {
	const durationMs = seconds * 1000;
	const {load, close} = await startFollowingLoad(deployment, {
		seed, durationMs, loadFactor, burstSeconds: 2,
	});
	const measurement = await takeOutAndBringBack(deployment, load, durationMs, progress);
	const result = await load.finished;
	close();
	return createResult(deployment, result, measurement, durationMs);
}

async function takeOutAndBringBack(deployment: Deployment, load: RunningLoad, durationMs: number, progress: (text: string) => void): Promise<Measurement> {
	const engines = getEngines(deployment, domain);
	const setStanding = async (standing: Standing) => {
		await deployment.release({changed: {failureDomains: [{name: domain, standing}]}}, `${domain} ${standing}`);
		progress(`${domain} is ${standing}`);
		return load.getElapsedMs();
	};

	await sleep(durationMs / 4);
	const outMs = await setStanding(Standing.Out);
	await sleep((durationMs * 0.6) - load.getElapsedMs());
	const lastDispatchMs = await fetchLastDispatchMs(engines, load.startedAt);
	const backMs = await setStanding(Standing.In);
	await sleep(durationMs - load.getElapsedMs() - 200);
	return {
		outMs, backMs, lastDispatchMs, coldOverruns: await fetchColdOverruns(getEngines(deployment)),
	};
}

async function fetchLastDispatchMs(engines: ReturnType<typeof getEngines>, startedAt: number): Promise<number> {
	const stats = await fetchEngineStats(engines);
	return Math.max(0, ...stats.flatMap(({admissions}) => admissions.map(({at}) => at - startedAt)));
}

function createResult(deployment: Deployment, result: LoadResult, measurement: Measurement, durationMs: number): ScenarioResult {
	const {outMs, backMs, lastDispatchMs, coldOverruns} = measurement;
	const {slots} = computeFleetCapacity(deployment.options);
	const survivingSlots = slots * (1 - (getEngines(deployment, domain).length / getEngines(deployment).length));
	const createGoodputOptions = (usableSlots: number): GoodputOptions => ({...deployment.options.engine, totals: result.totals, slots: usableSlots});
	const newWorkAfterSeconds = Math.max(0, lastDispatchMs - outMs) / 1000;
	const failedRequests = result.records.filter(record => isFailure(record)).length;
	const goodput = computeGoodputFraction(createGoodputOptions(survivingSlots), outMs + maxNewWorkMs, backMs);
	return {
		newWorkAfterSeconds: roundToThousandths(newWorkAfterSeconds),
		failedRequests,
		goodputFraction: roundToThousandths(goodput),
		coldOverruns,
		returnSeconds: roundToThousandths(computeTimeToGoodput(createGoodputOptions(slots), fullServiceFraction, backMs, durationMs) / 1000),
		goodputBefore: roundToThousandths(computeGoodputFraction(createGoodputOptions(slots), outMs / 2, outMs)),
		endings: countEndings(result.records),
		bounds: {
			newWorkAfterSeconds: atMost(newWorkAfterSeconds, maxNewWorkMs / 1000),
			failedRequests: atMost(failedRequests, 0),
			goodputFraction: atLeast(goodput, fullServiceFraction),
			coldOverruns: atMost(coldOverruns, 0),
		},
	};
}
