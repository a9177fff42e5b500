/*
Starts one router with stand-ins for the platform, an engine and a service, and a scripted target whose answers the test
writes itself. All run in this process and listen on real sockets.
*/
import {createHash} from 'node:crypto';
import {PassThrough} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseSettings} from '@shallotloom/settings/load.ts';
import {routerSettingsSchema} from '@shallotloom/settings/router-settings.ts';
import {createEngineStandin, type EngineStandin} from '@shallotloom/standin/engine-standin.ts';
import {allocatePort} from '@shallotloom/standin/free-port.ts';
import {createPlatformStandin, type PlatformStandin} from '@shallotloom/standin/platform-standin.ts';
import {createServiceStandin, type ServiceStandin} from '@shallotloom/standin/service-standin.ts';
import {createLog} from '../../src/log.ts';
import {startRouter, type Router} from '../../src/router.ts';
import {startScriptedTarget, type ScriptedTarget} from './scripted-target.ts';

export const workspaceKey = 'workspace-key';
const operatorKey = 'operator-key';
const host = '127.0.0.1';
const sha256 = (text: string) => createHash('sha256').update(text).digest('hex');

/** Pools of the deployment; each has one target. */
export enum Pool {
	Engine = 'engine',
	Service = 'service',
	ScriptedEngine = 'scripted-engine',
	ScriptedService = 'scripted-service',
	/** Nothing listens at the address of its target. */
	Absent = 'absent',
}

export type Deployment = {
	url: string;
	router: Router;
	platform: PlatformStandin;
	engine: EngineStandin;
	engineUrl: string;
	service: ServiceStandin;
	serviceUrl: string;
	scripted: ScriptedTarget;
	/** Clears all faults and scripts, and makes targets that were set aside available again. */
	reset: () => Promise<void>;
	stop: () => Promise<void>;
};

/** Starts the deployment and waits until the router owns all targets. */
export async function startDeployment(): Promise<Deployment> {
	const platform = createPlatformStandin();
	const engine = createEngineStandin({
		warm: true, coldCapacity: 8, firstTokenMs: 5, betweenTokensMs: 2, tickMs: 5, loadLagMs: 0,
	});
	const service = createServiceStandin({
		warm: true, coldCapacity: 8, serviceMs: 5, loadLagMs: 0,
	});
	const scripted = await startScriptedTarget();
	const [{url: platformUrl}, {url: engineUrl}, {url: serviceUrl}] = await Promise.all([platform.start(), engine.start(), service.start()]);
	const [callers, peers, operators] = [`${host}:${await allocatePort(host)}`, `${host}:${await allocatePort(host)}`, `${host}:${await allocatePort(host)}`];
	const router = await startRouter({
		settings: createSettings({callers, peers, operators}, platformUrl),
		log: createLog({destination: new PassThrough().resume()}),
		onStopped: () => undefined,
	});
	const urls: Record<Pool, string> = {
		[Pool.Engine]: engineUrl,
		[Pool.Service]: serviceUrl,
		[Pool.ScriptedEngine]: scripted.url,
		[Pool.ScriptedService]: scripted.url,
		[Pool.Absent]: `http://${host}:${await allocatePort(host)}`,
	};
	await waitUntil('the first release', async () => postRelease(operators, urls));
	await waitUntil('ownership of all targets', async () => router.world.budgets.size === Object.keys(urls).length);
	return {
		url: `http://${callers}`,
		router,
		platform,
		engine,
		engineUrl,
		service,
		serviceUrl,
		scripted,
		async reset() {
			platform.clearFaults();
			engine.clearFaults();
			service.clearFaults();
			for (const budget of router.world.budgets.rows()) {
				budget.setAsideUntil = 0;
				budget.consecutiveFailures = 0;
			}

			await waitUntil('the return of all permits', async () => router.world.permits.size === 0 && router.world.requests.size === 0);
			// Not earlier: until here, cancellations of the previous test may still arrive.
			scripted.clear();
		},
		async stop() {
			await router.close();
			await Promise.all([platform.stop(), engine.stop(), service.stop(), scripted.stop()]);
		},
	};
}

const waitTimeoutMs = 12_000;

/** Polls a condition until it is true. A rejected check counts as false; its error is included in the time-out message. */
export async function waitUntil(description: string, check: () => Promise<boolean>) {
	const endAt = performance.now() + waitTimeoutMs;
	let lastError = '';
	while (performance.now() < endAt) {
		try {
			if (await check()) {
				return;
			}
		} catch (error) {
			lastError = `: ${String(error)}`;
		}

		await sleep(10);
	}

	throw new Error(`timed out waiting for: ${description}${lastError}`);
}

function createSettings(listen: {callers: string; peers: string; operators: string}, platform: string) {
	const result = parseSettings(routerSettingsSchema, JSON.stringify({
		router: {id: 'a', failureDomain: 'x'},
		listen,
		platform: {url: platform, callTimeoutMs: 2000},
		operators: [{name: 'duty', keyHash: sha256(operatorKey)}],
		control: {tickMs: 10, loadPollMs: 100},
		limits: {bodyBytes: 2000},
	}));
	if (result.kind !== 'ok') {
		throw new Error(JSON.stringify(result.problems));
	}

	return result.settings;
}

async function postRelease(operators: string, urls: Record<Pool, string>): Promise<boolean> {
	const targets = Object.entries(urls).map(([pool, url]) => ({
		id: pool,
		url,
		kind: pool.endsWith('service') ? 'service' : 'engine',
		failureDomain: 'x',
		pools: [pool],
		warmBudget: 8,
		coldBudget: 8,
		standing: 'in',
		fences: true,
	}));
	const added = {
		failureDomains: [{name: 'x', standing: 'in'}],
		workspaces: [{
			id: 'w', weight: 1, keyHash: sha256(workspaceKey), queueLimit: 100_000,
		}],
		targets,
	};
	const response = await fetch(`http://${operators}/operator/v1/releases`, {
		method: 'POST',
		headers: {authorization: `Bearer ${operatorKey}`, 'content-type': 'application/json'},
		body: JSON.stringify({note: {added}, reason: 'test'}),
	});
	await response.body?.cancel();
	return response.ok;
}
