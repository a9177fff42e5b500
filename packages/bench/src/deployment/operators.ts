/*
Client of the operators' API of a router: posts release notes and reads status, releases, targets and metrics.
*/
import {request} from 'undici';
import type {TargetKind} from '@shallotloom/core/configuration.ts';
import {parseJson} from '../parse-json.ts';
import {callJson} from './http.ts';
import {operatorKey} from './plan.ts';

const headers = {authorization: `Bearer ${operatorKey}`};

/** Release note in the format that operators write: entries to add, change and withdraw. */
export type ReleaseNote = {
	added?: Record<string, unknown>;
	changed?: Record<string, unknown>;
	withdrawn?: Record<string, unknown>;
};

export type FleetStatus = {
	/** Revision in force at the router that answers. */
	revision: number;
	/** Number of members with the latest revision in force, and of all members. */
	inForce: {members: number; of: number};
};

/** Posts a release note and returns its revision. Rejects when it isn't accepted. */
export async function postRelease(operatorsUrl: string, note: ReleaseNote, reason: string): Promise<number> {
	const {revision} = await callJson<{revision: number}>(`${operatorsUrl}/operator/v1/releases`, {
		method: 'POST', headers, body: {note, reason}, timeoutMs: 10_000,
	});
	return revision;
}

export type ReleaseBody = {note: ReleaseNote; reason: string; ifRevision?: number};

/** Posts a release note; `status` is 0 when no valid answer arrived. Never rejects. */
export async function tryPostRelease(operatorsUrl: string, body: ReleaseBody): Promise<{status: number; revision: number | undefined}> {
	try {
		const response = await request(`${operatorsUrl}/operator/v1/releases`, {
			method: 'POST', headers: {...headers, 'content-type': 'application/json'}, body: JSON.stringify(body), headersTimeout: 20_000,
		});
		const text = await response.body.text();
		return {status: response.statusCode, revision: parseJson<{revision?: number}>(text).revision};
	} catch {
		return {status: 0, revision: undefined};
	}
}

/** Returns the latest 1000 releases, newest first. */
export async function getReleaseHistory(operatorsUrl: string): Promise<Array<{revision: number; audit: {reason: string}}>> {
	return callJson(`${operatorsUrl}/operator/v1/releases?limit=1000`, {headers});
}

export async function getFleetStatus(operatorsUrl: string): Promise<FleetStatus> {
	return callJson<FleetStatus>(`${operatorsUrl}/operator/v1/status`, {headers});
}

/** Counts the targets that have an owner in this router's view. */
export async function countOwnedTargets(operatorsUrl: string): Promise<number> {
	const targets = await getTargetStatuses(operatorsUrl);
	return targets.filter(({owner}) => owner !== '').length;
}

/** Returns the sum of the current budgets (concurrent requests) of the router's own targets: it knows no others. */
export async function getOwnBudget(operatorsUrl: string, kind: TargetKind): Promise<number> {
	const targets = await getTargetStatuses(operatorsUrl);
	return targets
		.filter(target => target.kind === kind)
		.reduce((sum, {budget}) => sum + (budget ?? 0), 0);
}

/** Returns the ids of the targets that `router` owns in the view of the router at `operatorsUrl`. */
export async function getOwnedTargetIds(operatorsUrl: string, router: string): Promise<string[]> {
	const targets = await getTargetStatuses(operatorsUrl);
	return targets.filter(({owner}) => owner === router).map(({id}) => id);
}

type TargetStatus = {id: string; kind: TargetKind; owner: string; budget?: number};

async function getTargetStatuses(operatorsUrl: string): Promise<TargetStatus[]> {
	return callJson<TargetStatus[]>(`${operatorsUrl}/operator/v1/targets`, {headers});
}

/** Returns the router's metrics in the Prometheus text format. */
export async function getMetrics(operatorsUrl: string): Promise<string> {
	const response = await request(`${operatorsUrl}/metrics`, {headers});
	return response.body.text();
}
