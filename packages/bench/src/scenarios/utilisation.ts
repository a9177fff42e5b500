/*
Utilisation: the fraction of the warm slots that are busy while any request waits, at a load close to the capacity. The baseline
binds each ticket to a target on arrival.
*/
import {Discipline} from '@shallotloom/core/limits.ts';
import type {Deployment} from '../deployment/deployment.ts';
import {defaultDeploymentOptions} from '../deployment/plan.ts';
import {startLoad} from '../load/load.ts';
import {isRefusal, type RequestRecord} from '../load/record.ts';
import {createSchedule} from '../load/schedule.ts';
import {atLeast, computeMean, roundToThousandths} from '../measure/figures.ts';
import {computeFleetCapacity, getRouterUrls, createShareLoads} from './capacity.ts';
import {fetchEngineBudgets, getEngines, fetchRunningRequests} from './engines.ts';
import {startSampler, type Sample} from './sampler.ts';
import {withDeployment, type Scenario, type ScenarioRun} from './scenario.ts';

/**
Offered load as a multiple of the capacity, so that requests often wait, but not at every target. With a backlog at every
target, binding tickets on arrival would give the same utilisation as late binding.
*/
const loadFactor = 0.97;

/** Offered load while the targets warm up, as a multiple of the capacity: low enough that no backlog builds up. */
const warmUpFactor = 0.5;

/** Time from which the full load is offered and measured, in milliseconds. */
const measuredFromMs = 9000;

const sampleIntervalMs = 100;

const minBusyFraction = 0.97;

export const utilisation: Scenario = {
	summary: 'fraction of the warm slots that are busy while any request waits',
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
			bounds: {busyFraction: atLeast(busyFraction, minBusyFraction)},
		};
	},
};

type SlotUsage = {
	/** Number of samples at which a request waited. */
	samples: number;
	busyFraction: number;
	/** Fraction of the warm slots that the owners' budgets allowed to use, over the same samples. */
	allowedFraction: number;
};

type SlotSample = {running: number; allowed: number};

async function measure(discipline: Discipline, {seed, seconds, progress}: ScenarioRun): Promise<SlotUsage> {
	const durationMs = seconds * 1000 / 2;
	const fairness = {...defaultDeploymentOptions.fairness, discipline};
	return withDeployment({fairness}, async deployment => {
		progress(`${discipline}: load for ${durationMs / 1000} s`);
		const arrivals = createSchedule({seed, durationMs, loads: createLoads(deployment)});
		const engines = getEngines(deployment);
		const load = startLoad({arrivals, durationMs, workspaces: deployment.workspaces});
		const sampler = startSampler(sampleIntervalMs, async () => ({
			running: await fetchRunningRequests(engines), allowed: await fetchEngineBudgets(deployment),
		}));
		const {records} = await load.finished;
		await sampler.stop();
		return computeSlotUsage(sampler.samples, records, computeFleetCapacity(deployment.options).slots);
	});
}

/** Most workspaces send to the first failure domain, the rest to the second: requests must move to find free slots. */
function createLoads(deployment: Deployment) {
	const [first, second] = deployment.options.failureDomains;
	const getEntries = ({id}: {id: string}) => getRouterUrls(deployment, Number(id.slice(-1)) % 3 === 0 ? second : first);
	return [
		...createShareLoads(deployment, {getLoadFactor: () => warmUpFactor, getEntries}).map(load => ({...load, untilMs: measuredFromMs})),
		...createShareLoads(deployment, {getLoadFactor: () => loadFactor, getEntries}).map(load => ({...load, fromMs: measuredFromMs})),
	];
}

/** Computes the mean fractions of slots used and allowed, over the samples after the warm-up at which a request waited. */
function computeSlotUsage(samples: Array<Sample<SlotSample>>, records: RequestRecord[], slots: number): SlotUsage {
	const measuredSamples = samples.filter(({atMs}) => atMs >= measuredFromMs && isAnyRequestWaiting(records, atMs));
	return {
		samples: measuredSamples.length,
		busyFraction: computeMean(measuredSamples.map(({value}) => Math.min(1, value.running / slots))),
		allowedFraction: computeMean(measuredSamples.map(({value}) => value.allowed / slots)),
	};
}

function isAnyRequestWaiting(records: RequestRecord[], atMs: number): boolean {
	// Requests within this margin are left out: they may not have reached a router yet, or may be on the way to a target.
	const marginMs = 100;
	return records.some(record => !isRefusal(record)
		&& record.sentMs < atMs - marginMs
		&& (Number.isNaN(record.firstByteMs) || record.firstByteMs > atMs + marginMs));
}
