/*
Reads of the stand-in engines that several scenarios share.
*/
import {TargetKind} from '@shallotloom/core/configuration.ts';
import type {Deployment, RunningTarget} from '../deployment/deployment.ts';
import {ownBudgets} from '../deployment/operators.ts';
import {engineStats, type EngineStats} from '../deployment/standin.ts';

export function getEngines({targets}: Pick<Deployment, 'targets'>, failureDomain?: string): RunningTarget[] {
	return targets.filter(target => target.kind === TargetKind.Engine
		&& (failureDomain === undefined || target.failureDomain === failureDomain));
}

export async function fetchEngineStats(engines: RunningTarget[]): Promise<EngineStats[]> {
	return Promise.all(engines.map(async engine => engineStats(engine.directUrl)));
}

/** Times that an engine saw more than it carries while cold, over these engines. */
export async function fetchColdOverruns(engines: RunningTarget[]): Promise<number> {
	const stats = await fetchEngineStats(engines);
	return stats.reduce((sum, {coldOverruns}) => sum + coldOverruns, 0);
}

/** Requests that run now, over these engines. */
export async function fetchRunningRequests(engines: RunningTarget[]): Promise<number> {
	const stats = await fetchEngineStats(engines);
	return stats.reduce((sum, {running}) => sum + running, 0);
}

/** Requests that all owners together let the engines run at once now. */
export async function fetchEngineBudgets({routers}: Pick<Deployment, 'routers'>): Promise<number> {
	const budgets = await Promise.all(routers.map(async ({operatorsUrl}) => ownBudgets(operatorsUrl, TargetKind.Engine)));
	return budgets.reduce((sum, budget) => sum + budget, 0);
}
