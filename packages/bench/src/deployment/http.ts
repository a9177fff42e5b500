/*
Small JSON calls to the operators' listeners and to the controls of the stand-ins. Load goes through `load/`, which keeps
its own connections.
*/
import {request} from 'undici';
import {parseJson} from '../parse-json.ts';

export type JsonCall = {
	method?: 'GET' | 'POST' | 'DELETE';
	headers?: Record<string, string>;
	body?: unknown;
	timeoutMs?: number;
};

/** Calls a URL and returns the parsed answer. Rejects with status and text on any status from 400. */
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

/** Waits until `check` is true, asking every `everyMs`; a rejected check counts as false. */
export async function waitUntil(what: string, check: () => Promise<boolean>, timeoutMs = 20_000, everyMs = 50): Promise<void> {
	const end = performance.now() + timeoutMs;
	let last = '';
	while (performance.now() < end) {
		try {
			if (await check()) {
				return;
			}
		} catch (error) {
			last = `: ${String(error)}`;
		}

		await sleep(everyMs);
	}

	throw new Error(`${what} didn't happen within ${timeoutMs} ms${last}`);
}

export async function sleep(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Waits for the promise, at most this long. */
export async function settledWithin(promise: Promise<unknown>, ms: number): Promise<void> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise(resolve => {
		timer = setTimeout(resolve, ms);
	});
	await Promise.race([promise, timeout]);
	clearTimeout(timer);
}
