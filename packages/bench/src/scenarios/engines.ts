/*
Queries of the engine stand-ins that several scenarios use.
*/
import {TargetKind} from '@shallotloom/core/configuration.ts';
import type {Deployment, RunningTarget} from '../deployment/deployment.ts';
import {getOwnBudget} from '../deployment/operators.ts';
import {getEngineStats, type EngineStats} from '../deployment/standin.ts';

export function getEngines({targets}: Pick<Deployment, 'targets'>, failureDomain?: string): RunningTarget[] {
	return targets.filter(target => target.kind === TargetKind.Engine
		&& (failureDomain === undefined || target.failureDomain === failureDomain));
}

export async function fetchEngineStats(engines: RunningTarget[]): Promise<EngineStats[]> {
	return Promise.all(engines.map(async engine => getEngineStats(engine.directUrl)));
}

/** Number of times that these engines got more requests than their cold capacity while cold. */
export async function fetchColdOverruns(engines: RunningTarget[]): Promise<number> {
	const stats = await fetchEngineStats(engines);
	return stats.reduce((sum, {coldOverruns}) => sum + coldOverruns, 0);
}

/** Number of requests that run on these engines now. */
export async function fetchRunningRequests(engines: RunningTarget[]): Promise<number> {
	const stats = await fetchEngineStats(engines);
	return stats.reduce((sum, {running}) => sum + running, 0);
}

/** Number of concurrent requests that all owners together allow at the engines now. */
export async function fetchEngineBudgets({routers}: Pick<Deployment, 'routers'>): Promise<number> {
	const budgets = await Promise.all(routers.map(async ({operatorsUrl}) => getOwnBudget(operatorsUrl, TargetKind.Engine)));
	return budgets.reduce((sum, budget) => sum + budget, 0);
}
