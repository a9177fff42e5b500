/*
A caller of once calls (calls that may run at most once): it retries with the same idempotency key through other routers
after any error, until it receives an answer or a final refusal.
*/
import {request, type Agent} from 'undici';
import {sleep} from '../deployment/http.ts';
import {servicePool} from '../deployment/plan.ts';
import {parseJson} from '../parse-json.ts';

/** Result of one attempt. */
export type OnceAttempt = {
	/** Request id from `x-request-id`; '' when no answer with one arrived. */
	id: string;
	/** HTTP status; 0 when no complete answer arrived. */
	status: number;
	/** Body of a 200 answer; '' otherwise. */
	answer: string;
	/** `kind` of a refusal; '' otherwise. */
	kind: string;
	/** `outcome` of a refusal; '' otherwise. */
	outcome: string;
	/** Retry-after delay of a refusal; 0 when it has none. */
	retryAfterMs: number;
};

export type OnceCall = {
	/** Idempotency key. */
	key: string;
	attempts: OnceAttempt[];
	/** Whether the caller received an answer or a final refusal. */
	isSettled: boolean;
};

export type OnceCaller = {
	/** Idempotency key; also the body of the call. */
	key: string;
	/** API key of the workspace. */
	workspaceKey: string;
	agent: Agent;
	/** Returns the base URL of the router for the next attempt. */
	nextRouter: () => string;
	/** No attempt starts from this time of `performance.now()` on. */
	endAt: number;
	/** Deadline of each attempt. */
	deadlineMs: number;
};

const maxPauseMs = 1000;
const minPauseMs = 50;

/** Repeats the call until it is settled or `endAt` has passed. */
export async function callOnce(caller: OnceCaller): Promise<OnceCall> {
	const call: OnceCall = {key: caller.key, attempts: [], isSettled: false};
	while (!call.isSettled && performance.now() < caller.endAt) {
		const attempt = await attemptOnce(caller);
		call.attempts.push(attempt);
		call.isSettled = isFinal(attempt);
		if (!call.isSettled) {
			await sleep(Math.max(minPauseMs, Math.min(maxPauseMs, attempt.retryAfterMs)));
		}
	}

	return call;
}

function isFinal({status, outcome, retryAfterMs}: OnceAttempt): boolean {
	return status === 200 || outcome === 'ran' || (outcome === 'unknown' && retryAfterMs === 0);
}

type Refusal = {error?: {kind?: string; outcome?: string; retryAfter?: number}};

async function attemptOnce({key, workspaceKey, agent, nextRouter, deadlineMs}: OnceCaller): Promise<OnceAttempt> {
	const failedAttempt: OnceAttempt = {
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
				...failedAttempt, id, status: statusCode, answer: text,
			};
		}

		const {error} = parseJson<Refusal>(text);
		return {
			...failedAttempt, id, status: statusCode, kind: error?.kind ?? '', outcome: error?.outcome ?? '', retryAfterMs: (error?.retryAfter ?? 0) * 1000,
		};
	} catch {
		return failedAttempt;
	}
}
