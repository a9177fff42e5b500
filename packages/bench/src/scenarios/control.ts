/*
Control traffic: what a router spends on control in an idle fleet of growing size, and what that comes to at the size of
the users' letter by the fitted slope. CPU time and memory come from the kernel, bytes from the router's own metrics.
*/
import {sleep} from '../deployment/http.ts';
import type {Deployment} from '../deployment/deployment.ts';
import {metricsText} from '../deployment/operators.ts';
import {processUsage} from '../deployment/process-usage.ts';
import {platformCalls} from '../deployment/standin.ts';
import {
	atMost, fitLine, computeMean, roundToThousandths,
} from '../measure/figures.ts';
import {sumMetric} from '../measure/prometheus.ts';
import {withDeployment, type Scenario} from './scenario.ts';

const fleetSizes = [3, 6, 9, 18, 27];

/** Routers in the users' letter. */
const letterRouters = 410;

const allowedBytesPerSecond = 25 * 1024;
const allowedCoreFraction = 0.014;
const allowedHeapBytes = 64 * 1024 * 1024;

/** Names in the router's metrics. */
const controlBytes = 'shallotloom_control_bytes_total';
const heapUsed = 'nodejs_heap_size_used_bytes';
const stepSeconds = 'shallotloom_step_duration_seconds_sum';

/** What one router of a fleet spends, as the mean over its routers. */
type ControlCost = {
	routers: number;
	bytesPerSecond: number;
	coreFraction: number;
	/** Part of it that steps of the core take. */
	stepFraction: number;
	heapBytes: number;
	residentBytes: number;
	/** Object API calls of the whole fleet. */
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
			bytesPerSecond: extrapolated(costs, 'bytesPerSecond'),
			coreFraction: extrapolated(costs, 'coreFraction'),
			stepFraction: extrapolated(costs, 'stepFraction'),
			storeCallsPerSecond: extrapolated(costs, 'storeCallsPerSecond'),
			heapBytes: extrapolated(costs, 'heapBytes'),
		};
		return {
			costs: costs.map(cost => mapValues(cost, roundToThousandths)),
			slopes: mapValues({
				bytesPerSecond: slopeOf(costs, 'bytesPerSecond').slope,
				coreFraction: slopeOf(costs, 'coreFraction').slope,
				stepFraction: slopeOf(costs, 'stepFraction').slope,
				heapBytes: slopeOf(costs, 'heapBytes').slope,
				storeCallsPerSecond: slopeOf(costs, 'storeCallsPerSecond').slope,
			}, value => Number(value.toPrecision(4))),
			atRouters: letterRouters,
			atLetter: mapValues(atLetter, roundToThousandths),
			bounds: {
				bytesPerSecond: atMost(atLetter.bytesPerSecond, allowedBytesPerSecond),
				coreFraction: atMost(atLetter.coreFraction, allowedCoreFraction),
				heapBytes: atMost(atLetter.heapBytes, allowedHeapBytes),
			},
		};
	},
};

async function measure(deployment: Deployment, durationMs: number): Promise<ControlCost> {
	// The first seconds still hold the start: claims, first digests, compilation.
	await sleep(durationMs / 3);
	const before = await read(deployment);
	await sleep(durationMs * 2 / 3);
	const after = await read(deployment);
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

async function read({routers, platformUrl}: Deployment): Promise<Reading> {
	const storeCalls = await platformCalls(platformUrl);
	const readings = await Promise.all(routers.map(async ({operatorsUrl, child}) => {
		const [text, usage] = await Promise.all([metricsText(operatorsUrl), processUsage(child.pid)]);
		return {
			...usage, bytes: sumMetric(text, controlBytes), stepMs: sumMetric(text, stepSeconds) * 1000, heapBytes: sumMetric(text, heapUsed),
		};
	}));
	return {atMs: performance.now(), storeCalls, routers: readings};
}

function slopeOf(costs: ControlCost[], figure: keyof ControlCost) {
	return fitLine(costs.map(cost => ({x: cost.routers, y: cost[figure]})));
}

function extrapolated(costs: ControlCost[], figure: keyof ControlCost): number {
	const {slope, intercept} = slopeOf(costs, figure);
	return intercept + (slope * letterRouters);
}

function mapValues<Key extends string>(record: Record<Key, number>, change: (value: number) => number) {
	return Object.fromEntries(Object.entries<number>(record).map(([key, value]) => [key, change(value)]));
}
