/*
A caller whose request may run only once: it comes back with the same idempotency key at other routers, whatever went
wrong, until it has an answer or is told that there will be none.
*/
import {request, type Agent} from 'undici';
import {sleep} from '../deployment/http.ts';
import {servicePool} from '../deployment/plan.ts';
import {parseJson} from '../parse-json.ts';

/** How one attempt ended. */
export type OnceAttempt = {
	/** Id that the router gave it; '' when none was told. */
	id: string;
	/** 0 when no whole answer came. */
	status: number;
	/** Text of an answer; '' for a refusal. */
	answer: string;
	/** Kind and outcome of a refusal; '' when it was none. */
	kind: string;
	outcome: string;
	/** Time after which to come back; 0 when it was not told. */
	retryAfterMs: number;
};

export type OnceCall = {
	key: string;
	attempts: OnceAttempt[];
	/** Whether the caller has an answer or was told for good that there is none. */
	isSettled: boolean;
};

export type OnceCaller = {
	key: string;
	workspaceKey: string;
	agent: Agent;
	/** Router of the next attempt. */
	nextRouter: () => string;
	/** Time of `performance.now()` at which the caller gives up. */
	endAt: number;
	deadlineMs: number;
};

const longestPauseMs = 1000;
const shortestPauseMs = 50;

/** Calls until the matter is settled, or until `endAt`. */
export async function callOnce(caller: OnceCaller): Promise<OnceCall> {
	const call: OnceCall = {key: caller.key, attempts: [], isSettled: false};
	while (!call.isSettled && performance.now() < caller.endAt) {
		const attempt = await attemptOnce(caller);
		call.attempts.push(attempt);
		call.isSettled = isSettling(attempt);
		if (!call.isSettled) {
			await sleep(Math.max(shortestPauseMs, Math.min(longestPauseMs, attempt.retryAfterMs)));
		}
	}

	return call;
}

function isSettling({status, outcome, retryAfterMs}: OnceAttempt): boolean {
	return status === 200 || outcome === 'ran' || (outcome === 'unknown' && retryAfterMs === 0);
}

type Refusal = {error?: {kind?: string; outcome?: string; retryAfter?: number}};

async function attemptOnce({key, workspaceKey, agent, nextRouter, deadlineMs}: OnceCaller): Promise<OnceAttempt> {
	const failed: OnceAttempt = {
		id: '', status: 0, answer: '', kind: '', outcome: '', retryAfterMs: 0,
	};
	try {
		const {statusCode, headers, body} = await request(`${nextRouter()}/v1/services/${servicePool}/call/release`, {
			method: 'POST',
			dispatcher: agent,
			headers: {
				authorization: `Bearer ${workspaceKey}`, 'idempotency-key': key, 'x-once': 'true', 'x-deadline-ms': String(deadlineMs),
			},
			body: key,
			headersTimeout: 2 * deadlineMs,
			bodyTimeout: deadlineMs,
		});
		const text = await body.text();
		const id = String(headers['x-request-id'] ?? '');
		if (statusCode === 200) {
			return {
				...failed, id, status: statusCode, answer: text,
			};
		}

		const {error} = parseJson<Refusal>(text);
		return {
			...failed, id, status: statusCode, kind: error?.kind ?? '', outcome: error?.outcome ?? '', retryAfterMs: (error?.retryAfter ?? 0) * 1000,
		};
	} catch {
		return failed;
	}
}
