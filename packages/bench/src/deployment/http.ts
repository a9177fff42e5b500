/*
JSON calls to the operators' listeners and the control paths of the stand-ins, and helpers for waiting. The load of the
benchmarks doesn't use them: `load/` has its own connections.
*/
import {request} from 'undici';
import {parseJson} from '../parse-json.ts';

export type JsonCall = {
	method?: 'GET' | 'POST' | 'DELETE';
	headers?: Record<string, string>;
	body?: unknown;
	timeoutMs?: number;
};

/** Sends a request and returns the parsed body (null when empty). Rejects with status and body for a status from 400. */
export async function callJson<Answer>(url: string, options: JsonCall = {}): Promise<Answer> {
	const {method = 'GET', headers = {}, body, timeoutMs = 5000} = options;
	const response = await request(url, {
		method,
		headers: {...headers, ...(body === undefined ? {} : {'content-type': 'application/json'})},
		body: body === undefined ? undefined : JSON.stringify(body),
		headersTimeout: timeoutMs,
		bodyTimeout: timeoutMs,
	});
	const text = await response.body.text();
	if (response.statusCode >= 400) {
		throw new Error(`${method} ${url} answered ${response.statusCode}: ${text}`);
	}

	return parseJson<Answer>(text === '' ? 'null' : text);
}

/** Polls `check` every `intervalMs` until it is true. A rejection counts as false; the time-out error shows the last one. */
export async function waitUntil(description: string, check: () => Promise<boolean>, timeoutMs = 20_000, intervalMs = 50): Promise<void> {
	const end = performance.now() + timeoutMs;
	let lastError = '';
	while (performance.now() < end) {
		try {
			if (await check()) {
				return;
			}
		} catch (error) {
			lastError = `: ${String(error)}`;
		}

		await sleep(intervalMs);
	}

	throw new Error(`timed out after ${timeoutMs} ms waiting for ${description}${lastError}`);
}

export async function sleep(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Waits until the promise settles, but for at most `ms`. Rejects if the promise does. */
export async function waitAtMost(promise: Promise<unknown>, ms: number): Promise<void> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise(resolve => {
		timer = setTimeout(resolve, ms);
	});
	await Promise.race([promise, timeout]);
	clearTimeout(timer);
}
