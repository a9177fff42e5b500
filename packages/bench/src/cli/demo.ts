/*
The demo: three routers in two failure domains, three engines and one application service; one address, one streamed and
one unstreamed chat completion, and one application call that may run only once.
*/
import {randomUUID} from 'node:crypto';
import {mkdir, rm, writeFile} from 'node:fs/promises';
import {startDeployment, stopDeployments, type Deployment} from '../deployment/deployment.ts';
import {
	enginePool, servicePool, createWorkspaceShares, type WorkspaceShare,
} from '../deployment/plan.ts';
import {
	askAddress, callOnce, completeChat, streamChat,
} from './caller.ts';
import {interruptedCode, onInterrupt} from './interrupt.ts';

const stateDirectory = '.demo';
const stateFile = `${stateDirectory}/state.json`;

export type DemoOptions = {
	/** Keep the deployment running until a signal, and write `.demo/state.json`. */
	keep: boolean;
};

/** Runs the demo and returns the exit code. */
export async function demo({keep}: DemoOptions): Promise<number> {
	const interrupt = onInterrupt();
	const starting = startDeployment({
		failureDomains: ['suva', 'lautoka'], routers: 3, engines: 3, services: 1, workspaces: createWorkspaceShares([2, 1]),
	});
	const started = await Promise.race([starting, interrupt.received]);
	if (!started) {
		await stopDeployments();
		return interruptedCode;
	}

	try {
		console.log(`started ${started.routers.length} routers and ${started.targets.length} targets`);
		await Promise.race([converse(started), interrupt.received]);
		if (keep) {
			await keepRunning(started, interrupt.received);
		}

		return 0;
	} catch (error) {
		console.error(started.getOutputs());
		throw error;
	} finally {
		await started.stop();
		interrupt.release();
	}
}

async function converse(deployment: Deployment): Promise<void> {
	const [router] = deployment.routers;
	const [workspace] = deployment.workspaces;
	if (!router || !workspace) {
		throw new Error('the deployment has no router or no workspace');
	}

	const {addresses, ttlMs} = await askAddress(router.url, workspace);
	console.log(`address for ${workspace.id}: ${addresses.map(({url, failureDomain}) => `${url} (${failureDomain})`).join(', ')}, for ${ttlMs} ms`);
	const [address] = addresses;
	if (!address) {
		throw new Error('the router named no address');
	}

	await sendAll(address.url, workspace);
}

async function sendAll(url: string, workspace: WorkspaceShare): Promise<void> {
	const prompt = {model: enginePool, messages: [{role: 'user', content: 'Draft a course plan for the March intake.'}]};
	const streamed = await streamChat(url, workspace, {...prompt, stream: true});
	console.log(`streamed completion: ${streamed.events} events, then [DONE]: ${shorten(streamed.text)}`);
	const whole = await completeChat(url, workspace, {...prompt, stream: false});
	console.log(`unstreamed completion: ${shorten(whole)}`);
	const answer = await callOnce(`${url}/v1/services/${servicePool}/call/seats/confirm`, workspace, randomUUID(), {seat: 12});
	console.log(`application call, once: ${shorten(answer)}`);
}

async function keepRunning(deployment: Deployment, until: Promise<void>): Promise<void> {
	await mkdir(stateDirectory, {recursive: true});
	await writeFile(stateFile, `${JSON.stringify(stateOf(deployment), undefined, '\t')}\n`);
	console.log(`running; addresses and keys are in ${stateFile}; Ctrl-C stops it`);
	await until;
	await rm(stateFile, {force: true});
}

/** What `.demo/state.json` holds. */
export function stateOf({routers, platformUrl, targets, workspaces}: Pick<Deployment, 'routers' | 'platformUrl' | 'targets' | 'workspaces'>) {
	return {
		routers: routers.map(({url}) => url),
		platform: platformUrl,
		targets: targets.map(({
			id, url, kind, failureDomain,
		}) => ({
			id, url, kind, failureDomain,
		})),
		workspaces: workspaces.map(({id, key}) => ({id, key})),
	};
}

function shorten(text: string): string {
	const limit = 160;
	return text.length > limit ? `${text.slice(0, limit)}…` : text;
}
