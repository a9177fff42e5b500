/*
What a scenario is: a run of real programs under load that ends in figures, some of them with a bound.
*/
import {startDeployment, type Deployment} from '../deployment/deployment.ts';
import type {DeploymentOptions} from '../deployment/plan.ts';
import type {Bound} from '../measure/figures.ts';

export type ScenarioRun = {
	seed: number;
	/** Length of the whole load, over all deployments of the scenario. */
	seconds: number;
	/** Tells how far the scenario has come. */
	progress: (text: string) => void;
};

export type ScenarioResult = {
	[figure: string]: unknown;
	/** Figures with their bounds, by key. */
	bounds: Record<string, Bound>;
};

export type Scenario = {
	summary: string;
	/** Length of the load unless another is asked for. */
	seconds: number;
	run: (run: ScenarioRun) => Promise<ScenarioResult>;
};

/** Starts a deployment, hands it to `use`, and stops it whatever happens. */
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
