/*
One HTTP call to the platform. It says whether an answer came, and if none came, whether the request can have taken
effect: a refused connection can't, a connection that broke or timed out after it was made can.
*/
import {Agent, type Dispatcher} from 'undici';
import type {PlatformError} from './errors.ts';

export type HttpCall = {
	method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	/** Path and query, already encoded. */
	path: string;
	headers?: Record<string, string>;
	body?: string;
	timeoutMs: number;
	signal?: AbortSignal;
};

export type HttpReply = {kind: 'answered'; status: number; body: unknown} | {kind: 'failed'; error: PlatformError};

export type HttpCaller = {
	call(call: HttpCall): Promise<HttpReply>;
	close(): Promise<void>;
};

export type HttpCallerOptions = {
	url: string;
	connectTimeoutMs: number;
	/** IP number that outgoing connections are bound to; '' leaves the choice to the system. */
	localAddress: string;
	/** Most connections that are open at a time. */
	connections: number;
};

const statusesWithoutEffect = new Set([429, 503]);
const codesBeforeSending = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);

/** Creates a caller with its own connection pool to `url`. */
export function createHttpCaller({url, connectTimeoutMs, localAddress, connections}: HttpCallerOptions): HttpCaller {
	const agent = new Agent({
		connections,
		connect: {timeout: connectTimeoutMs, ...(localAddress !== '' && {localAddress})},
	});

	return {
		async call(call) {
			const aborted = new AbortController();
			const abort = () => {
				aborted.abort();
			};

			// A listener that is removed, since `AbortSignal.any` would grow with every call on a long-lived signal.
			call.signal?.addEventListener('abort', abort);
			const timeout = setTimeout(abort, call.timeoutMs);
			try {
				return await answer(await send(agent, url, {...call, signal: aborted.signal}));
			} catch (error) {
				return {kind: 'failed', error: errorOf(error)};
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

async function send(agent: Agent, origin: string, {method, path, headers, body, signal}: HttpCall) {
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

async function answer({statusCode, body}: Dispatcher.ResponseData): Promise<HttpReply> {
	const text = await body.text();
	if (statusesWithoutEffect.has(statusCode)) {
		return {kind: 'failed', error: {kind: 'unavailable', status: statusCode}};
	}

	if (statusCode >= 400) {
		return {kind: 'answered', status: statusCode, body: undefined};
	}

	try {
		return {kind: 'answered', status: statusCode, body: JSON.parse(text) as unknown};
	} catch {
		return {kind: 'failed', error: {kind: 'malformed', status: statusCode}};
	}
}

function errorOf(error: unknown): PlatformError {
	return codesBeforeSending.has(fieldOf(error, 'code'))
		? {kind: 'unavailable', status: 0}
		: {kind: 'unanswered', cause: fieldOf(error, 'message')};
}

/** Text of a field of an error, which may come from another realm than this module's `Error`. */
function fieldOf(error: unknown, name: 'code' | 'message'): string {
	if (typeof error !== 'object' || error === null || !(name in error)) {
		return '';
	}

	const field: unknown = Reflect.get(error, name);
	return typeof field === 'string' ? field : '';
}
