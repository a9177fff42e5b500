/*
Interface of scenarios: runs of real programs under load that return figures, some of them with a bound.
*/
import {startDeployment, type Deployment} from '../deployment/deployment.ts';
import type {DeploymentOptions} from '../deployment/plan.ts';
import type {Bound} from '../measure/figures.ts';

export type ScenarioRun = {
	seed: number;
	/** Duration of the whole load, over all deployments of the scenario. */
	seconds: number;
	/** Reports the progress of the scenario. */
	progress: (text: string) => void;
};

export type ScenarioResult = {
	[figure: string]: unknown;
	/** Bounded figures by key. */
	bounds: Record<string, Bound>;
};

export type Scenario = {
	summary: string;
	/** Default duration of the load. */
	seconds: number;
	run: (run: ScenarioRun) => Promise<ScenarioResult>;
};

/** Starts a deployment, calls `use` with it, and stops it afterwards, also after errors. */
export async function withDeployment<Result>(
	options: Partial<DeploymentOptions>,
	use: (deployment: Deployment) => Promise<Result>,
): Promise<Result> {
	const deployment = await startDeployment(options);
	try {
		return await use(deployment);
	} finally {
		await deployment.stop();
	}
}
