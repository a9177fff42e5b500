/*
Streaming: CPU time of one router by the tokens per second that it relays, with the fitted value at the token rate of one node
in the users' requirements. Answers have the mean length of the requirements, but the engines generate tokens faster, so that
fewer streams reach the same token rate.
*/
import {request} from 'undici';
import type {Deployment} from '../deployment/deployment.ts';
import {enginePool} from '../deployment/plan.ts';
import {readProcessUsage} from '../deployment/process-usage.ts';
import {runClosedLoop, type ClosedLoopOptions, type ClosedLoopResult} from '../load/closed-loop.ts';
import {
	fitLine, computeMean, roundToThousandths, type Point,
} from '../measure/figures.ts';
import {computeFleetCapacity, getRouterUrls, warmUpMs} from './capacity.ts';
import {withDeployment, type Scenario, type ScenarioRun} from './scenario.ts';

/** Numbers of concurrent callers of the measurements. */
const levels = [10, 20, 40, 80];

/** Tokens per second of one node in the users' requirements: 4.1 million over 410 nodes. */
const requiredTokensPerSecond = 10_000;

const outputTokens = 216;

const engine = {
	firstTokenMs: 60, betweenTokensMs: 10, slope: 0, warmCapacity: 16, coldCapacity: 4, coldCompletions: 4,
};

export const streaming: Scenario = {
	summary: 'CPU time of one router by the tokens per second that it streams',
	seconds: 40,
	run: async run => withDeployment({routers: 1, engine}, async deployment => measure(deployment, run)),
};

type Level = ClosedLoopResult & {callers: number; coreFraction: number};

async function measure(deployment: Deployment, {seconds, progress}: ScenarioRun) {
	const loop = {entries: getRouterUrls(deployment), workspaces: deployment.workspaces, inputTokens: 20};
	await runClosedLoop({
		...loop, callers: computeFleetCapacity(deployment.options).slots, durationMs: warmUpMs, outputTokens: 5,
	});
	const costs: Level[] = [];
	for (const callers of levels) {
		costs.push(await measureLevel(deployment, {
			...loop, callers, outputTokens, durationMs: seconds * 1000 / levels.length,
		}));
		progress(JSON.stringify(costs.at(-1)));
	}

	const line = fitLine(costs.map(({tokensPerSecond: x, coreFraction: y}): Point => ({x, y})));
	return {
		levels: costs.map(cost => Object.fromEntries(Object.entries(cost).map(([key, value]) => [key, roundToThousandths(value)]))),
		bytesPerToken: roundToThousandths(await measureBytesPerToken(deployment)),
		coreFractionPerThousandTokens: roundToThousandths(line.slope * 1000),
		atTokensPerSecond: requiredTokensPerSecond,
		coreFraction: roundToThousandths(line.intercept + (line.slope * requiredTokensPerSecond)),
		bounds: {},
	};
}

async function measureLevel({routers}: Deployment, loop: ClosedLoopOptions): Promise<Level> {
	const before = await measureCpuMs(routers);
	const result = await runClosedLoop(loop);
	const usedCpuMs = await measureCpuMs(routers) - before;
	return {...result, callers: loop.callers, coreFraction: usedCpuMs / loop.durationMs};
}

/** Bytes of a complete streamed answer per token, without the framing of HTTP. */
async function measureBytesPerToken(deployment: Deployment): Promise<number> {
	const {body} = await request(`${getRouterUrls(deployment)[0]}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${deployment.workspaces[0]?.key}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: enginePool, stream: true, messages: [{role: 'user', content: 'straw'}], max_tokens: outputTokens, standin_output_tokens: outputTokens,
		}),
	});
	const answer = await body.arrayBuffer();
	return answer.byteLength / outputTokens;
}

/** Mean CPU time that the routers have used since their start, in milliseconds. */
async function measureCpuMs(routers: Deployment['routers']): Promise<number> {
	const usages = await Promise.all(routers.map(async ({child}) => readProcessUsage(child.pid)));
	return computeMean(usages.map(({cpuMs}) => cpuMs));
}
