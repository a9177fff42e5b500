/*
HTTP client for calls to the platform. A reply says whether a response arrived and, if not, whether the request may have
taken effect: it can't when the connection was refused, but may when an established connection broke or the call timed out.
*/
import type {IncomingHttpHeaders} from 'node:http';
import {Agent, type Dispatcher} from 'undici';
import type {PlatformError} from './errors.ts';

export type HttpCall = {
	method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	/** Path and query, already encoded. */
	path: string;
	headers?: Record<string, string>;
	body?: string;
	timeoutMs: number;
	signal?: AbortSignal | undefined;
};

export type HttpReply = {kind: 'answered'; status: number; headers: IncomingHttpHeaders; body: unknown} | {kind: 'failed'; error: PlatformError};

export type HttpClient = {
	call(call: HttpCall): Promise<HttpReply>;
	close(): Promise<void>;
};

export type HttpClientOptions = {
	url: string;
	connectTimeoutMs: number;
	/** Source IP address of outgoing connections; '' lets the operating system choose. */
	localAddress: string;
	/** Limit on simultaneously open connections. */
	maxConnections: number;
};

/** Statuses of calls that the platform refused before they took effect: rate limit and outage. */
const refusedStatuses = new Set([429, 503]);
/** Errors raised before any byte of the request was sent. */
const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);

/** Creates a client with its own connection pool to `url`. */
export function createHttpClient({url, connectTimeoutMs, localAddress, maxConnections}: HttpClientOptions): HttpClient {
	const agent = new Agent({
		connections: maxConnections,
		connect: {timeout: connectTimeoutMs, ...(localAddress !== '' && {localAddress})},
	});

	return {
		async call(call) {
			const abortController = new AbortController();
			// undici aborts a request only once its connection is established, so the call doesn't wait for that.
			const {promise: aborted, reject} = createDeferred();
			const abort = () => {
				abortController.abort();
				reject(abortController.signal.reason);
			};

			// A listener that is removed after the call, since `AbortSignal.any` would grow with every call on a long-lived signal.
			call.signal?.addEventListener('abort', abort);
			const timeout = setTimeout(abort, call.timeoutMs);
			try {
				return await Promise.race([fetchReply(agent, url, {...call, signal: abortController.signal}), aborted]);
			} catch (error) {
				return {kind: 'failed', error: createPlatformError(error)};
			} finally {
				clearTimeout(timeout);
				call.signal?.removeEventListener('abort', abort);
			}
		},
		async close() {
			await agent.destroy();
		},
	};
}

/** A promise that is only ever rejected, and never counts as unhandled. */
function createDeferred(): {promise: Promise<never>; reject: (reason: unknown) => void} {
	let reject!: (reason: unknown) => void;
	const promise = new Promise<never>((_resolve, rejectPromise) => {
		reject = rejectPromise;
	});
	promise.catch(() => undefined);
	return {promise, reject};
}

async function fetchReply(agent: Agent, origin: string, call: HttpCall): Promise<HttpReply> {
	return parseReply(await sendRequest(agent, origin, call));
}

async function sendRequest(agent: Agent, origin: string, {method, path, headers, body, signal}: HttpCall) {
	return agent.request({
		origin,
		path,
		method,
		headers,
		body,
		signal,
		headersTimeout: 0,
		bodyTimeout: 0,
	});
}

async function parseReply({statusCode, headers, body}: Dispatcher.ResponseData): Promise<HttpReply> {
	const text = await body.text();
	if (refusedStatuses.has(statusCode)) {
		return {kind: 'failed', error: {kind: 'unavailable', status: statusCode}};
	}

	if (statusCode >= 400) {
		return {
			kind: 'answered', status: statusCode, headers, body: undefined,
		};
	}

	try {
		return {
			kind: 'answered', status: statusCode, headers, body: JSON.parse(text) as unknown,
		};
	} catch {
		return {kind: 'failed', error: {kind: 'malformed', status: statusCode}};
	}
}

function createPlatformError(error: unknown): PlatformError {
	return connectErrorCodes.has(getStringField(error, 'code'))
		? {kind: 'unavailable', status: 0}
		: {kind: 'unanswered', cause: getStringField(error, 'message')};
}

/** Returns a string field of an error, '' when absent. `instanceof` isn't used, since the error may come from another realm. */
function getStringField(error: unknown, name: 'code' | 'message'): string {
	if (typeof error !== 'object' || error === null || !(name in error)) {
		return '';
	}

	const field: unknown = Reflect.get(error, name);
	return typeof field === 'string' ? field : '';
}
