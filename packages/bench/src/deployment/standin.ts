/*
The controls of the stand-ins: faults, links between failure domains, cuts, and what an engine or a service has seen.
*/
import {callJson} from './http.ts';

/** One request that an engine admitted. */
export type Admission = {
	/** Time in milliseconds since the epoch. */
	at: number;
	/** Id of the request, from `x-request-id`. */
	request: string;
	/** Requests that ran just after the admission. */
	running: number;
};

export type EngineStats = {
	running: number;
	peakRunning: number;
	/** Times the engine saw more than it carries while cold. */
	coldOverruns: number;
	startId: string;
	admissions: Admission[];
};

export type PlatformStats = {
	/** Calls of the Object API since the platform started. */
	calls: number;
};

/** Starts a relay: what connects to `listen` reaches `to` after the delay between the two failure domains. */
export async function addLink(network: string, listen: string, to: string): Promise<void> {
	await callJson(`${network}/standin/links`, {method: 'POST', body: {listen, to}});
}

export async function setDomains(
	network: string,
	domains: Record<string, string>,
	delayMs: {same: number; between: number; client: number},
): Promise<void> {
	await callJson(`${network}/standin/settings`, {method: 'POST', body: {domains, delayMs}});
}

export async function engineStats(url: string): Promise<EngineStats> {
	return callJson<EngineStats>(`${url}/standin/stats`);
}

/** Number of Object API calls, whether the stand-in reports a number or a number by kind of call. */
export async function platformCalls(url: string): Promise<number> {
	const {calls} = await callJson<{calls: number | Record<string, number>}>(`${url}/standin/stats`);
	return typeof calls === 'number' ? calls : Object.values(calls).reduce((sum, count) => sum + count, 0);
}

/** Switches faults on, in the shape that the stand-in expects. */
export async function setFaults(url: string, faults: Record<string, unknown>): Promise<void> {
	await callJson(`${url}/standin/faults`, {method: 'POST', body: faults});
}

export async function clearFaults(url: string): Promise<void> {
	await callJson(`${url}/standin/faults`, {method: 'DELETE'});
}
