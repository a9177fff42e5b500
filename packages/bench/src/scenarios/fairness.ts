/*
The fairness gap while all workspaces are backlogged. They are distributed unevenly over the failure domains, and one offers ten
times its share through one router. The same load is sent to three deployments: fair service with exchanged counters, tickets
in order of arrival (FIFO), and owners that do not exchange counters.
*/
import {Discipline} from '@shallotloom/core/limits.ts';
import type {Deployment} from '../deployment/deployment.ts';
import {defaultDeploymentOptions, type DeploymentOptions, type WorkspaceShare} from '../deployment/plan.ts';
import {startLoad, type LoadResult} from '../load/load.ts';
import {countEndings, Ending} from '../load/record.ts';
import {createSchedule, defaultSizes} from '../load/schedule.ts';
import {atMost, roundToThousandths} from '../measure/figures.ts';
import {computeGapBound, computeLargestGap, type Gap} from '../measure/gap.ts';
import {findBackloggedBuckets, bucketMs} from '../measure/service-series.ts';
import {
	computeFleetCapacity, getRouterUrls, createShareLoads,
} from './capacity.ts';
import {withDeployment, type Scenario, type ScenarioRun} from './scenario.ts';

/** Number of workspaces that send their requests to each failure domain, in the order of the domains. */
const workspacesPerDomain = [9, 5, 2];

/** Index of the workspace that offers ten times its share: a small one of the domain with the most workspaces. */
const floodingIndex = 5;

const floodFactor = 10;

/** Load of the other workspaces as a multiple of their shares: enough to stay backlogged. */
const backlogFactor = 2;

const burstSeconds = 3;

/** Time after which all targets are warm; the gap is measured from then on. */
const measuredFromMs = 15_000;

/** Half the slots of the other scenarios and short queues, so that one machine can run three deployments. */
const baseOptions: Partial<DeploymentOptions> = {
	engine: {...defaultDeploymentOptions.engine, warmCapacity: 4, coldCapacity: 1},
	workspaces: defaultDeploymentOptions.workspaces.map(workspace => ({...workspace, queueLimit: 3000})),
};

type Variant = Partial<DeploymentOptions['fairness']>;

type Measurement = Gap & {
	wrong: number;
	/** Weighted tokens served to each workspace after the warm-up. */
	shares: number[];
	tokensPerSecond: number;
	endings: Record<string, number>;
};

export const fairness: Scenario = {
	summary: 'gap in served tokens between backlogged workspaces, compared with FIFO and with owners that do not exchange counters',
	seconds: 45,
	async run(run) {
		// Run concurrently, so that each load lasts long enough to reach a steady state.
		const [fair, fifo, localOnly] = await Promise.all([
			measure('fair', {}, run),
			measure('fifo', {discipline: Discipline.Fifo}, run),
			measure('owners that do not exchange counters', {exchange: false}, run),
		]);
		const limit = computeBound({...defaultDeploymentOptions, ...baseOptions});
		return {
			unit: 'weighted tokens',
			gap: roundToThousandths(fair.gap),
			gapBound: roundToThousandths(limit),
			fifoGap: roundToThousandths(fifo.gap),
			localOnlyGap: roundToThousandths(localOnly.gap),
			between: fair.between,
			shares: {fair: fair.shares, fifo: fifo.shares, localOnly: localOnly.shares},
			wrongAnswers: fair.wrong,
			tokensPerSecond: [fair, fifo, localOnly].map(({tokensPerSecond}) => roundToThousandths(tokensPerSecond)),
			endings: fair.endings,
			bounds: {
				gap: atMost(fair.gap, limit),
				gapToLocalOnly: atMost(fair.gap, localOnly.gap / 5),
				gapToFifo: atMost(fair.gap, fifo.gap / 20),
			},
		};
	},
};

async function measure(name: string, variant: Variant, {seed, seconds, progress}: ScenarioRun): Promise<Measurement> {
	const durationMs = seconds * 1000;
	const options = {...baseOptions, fairness: {...defaultDeploymentOptions.fairness, ...variant}};
	return withDeployment(options, async deployment => {
		progress(`${name}: load for ${roundToThousandths(durationMs / 1000)} s`);
		const arrivals = createSchedule({seed, durationMs, loads: createLoads(deployment)});
		const result = await startLoad({arrivals, durationMs, workspaces: deployment.workspaces}).finished;
		return createMeasurement(result, deployment.workspaces, durationMs);
	});
}

function createLoads(deployment: Deployment) {
	const getDomain = (workspace: WorkspaceShare) => getHomeDomain(deployment.workspaces.indexOf(workspace), deployment.options.failureDomains);
	return createShareLoads(deployment, {
		getLoadFactor: workspace => deployment.workspaces.indexOf(workspace) === floodingIndex ? floodFactor : backlogFactor,
		getEntries(workspace) {
			const urls = getRouterUrls(deployment, getDomain(workspace));
			return deployment.workspaces.indexOf(workspace) === floodingIndex ? urls.slice(0, 1) : urls;
		},
		burstSeconds,
	});
}

function getHomeDomain(index: number, failureDomains: string[]): string {
	let last = 0;
	const domain = workspacesPerDomain.findIndex(count => {
		last += count;
		return index < last;
	});
	return failureDomains[domain] ?? '';
}

/** Computes the gap and the shares after the warm-up, and the totals of the whole load. */
export function createMeasurement({records, series}: LoadResult, workspaces: WorkspaceShare[], durationMs: number): Measurement {
	const services = workspaces.map(({id}) => ({
		workspace: id,
		service: series.get(id),
		backlogged: findBackloggedBuckets(getWaitIntervals(records, id, durationMs), series.buckets),
	}));
	const from = Math.ceil(measuredFromMs / bucketMs);
	return {
		...computeLargestGap(services, from),
		shares: services.map(({service}) => roundToThousandths(service.slice(from).reduce((sum, value) => sum + value, 0))),
		wrong: records.filter(({ending}) => ending === Ending.Wrong).length,
		tokensPerSecond: records.reduce((sum, record) => sum + countServedTokens(record), 0) * 1000 / durationMs,
		endings: countEndings(records),
	};
}

function getWaitIntervals(records: LoadResult['records'], workspace: string, durationMs: number) {
	return records
		.filter(record => record.workspace === workspace && record.ending !== Ending.Refused)
		.map(({sentMs, firstByteMs}) => ({fromMs: sentMs, toMs: Number.isNaN(firstByteMs) ? durationMs : firstByteMs}));
}

function countServedTokens({inputTokens, outputTokens, firstByteMs}: LoadResult['records'][number]): number {
	return Number.isNaN(firstByteMs) ? 0 : inputTokens + outputTokens;
}

function computeBound(options: DeploymentOptions): number {
	const {control, workspaces, delayMs} = options;
	return computeGapBound({
		maxRequestCost: defaultSizes.input.max + defaultSizes.output.max,
		minWeight: Math.min(...workspaces.map(({weight}) => weight)),
		tokensPerSecond: computeFleetCapacity(options).tokensPerSecond,
		maxCounterAgeMs: control.digestMs + control.progressMs + delayMs.between,
	});
}
