/*
A failure domain dies under full load and comes back: its routers and targets are killed at once. What ran there is lost;
what callers send from then on, with addresses that they asked for anew, must not be.
*/
import type {Deployment} from '../deployment/deployment.ts';
import {killDomain, restartDomain} from '../deployment/domain-controls.ts';
import {sleep} from '../deployment/http.ts';
import {endings, isFailure, type RequestRecord} from '../load/record.ts';
import {atLeast, atMost, roundToThousandths} from '../measure/figures.ts';
import {computeGoodputFraction, computeTimeToGoodput, type GoodputOptions} from '../measure/goodput.ts';
import {computeFleetCapacity, getRouterUrls} from './capacity.ts';
import {fetchColdOverruns, getEngines} from './engines.ts';
import {startFollowingLoad} from './following-load.ts';
import {
	withDeployment, type Scenario, type ScenarioResult, type ScenarioRun,
} from './scenario.ts';

const domain = 'labasa';

/** Offered load as a multiple of the full capacity. */
const loadFactor = 1.1;

/** Time after which goodput counts: as long as a domain that is taken out may still get new work. */
const allowedMs = 3000;

/** Callers keep an address for 5 s; a request that they send to a dead router in that time is lost with it. */
const addressesKeptMs = 6000;

const fullService = 0.95;

export const domainCrash: Scenario = {
	summary: 'service while a failure domain dies at once and comes back',
	seconds: 44,
	run: async run => withDeployment({}, async deployment => measure(deployment, run)),
};

async function measure(deployment: Deployment, {seed, seconds, progress}: ScenarioRun): Promise<ScenarioResult> {
	const durationMs = seconds * 1000;
	const {load, close} = await startFollowingLoad(deployment, {
		seed, durationMs, loadFactor, burstSeconds: 2,
	});
	await sleep(durationMs / 4);
	const overrunsBefore = await fetchColdOverruns(getEngines(deployment, domain));
	const diedMs = load.elapsedMs();
	await killDomain(deployment, domain);
	progress(`${domain} died`);
	await sleep((durationMs * 0.6) - load.elapsedMs());
	const backMs = load.elapsedMs();
	await restartDomain(deployment, domain);
	progress(`${domain} is back`);
	await sleep(durationMs - load.elapsedMs() - 200);
	const coldOverruns = overrunsBefore + await fetchColdOverruns(getEngines(deployment));
	const {records, totals} = await load.finished;
	close();
	const {slots} = computeFleetCapacity(deployment.options);
	const survivingSlots = slots * (1 - (getEngines(deployment, domain).length / getEngines(deployment).length));
	const capacity = (of: number): GoodputOptions => ({...deployment.options.engine, totals, slots: of});
	const failures = records.filter(record => isFailure(record));
	const failedRequests = failures.filter(({sentMs}) => sentMs > diedMs + addressesKeptMs).length;
	const goodput = computeGoodputFraction(capacity(survivingSlots), diedMs + allowedMs, backMs);
	return {
		failedRequests,
		failures: bySecond(failures, getRouterUrls(deployment, domain)),
		lostAtCrash: failures.filter(({sentMs}) => sentMs <= diedMs + addressesKeptMs).length,
		goodputFraction: roundToThousandths(goodput),
		coldOverruns,
		returnSeconds: roundToThousandths(computeTimeToGoodput(capacity(slots), fullService, backMs, durationMs) / 1000),
		goodputBefore: roundToThousandths(computeGoodputFraction(capacity(slots), diedMs / 2, diedMs)),
		endings: endings(records),
		bounds: {
			failedRequests: atMost(failedRequests, 0),
			goodputFraction: atLeast(goodput, fullService),
			coldOverruns: atMost(coldOverruns, 0),
		},
	};
}

/** Failures by the second in which the request was sent, apart for routers of the failed domain and for others. */
function bySecond(failures: RequestRecord[], deadUrls: string[]): Record<string, string> {
	const counts = new Map<number, {dead: number; others: number}>();
	for (const {sentMs, entry} of failures) {
		const second = Math.floor(sentMs / 1000);
		const count = counts.get(second) ?? {dead: 0, others: 0};
		count[deadUrls.includes(entry) ? 'dead' : 'others'] += 1;
		counts.set(second, count);
	}

	return Object.fromEntries([...counts].map(([second, {dead, others}]) => [second, `${dead}+${others}`]));
}
