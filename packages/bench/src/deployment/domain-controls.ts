/*
Kills and starts whole failure domains: their routers and targets at once.
*/
import {standinProgram, type Deployment, type RunningTarget} from './deployment.ts';
import {startChild} from './child.ts';

type Domain = Pick<Deployment, 'routers' | 'targets' | 'kill' | 'restart' | 'adopt'>;

function targetsIn({targets}: Domain, failureDomain: string): RunningTarget[] {
	return targets.filter(target => target.failureDomain === failureDomain);
}

function routersIn({routers}: Domain, failureDomain: string): string[] {
	return routers.filter(router => router.failureDomain === failureDomain).map(({id}) => id);
}

/** Kills all processes of a failure domain without warning. */
export async function killDomain(deployment: Domain, failureDomain: string): Promise<void> {
	await Promise.all([
		...routersIn(deployment, failureDomain).map(async id => deployment.kill(id)),
		...targetsIn(deployment, failureDomain).map(async ({child}) => {
			child.signal('SIGKILL');
			await child.exited;
		}),
	]);
}

/** Starts all processes of a killed failure domain again. */
export async function restartDomain(deployment: Domain, failureDomain: string): Promise<void> {
	await Promise.all([
		...routersIn(deployment, failureDomain).map(async id => deployment.restart(id)),
		...targetsIn(deployment, failureDomain).map(async target => {
			target.child = await startChild({name: target.id, program: standinProgram, args: target.args});
			deployment.adopt(target.child);
		}),
	]);
}
