/*
A failure domain dies under full load and comes back: its routers and targets are killed at once. What ran there is lost;
what callers send from then on, with addresses that they asked for anew, must not be.
*/
import type {Deployment} from '../deployment/deployment.ts';
import {killDomain, restartDomain} from '../deployment/domain-controls.ts';
import {sleep} from '../deployment/http.ts';
import {countEndings, isFailure, type RequestRecord} from '../load/record.ts';
import {atLeast, atMost, rounded} from '../measure/figures.ts';
import {goodputFraction, timeToGoodput, type GoodputOptions} from '../measure/goodput.ts';
import {fleetCapacity, routerUrls} from './capacity.ts';
import {coldOverrunsOf, enginesOf} from './engines.ts';
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
	const overrunsBefore = await coldOverrunsOf(enginesOf(deployment, domain));
	const diedMs = load.getElapsedMs();
	await killDomain(deployment, domain);
	progress(`${domain} died`);
	await sleep((durationMs * 0.6) - load.getElapsedMs());
	const backMs = load.getElapsedMs();
	await restartDomain(deployment, domain);
	progress(`${domain} is back`);
	await sleep(durationMs - load.getElapsedMs() - 200);
	const coldOverruns = overrunsBefore + await coldOverrunsOf(enginesOf(deployment));
	const {records, totals} = await load.finished;
	close();
	const {slots} = fleetCapacity(deployment.options);
	const survivingSlots = slots * (1 - (enginesOf(deployment, domain).length / enginesOf(deployment).length));
	const capacity = (of: number): GoodputOptions => ({...deployment.options.engine, totals, slots: of});
	const failures = records.filter(record => isFailure(record));
	const failedRequests = failures.filter(({sentMs}) => sentMs > diedMs + addressesKeptMs).length;
	const goodput = goodputFraction(capacity(survivingSlots), diedMs + allowedMs, backMs);
	return {
		failedRequests,
		failures: bySecond(failures, routerUrls(deployment, domain)),
		lostAtCrash: failures.filter(({sentMs}) => sentMs <= diedMs + addressesKeptMs).length,
		goodputFraction: rounded(goodput),
		coldOverruns,
		returnSeconds: rounded(timeToGoodput(capacity(slots), fullService, backMs, durationMs) / 1000),
		goodputBefore: rounded(goodputFraction(capacity(slots), diedMs / 2, diedMs)),
		endings: countEndings(records),
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
