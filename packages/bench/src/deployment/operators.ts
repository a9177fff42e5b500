/*
The calls of the operators' listener that the bench needs: post a release note, and see how far it has come.
*/
import {request} from 'undici';
import type {TargetKind} from '@shallotloom/core/configuration.ts';
import {parseJson} from '../parse-json.ts';
import {callJson} from './http.ts';
import {operatorKey} from './plan.ts';

const headers = {authorization: `Bearer ${operatorKey}`};

/** What a release note adds, changes and withdraws, in the shape that operators write. */
export type ReleaseNote = {
	added?: Record<string, unknown>;
	changed?: Record<string, unknown>;
	withdrawn?: Record<string, unknown>;
};

export type FleetStatus = {
	/** In force at the router that answers. */
	revision: number;
	/** How many members have the latest revision in force. */
	inForce: {members: number; of: number};
};

/** Posts a release note and returns its revision once it is accepted. */
export async function postRelease(operatorsUrl: string, note: ReleaseNote, reason: string): Promise<number> {
	const {revision} = await callJson<{revision: number}>(`${operatorsUrl}/operator/v1/releases`, {
		method: 'POST', headers, body: {note, reason}, timeoutMs: 10_000,
	});
	return revision;
}

export type ReleaseTry = {note: ReleaseNote; reason: string; ifRevision?: number};

/** Posts a release note; `status` is 0 when no answer came. Never rejects. */
export async function tryRelease(operatorsUrl: string, body: ReleaseTry): Promise<{status: number; revision: number | undefined}> {
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

/** All releases, newest first. */
export async function releaseHistory(operatorsUrl: string): Promise<Array<{revision: number; audit: {reason: string}}>> {
	return callJson(`${operatorsUrl}/operator/v1/releases?limit=1000`, {headers});
}

export async function fleetStatus(operatorsUrl: string): Promise<FleetStatus> {
	return callJson<FleetStatus>(`${operatorsUrl}/operator/v1/status`, {headers});
}

/** Number of targets that have an owner, as this router knows it. */
export async function ownedTargets(operatorsUrl: string): Promise<number> {
	const targets = await targetViews(operatorsUrl);
	return targets.filter(({owner}) => owner !== '').length;
}

/** Requests that the targets of this router may run at once now; a router knows the budgets of its own targets. */
export async function ownBudgets(operatorsUrl: string, kind: TargetKind): Promise<number> {
	const targets = await targetViews(operatorsUrl);
	return targets
		.filter(target => target.kind === kind)
		.reduce((sum, {budget}) => sum + (budget ?? 0), 0);
}

/** Ids of the targets that a router owns, as another router knows it. */
export async function targetsOf(operatorsUrl: string, router: string): Promise<string[]> {
	const targets = await targetViews(operatorsUrl);
	return targets.filter(({owner}) => owner === router).map(({id}) => id);
}

type TargetView = {id: string; kind: TargetKind; owner: string; budget?: number};

async function targetViews(operatorsUrl: string): Promise<TargetView[]> {
	return callJson<TargetView[]>(`${operatorsUrl}/operator/v1/targets`, {headers});
}

/** The router's own metrics in the text format of Prometheus. */
export async function metricsText(operatorsUrl: string): Promise<string> {
	const response = await request(`${operatorsUrl}/metrics`, {headers});
	return response.body.text();
}
