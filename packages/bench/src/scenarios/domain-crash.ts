/*
A failure domain crashes under full load and returns: all its routers and targets are killed at once. Requests that ran there
are lost; requests that callers send after they have refreshed their addresses must not be.
*/
import type {Deployment} from '../deployment/deployment.ts';
import {killDomain, restartDomain} from '../deployment/domain-controls.ts';
import {sleep} from '../deployment/http.ts';
import {countEndings, isFailure, type RequestRecord} from '../load/record.ts';
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

/** Time from the crash until goodput is measured; equals the time in which a domain that is taken out may get new work. */
const recoveryMs = 3000;

/** Callers cache an address for 5 s, so requests that they send to a crashed router in this time are expected to fail. */
const staleAddressMs = 6000;

const fullServiceFraction = 0.95;

export const domainCrash: Scenario = {
	summary: 'service while a failure domain crashes at once and returns',
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
	const crashedMs = load.getElapsedMs();
	await killDomain(deployment, domain);
	progress(`${domain} crashed`);
	await sleep((durationMs * 0.6) - load.getElapsedMs());
	const restartedMs = load.getElapsedMs();
	await restartDomain(deployment, domain);
	progress(`${domain} restarted`);
	await sleep(durationMs - load.getElapsedMs() - 200);
	const coldOverruns = overrunsBefore + await fetchColdOverruns(getEngines(deployment));
	const {records, totals} = await load.finished;
	close();
	const {slots} = computeFleetCapacity(deployment.options);
	const survivingSlots = slots * (1 - (getEngines(deployment, domain).length / getEngines(deployment).length));
	const createGoodputOptions = (usableSlots: number): GoodputOptions => ({...deployment.options.engine, totals, slots: usableSlots});
	const failures = records.filter(record => isFailure(record));
	const failedRequests = failures.filter(({sentMs}) => sentMs > crashedMs + staleAddressMs).length;
	const goodput = computeGoodputFraction(createGoodputOptions(survivingSlots), crashedMs + recoveryMs, restartedMs);
	return {
		failedRequests,
		failures: countFailuresBySecond(failures, getRouterUrls(deployment, domain)),
		lostAtCrash: failures.filter(({sentMs}) => sentMs <= crashedMs + staleAddressMs).length,
		goodputFraction: roundToThousandths(goodput),
		coldOverruns,
		returnSeconds: roundToThousandths(computeTimeToGoodput(createGoodputOptions(slots), fullServiceFraction, restartedMs, durationMs) / 1000),
		goodputBefore: roundToThousandths(computeGoodputFraction(createGoodputOptions(slots), crashedMs / 2, crashedMs)),
		endings: countEndings(records),
		bounds: {
			failedRequests: atMost(failedRequests, 0),
			goodputFraction: atLeast(goodput, fullServiceFraction),
			coldOverruns: atMost(coldOverruns, 0),
		},
	};
}

/** Counts failures by the second of their sending, as `crashed+others`: at routers of the crashed domain and at others. */
function countFailuresBySecond(failures: RequestRecord[], crashedUrls: string[]): Record<string, string> {
	const counts = new Map<number, {crashed: number; others: number}>();
	for (const {sentMs, entry} of failures) {
		const second = Math.floor(sentMs / 1000);
		const count = counts.get(second) ?? {crashed: 0, others: 0};
		count[crashedUrls.includes(entry) ? 'crashed' : 'others'] += 1;
		counts.set(second, count);
	}

	return Object.fromEntries([...counts].map(([second, {crashed, others}]) => [second, `${crashed}+${others}`]));
}
