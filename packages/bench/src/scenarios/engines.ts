/*
Reads of the stand-in engines that several scenarios share.
*/
import {TargetKind} from '@shallotloom/core/configuration.ts';
import type {Deployment, RunningTarget} from '../deployment/deployment.ts';
import {getOwnBudget} from '../deployment/operators.ts';
import {getEngineStats, type EngineStats} from '../deployment/standin.ts';

export function enginesOf({targets}: Pick<Deployment, 'targets'>, failureDomain?: string): RunningTarget[] {
	return targets.filter(target => target.kind === TargetKind.Engine
		&& (failureDomain === undefined || target.failureDomain === failureDomain));
}

export async function statsOf(engines: RunningTarget[]): Promise<EngineStats[]> {
	return Promise.all(engines.map(async engine => getEngineStats(engine.directUrl)));
}

/** Times that an engine saw more than it carries while cold, over these engines. */
export async function coldOverrunsOf(engines: RunningTarget[]): Promise<number> {
	const stats = await statsOf(engines);
	return stats.reduce((sum, {coldOverruns}) => sum + coldOverruns, 0);
}

/** Requests that run now, over these engines. */
export async function runningOn(engines: RunningTarget[]): Promise<number> {
	const stats = await statsOf(engines);
	return stats.reduce((sum, {running}) => sum + running, 0);
}

/** Requests that all owners together let the engines run at once now. */
export async function engineBudgets({routers}: Pick<Deployment, 'routers'>): Promise<number> {
	const budgets = await Promise.all(routers.map(async ({operatorsUrl}) => getOwnBudget(operatorsUrl, TargetKind.Engine)));
	return budgets.reduce((sum, budget) => sum + budget, 0);
}
