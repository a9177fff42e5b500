/*
Utilisation: the part of the warm slots that are busy while any request waits, with more work than capacity. The baseline
binds each ticket to a target on arrival.
*/
import {Discipline} from '@shallotloom/core/limits.ts';
import type {Deployment} from '../deployment/deployment.ts';
import {deploymentDefaults} from '../deployment/plan.ts';
import {startLoad} from '../load/load.ts';
import {isRefusal, type RequestRecord} from '../load/record.ts';
import {schedule} from '../load/schedule.ts';
import {atLeast, computeMean, roundToThousandths} from '../measure/figures.ts';
import {computeFleetCapacity, getRouterUrls, createShareLoads} from './capacity.ts';
import {fetchEngineBudgets, getEngines, fetchRunningRequests} from './engines.ts';
import {startSampler, type Sample} from './sampler.ts';
import {withDeployment, type Scenario, type ScenarioRun} from './scenario.ts';

/**
Offered load as a multiple of the capacity: some request often waits, though not at every target. With a backlog at every
target, binding tickets on arrival would look as good as binding them late.
*/
const loadFactor = 0.97;

/** Load while the targets warm up, so that no backlog builds up meanwhile. */
const warmUpFactor = 0.5;

/** Time from which the full load comes and counts, in milliseconds. */
const measuredFromMs = 9000;

const sampleEveryMs = 100;

const leastBusy = 0.97;

export const utilisation: Scenario = {
	summary: 'how much of the warm slots is busy while any request waits',
	seconds: 44,
	async run(run) {
		const {busyFraction, allowedFraction, samples} = await measure(Discipline.Fair, run);
		const baseline = await measure(Discipline.Bound, run);
		return {
			busyFraction: roundToThousandths(busyFraction),
			baselineBusyFraction: roundToThousandths(baseline.busyFraction),
			samples,
			baselineSamples: baseline.samples,
			allowedFraction: roundToThousandths(allowedFraction),
			baselineAllowedFraction: roundToThousandths(baseline.allowedFraction),
			bounds: {busyFraction: atLeast(busyFraction, leastBusy)},
		};
	},
};

type Use = {
	/** Samples at which some request waited. */
	samples: number;
	busyFraction: number;
	/** Part of the warm slots that owners allowed to be used, over the same samples. */
	allowedFraction: number;
};

type SlotSample = {running: number; allowed: number};

async function measure(discipline: Discipline, {seed, seconds, progress}: ScenarioRun): Promise<Use> {
	const durationMs = seconds * 1000 / 2;
	const fairness = {...deploymentDefaults.fairness, discipline};
	return withDeployment({fairness}, async deployment => {
		progress(`${discipline}: load for ${durationMs / 1000} s`);
		const arrivals = schedule({seed, durationMs, loads: loadsOf(deployment)});
		const engines = getEngines(deployment);
		const load = startLoad({arrivals, durationMs, workspaces: deployment.workspaces});
		const sampler = startSampler(sampleEveryMs, async () => ({
			running: await fetchRunningRequests(engines), allowed: await fetchEngineBudgets(deployment),
		}));
		const {records} = await load.finished;
		await sampler.stop();
		return useOf(sampler.samples, records, computeFleetCapacity(deployment.options).slots);
	});
}

/** All workspaces enter through routers of one failure domain and a half, so that work must move to find free slots. */
function loadsOf(deployment: Deployment) {
	const [first, second] = deployment.options.failureDomains;
	const entriesOf = ({id}: {id: string}) => getRouterUrls(deployment, Number(id.slice(-1)) % 3 === 0 ? second : first);
	return [
		...createShareLoads(deployment, {getLoadFactor: () => warmUpFactor, getEntries: entriesOf}).map(load => ({...load, untilMs: measuredFromMs})),
		...createShareLoads(deployment, {getLoadFactor: () => loadFactor, getEntries: entriesOf}).map(load => ({...load, fromMs: measuredFromMs})),
	];
}

/** Mean parts of the slots that were used and allowed, over the samples after the warm-up at which some request waited. */
function useOf(samples: Array<Sample<SlotSample>>, records: RequestRecord[], slots: number): Use {
	const counted = samples.filter(({atMs}) => atMs >= measuredFromMs && anyWaits(records, atMs));
	return {
		samples: counted.length,
		busyFraction: computeMean(counted.map(({value}) => Math.min(1, value.running / slots))),
		allowedFraction: computeMean(counted.map(({value}) => value.allowed / slots)),
	};
}

function anyWaits(records: RequestRecord[], atMs: number): boolean {
	// A request that was sent just now may not have reached a router yet, and one that is about to start is on its way.
	const marginMs = 100;
	return records.some(record => !isRefusal(record)
		&& record.sentMs < atMs - marginMs
		&& (Number.isNaN(record.firstByteMs) || record.firstByteMs > atMs + marginMs));
}
