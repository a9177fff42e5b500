/*
The fairness gap: all workspaces backlogged, spread unevenly over the failure domains, one offering ten times its share
through one router. The same load goes to three deployments: fair service with exchanged counters, tickets in order of
arrival, and owners that do not exchange counters.
*/
import {Discipline} from '@shallotloom/core/limits.ts';
import type {Deployment} from '../deployment/deployment.ts';
import {deploymentDefaults, type DeploymentOptions, type WorkspaceShare} from '../deployment/plan.ts';
import {startLoad, type LoadResult} from '../load/load.ts';
import {endings, Ending} from '../load/record.ts';
import {schedule, sizesDefaults} from '../load/schedule.ts';
import {atMost, roundToThousandths} from '../measure/figures.ts';
import {computeGapBound, computeLargestGap, type Gap} from '../measure/gap.ts';
import {findBackloggedBuckets, bucketMs} from '../measure/service-series.ts';
import {
	computeFleetCapacity, getRouterUrls, createShareLoads,
} from './capacity.ts';
import {withDeployment, type Scenario, type ScenarioRun} from './scenario.ts';

/** Workspaces at home in each failure domain, in order. */
const homes = [9, 5, 2];

/** Index of the workspace that offers ten times its share, a small one of the fullest domain. */
const flooding = 5;

const floodFactor = 10;

/** Load of the others: enough to stay backlogged. */
const backlogFactor = 2;

const burstSeconds = 3;

/** Time after which all targets are warm, which the gap leaves out. */
const settledMs = 15_000;

/** Half the slots of the other scenarios and short queues, so that three deployments fit on one machine. */
const base: Partial<DeploymentOptions> = {
	engine: {...deploymentDefaults.engine, warmCapacity: 4, coldCapacity: 1},
	workspaces: deploymentDefaults.workspaces.map(workspace => ({...workspace, queueLimit: 3000})),
};

type Variant = Partial<DeploymentOptions['fairness']>;

type Measurement = Gap & {
	wrong: number;
	/** Service by workspace after the warm-up, in weighted tokens. */
	shares: number[];
	tokensPerSecond: number;
	endings: Record<string, number>;
};

export const fairness: Scenario = {
	summary: 'the gap in service between backlogged workspaces, against FIFO and owners that do not exchange',
	seconds: 45,
	async run(run) {
		// Side by side, so that the load lasts long enough for the steady state of all three.
		const [fair, fifo, localOnly] = await Promise.all([
			measure('fair', {}, run),
			measure('fifo', {discipline: Discipline.Fifo}, run),
			measure('owners that do not exchange', {exchange: false}, run),
		]);
		const limit = boundOf({...deploymentDefaults, ...base});
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
	const options = {...base, fairness: {...deploymentDefaults.fairness, ...variant}};
	return withDeployment(options, async deployment => {
		progress(`${name}: load for ${roundToThousandths(durationMs / 1000)} s`);
		const arrivals = schedule({seed, durationMs, loads: loadsOf(deployment)});
		const result = await startLoad({arrivals, durationMs, workspaces: deployment.workspaces}).finished;
		return measurementOf(result, deployment.workspaces, durationMs);
	});
}

function loadsOf(deployment: Deployment) {
	const domainOf = (workspace: WorkspaceShare) => homeOf(deployment.workspaces.indexOf(workspace), deployment.options.failureDomains);
	return createShareLoads(deployment, {
		getLoadFactor: workspace => deployment.workspaces.indexOf(workspace) === flooding ? floodFactor : backlogFactor,
		getEntries(workspace) {
			const urls = getRouterUrls(deployment, domainOf(workspace));
			return deployment.workspaces.indexOf(workspace) === flooding ? urls.slice(0, 1) : urls;
		},
		burstSeconds,
	});
}

function homeOf(index: number, failureDomains: string[]): string {
	let last = 0;
	const domain = homes.findIndex(count => {
		last += count;
		return index < last;
	});
	return failureDomains[domain] ?? '';
}

/** Gap and totals of one load, leaving out the warm-up. */
export function measurementOf({records, series}: LoadResult, workspaces: WorkspaceShare[], durationMs: number): Measurement {
	const services = workspaces.map(({id}) => ({
		workspace: id,
		service: series.get(id),
		backlogged: findBackloggedBuckets(waitsOf(records, id, durationMs), series.buckets),
	}));
	const from = Math.ceil(settledMs / bucketMs);
	return {
		...computeLargestGap(services, from),
		shares: services.map(({service}) => roundToThousandths(service.slice(from).reduce((sum, value) => sum + value, 0))),
		wrong: records.filter(({ending}) => ending === Ending.Wrong).length,
		tokensPerSecond: records.reduce((sum, record) => sum + tokensOf(record), 0) * 1000 / durationMs,
		endings: endings(records),
	};
}

function waitsOf(records: LoadResult['records'], workspace: string, durationMs: number) {
	return records
		.filter(record => record.workspace === workspace && record.ending !== Ending.Refused)
		.map(({sentMs, firstByteMs}) => ({fromMs: sentMs, toMs: Number.isNaN(firstByteMs) ? durationMs : firstByteMs}));
}

function tokensOf({inputTokens, outputTokens, firstByteMs}: LoadResult['records'][number]): number {
	return Number.isNaN(firstByteMs) ? 0 : inputTokens + outputTokens;
}

function boundOf(options: DeploymentOptions): number {
	const {control, workspaces, delayMs} = options;
	return computeGapBound({
		maxRequestCost: sizesDefaults.input.most + sizesDefaults.output.most,
		minWeight: Math.min(...workspaces.map(({weight}) => weight)),
		tokensPerSecond: computeFleetCapacity(options).tokensPerSecond,
		maxCounterAgeMs: control.digestMs + control.progressMs + delayMs.between,
	});
}
