/*
Kills and restarts all routers and targets of a failure domain at once.
*/
import {standinProgram, type Deployment, type RunningTarget} from './deployment.ts';
import {startChild} from './child.ts';

type ControlledDeployment = Pick<Deployment, 'routers' | 'targets' | 'kill' | 'restart' | 'addChild'>;

function getTargets({targets}: ControlledDeployment, failureDomain: string): RunningTarget[] {
	return targets.filter(target => target.failureDomain === failureDomain);
}

function getRouterIds({routers}: ControlledDeployment, failureDomain: string): string[] {
	return routers.filter(router => router.failureDomain === failureDomain).map(({id}) => id);
}

/** Kills all processes of a failure domain with SIGKILL. */
export async function killDomain(deployment: ControlledDeployment, failureDomain: string): Promise<void> {
	await Promise.all([
		...getRouterIds(deployment, failureDomain).map(async id => deployment.kill(id)),
		...getTargets(deployment, failureDomain).map(async ({child}) => {
			child.signal('SIGKILL');
			await child.exited;
		}),
	]);
}

/** Restarts all processes of a killed failure domain. */
export async function restartDomain(deployment: ControlledDeployment, failureDomain: string): Promise<void> {
	await Promise.all([
		...getRouterIds(deployment, failureDomain).map(async id => deployment.restart(id)),
		...getTargets(deployment, failureDomain).map(async target => {
			target.child = await startChild({name: target.id, program: standinProgram, args: target.args});
			deployment.addChild(target.child);
		}),
	]);
}
