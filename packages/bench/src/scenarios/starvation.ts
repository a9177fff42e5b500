/*
Starvation: small workspaces offer less than their shares while one floods through one router. The same load runs with and
without the flood, side by side. The flood starts once the targets are warm: a cold fleet carries less than the small
workspaces offer, whoever floods.
*/
import type {Deployment} from '../deployment/deployment.ts';
import type {WorkspaceShare} from '../deployment/plan.ts';
import {startLoad, type LoadResult} from '../load/load.ts';
import {Ending, endings, type RequestRecord} from '../load/record.ts';
import {schedule} from '../load/schedule.ts';
import {atLeast, roundToThousandths} from '../measure/figures.ts';
import {getRouterUrls, createShareLoads} from './capacity.ts';
import {withDeployment, type Scenario} from './scenario.ts';

/** The largest workspace floods. */
const flooding = 0;

const floodFactor = 10;

/** Load of the others, below their shares. */
const quietFactor = 0.7;

/** Time from which the flood comes and the waits count, in milliseconds. */
const floodFromMs = 12_000;

/** Part of what a small workspace offered that must have been served. */
const leastServed = 0.9;

export const starvation: Scenario = {
	summary: 'how long the smallest workspace waits under a flood',
	seconds: 36,
	async run({seed, seconds, progress}) {
		const durationMs = seconds * 1000;
		const load = async (flood: boolean) => withDeployment({}, async deployment => {
			progress(`${flood ? 'with' : 'without'} the flood: load for ${durationMs / 1000} s`);
			const arrivals = schedule({seed, durationMs, loads: loadsOf(deployment, flood)});
			const result = await startLoad({
				arrivals, durationMs, workspaces: deployment.workspaces, drainMs: 2000,
			}).finished;
			return {result, workspaces: deployment.workspaces};
		});
		const [idle, flooded] = await Promise.all([load(false), load(true)]);
		const small = flooded.workspaces.filter((_, index) => index !== flooding);
		const smallest = small.at(-1)?.id ?? '';
		const served = small.map(workspace => servedFraction(flooded.result, workspace, durationMs));
		const leastFraction = Math.min(...served);
		return {
			workspace: smallest,
			worstWaitSeconds: roundToThousandths(worstWait(flooded.result, smallest, durationMs)),
			idleWaitSeconds: roundToThousandths(worstWait(idle.result, smallest, durationMs)),
			leastServedFraction: roundToThousandths(leastFraction),
			endings: endings(flooded.result.records.filter(({workspace, sentMs}) => workspace !== flooded.workspaces[flooding]?.id && sentMs >= floodFromMs)),
			bounds: {leastServedFraction: atLeast(leastFraction, leastServed)},
		};
	},
};

function loadsOf(deployment: Deployment, flood: boolean) {
	const isFlooding = (workspace: WorkspaceShare) => deployment.workspaces.indexOf(workspace) === flooding;
	const quiet = createShareLoads(deployment, {getLoadFactor: () => quietFactor});
	const flooded = createShareLoads(deployment, {
		getLoadFactor: workspace => isFlooding(workspace) ? floodFactor - quietFactor : 0,
		getEntries: () => getRouterUrls(deployment).slice(0, 1),
	});
	return flood ? [...quiet, ...flooded.map(load => ({...load, fromMs: floodFromMs}))] : quiet;
}

/** Longest time to the first byte after the warm-up, in seconds; a request that got none waited to the end. */
function worstWait({records}: LoadResult, workspace: string, durationMs: number): number {
	const waits = measured(records, workspace)
		.map(({sentMs, firstByteMs}) => (Number.isNaN(firstByteMs) ? durationMs : firstByteMs) - sentMs);
	return Math.max(0, ...waits) / 1000;
}

/** Part of the offered tokens of a workspace that was served; requests of the last second are left out. */
function servedFraction({records}: LoadResult, {id}: WorkspaceShare, durationMs: number): number {
	const offered = measured(records, id).filter(({sentMs}) => sentMs < durationMs - 1000);
	const whole = offered.filter(({ending}) => ending === Ending.Whole);
	return offered.length === 0 ? 1 : whole.length / offered.length;
}

function measured(records: RequestRecord[], workspace: string): RequestRecord[] {
	return records.filter(record => record.workspace === workspace && record.sentMs >= floodFromMs);
}
