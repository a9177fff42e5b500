/*
Control traffic: the bytes, CPU time and memory that a router of an idle fleet uses for control, by the size of the fleet, and
their extrapolation by a fitted line to the fleet size in the users' requirements. CPU time and resident memory come from the
kernel; bytes and heap come from the router's metrics.
*/
import {sleep} from '../deployment/http.ts';
import type {Deployment} from '../deployment/deployment.ts';
import {getMetrics} from '../deployment/operators.ts';
import {readProcessUsage} from '../deployment/process-usage.ts';
import {getStoreCalls} from '../deployment/standin.ts';
import {
	atMost, fitLine, computeMean, roundToThousandths,
} from '../measure/figures.ts';
import {sumMetric} from '../measure/prometheus.ts';
import {withDeployment, type Scenario} from './scenario.ts';

const fleetSizes = [3, 6, 9, 18, 27];

/** Number of routers in the users' requirements. */
const requiredRouters = 410;

const maxBytesPerSecond = 25 * 1024;
const maxCoreFraction = 0.014;
const maxHeapBytes = 64 * 1024 * 1024;

/** Names of the router's metrics. */
const controlBytesMetric = 'shallotloom_control_bytes_total';
const heapUsedMetric = 'nodejs_heap_size_used_bytes';
const stepSecondsMetric = 'shallotloom_step_duration_seconds_sum';

/** Mean cost of one router of a fleet. */
type ControlCost = {
	routers: number;
	bytesPerSecond: number;
	coreFraction: number;
	/** Fraction of a CPU core that is used by steps of the decision core; included in `coreFraction`. */
	stepFraction: number;
	heapBytes: number;
	residentBytes: number;
	/** Object API calls of the whole fleet together. */
	storeCallsPerSecond: number;
};

type Reading = {atMs: number; storeCalls: number; routers: Array<{bytes: number; stepMs: number; cpuMs: number; heapBytes: number; residentBytes: number}>};

export const control: Scenario = {
	summary: 'bytes, CPU and memory that routers spend on control, by the size of the fleet',
	seconds: 40,
	async run({seconds, progress}) {
		const costs: ControlCost[] = [];
		for (const routers of fleetSizes) {
			costs.push(await withDeployment({routers}, async deployment => measure(deployment, seconds * 1000 / fleetSizes.length)));
			progress(`${routers} routers: ${JSON.stringify(costs.at(-1))}`);
		}

		const atLetter = {
			bytesPerSecond: extrapolate(costs, 'bytesPerSecond'),
			coreFraction: extrapolate(costs, 'coreFraction'),
			stepFraction: extrapolate(costs, 'stepFraction'),
			storeCallsPerSecond: extrapolate(costs, 'storeCallsPerSecond'),
			heapBytes: extrapolate(costs, 'heapBytes'),
		};
		return {
			costs: costs.map(cost => mapValues(cost, roundToThousandths)),
			slopes: mapValues({
				bytesPerSecond: fitByFleetSize(costs, 'bytesPerSecond').slope,
				coreFraction: fitByFleetSize(costs, 'coreFraction').slope,
				stepFraction: fitByFleetSize(costs, 'stepFraction').slope,
				heapBytes: fitByFleetSize(costs, 'heapBytes').slope,
				storeCallsPerSecond: fitByFleetSize(costs, 'storeCallsPerSecond').slope,
			}, value => Number(value.toPrecision(4))),
			atRouters: requiredRouters,
			atLetter: mapValues(atLetter, roundToThousandths),
			bounds: {
				bytesPerSecond: atMost(atLetter.bytesPerSecond, maxBytesPerSecond),
				coreFraction: atMost(atLetter.coreFraction, maxCoreFraction),
				heapBytes: atMost(atLetter.heapBytes, maxHeapBytes),
			},
		};
	},
};

async function measure(deployment: Deployment, durationMs: number): Promise<ControlCost> {
	// The first seconds are left out, since they include claims of targets, first digests and JIT compilation.
	await sleep(durationMs / 3);
	const before = await takeReading(deployment);
	await sleep(durationMs * 2 / 3);
	const after = await takeReading(deployment);
	const elapsedMs = after.atMs - before.atMs;
	const perRouter = after.routers.map((router, index) => ({
		bytes: router.bytes - (before.routers[index]?.bytes ?? 0),
		cpuMs: router.cpuMs - (before.routers[index]?.cpuMs ?? 0),
		stepMs: router.stepMs - (before.routers[index]?.stepMs ?? 0),
	}));
	return {
		routers: after.routers.length,
		bytesPerSecond: computeMean(perRouter.map(({bytes}) => bytes)) * 1000 / elapsedMs,
		coreFraction: computeMean(perRouter.map(({cpuMs}) => cpuMs)) / elapsedMs,
		stepFraction: computeMean(perRouter.map(({stepMs}) => stepMs)) / elapsedMs,
		heapBytes: computeMean(after.routers.map(({heapBytes}) => heapBytes)),
		residentBytes: computeMean(after.routers.map(({residentBytes}) => residentBytes)),
		storeCallsPerSecond: (after.storeCalls - before.storeCalls) * 1000 / elapsedMs,
	};
}

async function takeReading({routers, platformUrl}: Deployment): Promise<Reading> {
	const storeCalls = await getStoreCalls(platformUrl);
	const readings = await Promise.all(routers.map(async ({operatorsUrl, child}) => {
		const [text, usage] = await Promise.all([getMetrics(operatorsUrl), readProcessUsage(child.pid)]);
		return {
			...usage, bytes: sumMetric(text, controlBytesMetric), stepMs: sumMetric(text, stepSecondsMetric) * 1000, heapBytes: sumMetric(text, heapUsedMetric),
		};
	}));
	return {atMs: performance.now(), storeCalls, routers: readings};
}

function fitByFleetSize(costs: ControlCost[], figure: keyof ControlCost) {
	return fitLine(costs.map(cost => ({x: cost.routers, y: cost[figure]})));
}

function extrapolate(costs: ControlCost[], figure: keyof ControlCost): number {
	const {slope, intercept} = fitByFleetSize(costs, figure);
	return intercept + (slope * requiredRouters);
}

function mapValues<Key extends string>(record: Record<Key, number>, change: (value: number) => number) {
	return Object.fromEntries(Object.entries<number>(record).map(([key, value]) => [key, change(value)]));
}
