/*
Overhead of the fleet: time to the first byte and requests per second through the routers, compared with direct calls to the
same engines, in alternating turns of one run.
*/
import type {Deployment} from '../deployment/deployment.ts';
import {runClosedLoop} from '../load/closed-loop.ts';
import {startLoad} from '../load/load.ts';
import {Ending, type RequestRecord} from '../load/record.ts';
import {createSchedule, type Sizes, type WorkspaceLoad} from '../load/schedule.ts';
import {atMost, roundToThousandths} from '../measure/figures.ts';
import {createLatencyHistogram, summarizeLatency, type LatencyHistogram} from '../measure/latency.ts';
import {computeFleetCapacity, getRouterUrls, warmUpMs} from './capacity.ts';
import {getEngines} from './engines.ts';
import {withDeployment, type Scenario, type ScenarioRun} from './scenario.ts';

/** Short answers, so that the requests of a turn end within the turn. */
const sizes: Sizes = {input: {min: 20, max: 200}, output: {min: 5, max: 20}};

/** Offered load as a fraction of the capacity: low enough that no request waits for a slot. */
const loadFactor = 0.3;

const turnMs = 2000;
const maxAddedMs = 6;

/** Duration of each closed loop, in milliseconds. */
const closedLoopMs = 4000;

export const overhead: Scenario = {
	summary: 'time to the first byte and requests per second, compared with direct calls to the engines',
	seconds: 24,
	run: async run => withDeployment({}, async deployment => measure(deployment, run)),
};

async function measure(deployment: Deployment, {seed, seconds, progress}: ScenarioRun) {
	const durationMs = seconds * 1000;
	const direct = getEngines(deployment).map(({url}) => url);
	const fleet = getRouterUrls(deployment);
	const arrivals = createSchedule({
		seed, durationMs, sizes, loads: createTurns(deployment, durationMs, direct, fleet),
	});
	const {records} = await startLoad({
		arrivals, durationMs, workspaces: deployment.workspaces, drainMs: 2000,
	}).finished;
	const fleetLatency = createFirstByteHistogram(records, fleet);
	const directLatency = createFirstByteHistogram(records, direct);
	progress('closed loops');
	const loop = {
		callers: computeFleetCapacity(deployment.options).slots, durationMs: closedLoopMs, workspaces: deployment.workspaces, inputTokens: 20, outputTokens: 1,
	};
	const directLoop = await runClosedLoop({...loop, entries: direct});
	const fleetLoop = await runClosedLoop({...loop, entries: fleet});
	return {
		firstByteMs: summarizeLatency(fleetLatency),
		directFirstByteMs: summarizeLatency(directLatency),
		requestsPerSecond: roundToThousandths(fleetLoop.requestsPerSecond),
		directRequestsPerSecond: roundToThousandths(directLoop.requestsPerSecond),
		failed: {fleet: fleetLoop.failed, direct: directLoop.failed},
		notWhole: records.filter(({ending}) => ending !== Ending.Whole).length,
		bounds: {firstByteP95Ms: atMost(fleetLatency.getPercentile(95), directLatency.getPercentile(95) + maxAddedMs)},
	};
}

/** Creates loads in which every workspace alternates between the fleet and the engines; the warm-up uses only the fleet. */
function createTurns({workspaces, options}: Deployment, durationMs: number, direct: string[], fleet: string[]): WorkspaceLoad[] {
	const ratePerSecond = computeFleetCapacity(options, sizes).requestsPerSecond * loadFactor / workspaces.length;
	const createTurn = (fromMs: number, untilMs: number, entries: string[]) => workspaces.map(({id}) => ({
		workspace: id, ratePerSecond, burst: 0, entries, fromMs, untilMs,
	}));
	const loads = createTurn(0, warmUpMs, fleet);
	for (let fromMs = warmUpMs, turn = 0; fromMs + turnMs <= durationMs; fromMs += turnMs, turn++) {
		loads.push(...createTurn(fromMs, fromMs + turnMs, turn % 2 === 0 ? fleet : direct));
	}

	return loads;
}

function createFirstByteHistogram(records: RequestRecord[], entries: string[]): LatencyHistogram {
	const latency = createLatencyHistogram();
	const includedEntries = new Set(entries);
	for (const {entry, sentMs, firstByteMs, ending} of records) {
		if (includedEntries.has(entry) && sentMs >= warmUpMs && ending === Ending.Whole) {
			latency.record(firstByteMs - sentMs);
		}
	}

	return latency;
}
