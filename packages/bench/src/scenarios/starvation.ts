/*
Starvation: small workspaces offer less than their shares while the largest floods one router. The same load runs concurrently
with and without the flood. The flood begins when the targets are warm, since the capacity of a cold fleet is below what the
small workspaces offer, with or without a flood.
*/
import type {Deployment} from '../deployment/deployment.ts';
import type {WorkspaceShare} from '../deployment/plan.ts';
import {startLoad, type LoadResult} from '../load/load.ts';
import {Ending, countEndings, type RequestRecord} from '../load/record.ts';
import {createSchedule} from '../load/schedule.ts';
import {atLeast, roundToThousandths} from '../measure/figures.ts';
import {getRouterUrls, createShareLoads} from './capacity.ts';
import {withDeployment, type Scenario} from './scenario.ts';

/** Index of the workspace that floods: the largest. */
const floodingIndex = 0;

const floodFactor = 10;

/** Load of the other workspaces as a multiple of their shares. */
const baseFactor = 0.7;

/** Time from which the flood runs and waits are measured, in milliseconds. */
const floodFromMs = 12_000;

/** Fraction of a small workspace's requests that must be served. */
const minServedFraction = 0.9;

export const starvation: Scenario = {
	summary: 'how long the smallest workspace waits under a flood',
	seconds: 36,
	async run({seed, seconds, progress}) {
		const durationMs = seconds * 1000;
		const runLoad = async (flood: boolean) => withDeployment({}, async deployment => {
			progress(`${flood ? 'with' : 'without'} the flood: load for ${durationMs / 1000} s`);
			const arrivals = createSchedule({seed, durationMs, loads: createLoads(deployment, flood)});
			const result = await startLoad({
				arrivals, durationMs, workspaces: deployment.workspaces, drainMs: 2000,
			}).finished;
			return {result, workspaces: deployment.workspaces};
		});
		const [withoutFlood, withFlood] = await Promise.all([runLoad(false), runLoad(true)]);
		const small = withFlood.workspaces.filter((_, index) => index !== floodingIndex);
		const smallest = small.at(-1)?.id ?? '';
		const served = small.map(workspace => computeServedFraction(withFlood.result, workspace, durationMs));
		const lowestServedFraction = Math.min(...served);
		return {
			workspace: smallest,
			worstWaitSeconds: roundToThousandths(computeWorstWaitSeconds(withFlood.result, smallest, durationMs)),
			idleWaitSeconds: roundToThousandths(computeWorstWaitSeconds(withoutFlood.result, smallest, durationMs)),
			leastServedFraction: roundToThousandths(lowestServedFraction),
			endings: countEndings(withFlood.result.records.filter(({workspace, sentMs}) => workspace !== withFlood.workspaces[floodingIndex]?.id && sentMs >= floodFromMs)),
			bounds: {leastServedFraction: atLeast(lowestServedFraction, minServedFraction)},
		};
	},
};

function createLoads(deployment: Deployment, flood: boolean) {
	const isFlooding = (workspace: WorkspaceShare) => deployment.workspaces.indexOf(workspace) === floodingIndex;
	const baseLoads = createShareLoads(deployment, {getLoadFactor: () => baseFactor});
	const floodLoads = createShareLoads(deployment, {
		getLoadFactor: workspace => isFlooding(workspace) ? floodFactor - baseFactor : 0,
		getEntries: () => getRouterUrls(deployment).slice(0, 1),
	});
	return flood ? [...baseLoads, ...floodLoads.map(load => ({...load, fromMs: floodFromMs}))] : baseLoads;
}

/** Longest time to the first byte after the warm-up, in seconds; requests without a first byte count as waiting to the end. */
function computeWorstWaitSeconds({records}: LoadResult, workspace: string, durationMs: number): number {
	const waits = getMeasuredRecords(records, workspace)
		.map(({sentMs, firstByteMs}) => (Number.isNaN(firstByteMs) ? durationMs : firstByteMs) - sentMs);
	return Math.max(0, ...waits) / 1000;
}

/** Fraction of a workspace's requests that were answered completely; those of the last second are left out. */
function computeServedFraction({records}: LoadResult, {id}: WorkspaceShare, durationMs: number): number {
	const offered = getMeasuredRecords(records, id).filter(({sentMs}) => sentMs < durationMs - 1000);
	const completed = offered.filter(({ending}) => ending === Ending.Whole);
	return offered.length === 0 ? 1 : completed.length / offered.length;
}

function getMeasuredRecords(records: RequestRecord[], workspace: string): RequestRecord[] {
	return records.filter(record => record.workspace === workspace && record.sentMs >= floodFromMs);
}
