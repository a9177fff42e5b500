/*
Streaming: processor time of one router by the tokens a second that it passes on, with the fitted value at the share of one
node of the users' letter. The answers have that letter's mean length; their tokens come faster than its engines give
them, so that fewer streams make as many tokens.
*/
import {request} from 'undici';
import type {Deployment} from '../deployment/deployment.ts';
import {enginePool} from '../deployment/plan.ts';
import {processUsage} from '../deployment/process-usage.ts';
import {runClosedLoop, type ClosedLoopOptions, type ClosedLoopResult} from '../load/closed-loop.ts';
import {
	fitLine, computeMean, roundToThousandths, type Point,
} from '../measure/figures.ts';
import {computeFleetCapacity, getRouterUrls, warmUpMs} from './capacity.ts';
import {withDeployment, type Scenario, type ScenarioRun} from './scenario.ts';

/** Callers at once, level by level. */
const levels = [10, 20, 40, 80];

/** Tokens a second of one node of the letter: 4.1 million over 410. */
const letterTokensPerSecond = 10_000;

const outputTokens = 216;

const engine = {
	firstTokenMs: 60, betweenTokensMs: 10, slope: 0, warmCapacity: 16, coldCapacity: 4, coldCompletions: 4,
};

export const streaming: Scenario = {
	summary: 'processor time of one router by the tokens a second that it streams',
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
		bytesPerToken: roundToThousandths(await bytesPerToken(deployment)),
		coreFractionPerThousandTokens: roundToThousandths(line.slope * 1000),
		atTokensPerSecond: letterTokensPerSecond,
		coreFraction: roundToThousandths(line.intercept + (line.slope * letterTokensPerSecond)),
		bounds: {},
	};
}

async function measureLevel({routers}: Deployment, loop: ClosedLoopOptions): Promise<Level> {
	const before = await cpuOf(routers);
	const result = await runClosedLoop(loop);
	const spent = await cpuOf(routers) - before;
	return {...result, callers: loop.callers, coreFraction: spent / loop.durationMs};
}

/** Length of a whole streamed answer by its tokens, without the framing of HTTP. */
async function bytesPerToken(deployment: Deployment): Promise<number> {
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

/** Mean processor time that the routers have used, in milliseconds. */
async function cpuOf(routers: Deployment['routers']): Promise<number> {
	const usages = await Promise.all(routers.map(async ({child}) => processUsage(child.pid)));
	return computeMean(usages.map(({cpuMs}) => cpuMs));
}
