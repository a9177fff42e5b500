/*
Client of the control paths of the stand-ins: faults, links, failure domains and statistics.
*/
import {callJson} from './http.ts';

/** A request that an engine admitted. */
export type Admission = {
	/** Time in milliseconds since the epoch. */
	at: number;
	/** Id of the request, from `x-request-id`. */
	request: string;
	/** Number of running requests right after the admission. */
	running: number;
};

export type EngineStats = {
	running: number;
	peakRunning: number;
	/** How often the engine was given more requests than its cold capacity during cold start. */
	coldOverruns: number;
	startId: string;
	admissions: Admission[];
};

export type PlatformStats = {
	/** Object API calls since the platform started. */
	calls: number;
};

/** Starts a relay from `listen` to `to`, which delays traffic by the delay between the failure domains of both ends. */
export async function addLink(network: string, listen: string, to: string): Promise<void> {
	await callJson(`${network}/standin/links`, {method: 'POST', body: {listen, to}});
}

/** Sets the failure domain of each address prefix, and the one-way delays. */
export async function setDomains(
	network: string,
	domains: Record<string, string>,
	delayMs: {same: number; between: number; client: number},
): Promise<void> {
	await callJson(`${network}/standin/settings`, {method: 'POST', body: {domains, delayMs}});
}

export async function getEngineStats(url: string): Promise<EngineStats> {
	return callJson<EngineStats>(`${url}/standin/stats`);
}

/** Returns the number of Object API calls; the stand-in reports one number, or one for each kind of call. */
export async function getStoreCalls(url: string): Promise<number> {
	const {calls} = await callJson<{calls: number | Record<string, number>}>(`${url}/standin/stats`);
	return typeof calls === 'number' ? calls : Object.values(calls).reduce((sum, count) => sum + count, 0);
}

/** Injects faults; `faults` has the format of the stand-in's control path. */
export async function setFaults(url: string, faults: Record<string, unknown>): Promise<void> {
	await callJson(`${url}/standin/faults`, {method: 'POST', body: faults});
}

export async function clearFaults(url: string): Promise<void> {
	await callJson(`${url}/standin/faults`, {method: 'DELETE'});
}
