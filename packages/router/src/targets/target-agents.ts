/*
HTTP agents for requests to targets, and the classification of their errors.
*/
import {Agent, errors as undiciErrors} from 'undici';
import {AttemptEnd} from '@shallotloom/core/messages.ts';

export type TargetAgents = {
	/** Keeps connections alive; for all requests other than once requests. */
	keepAlive: Agent;
	/** Opens a new connection for each request, for once requests: a reused connection might be one that the target is closing. */
	singleUse: Agent;
	close(): Promise<void>;
};

const connectTimeoutMs = 2000;

export function createTargetAgents(bindAddress?: string): TargetAgents {
	const connect = {timeout: connectTimeoutMs, localAddress: bindAddress};
	const keepAlive = new Agent({
		connect, headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: 10_000,
	});
	const singleUse = new Agent({
		connect, headersTimeout: 0, bodyTimeout: 0, pipelining: 0,
	});
	return {
		keepAlive,
		singleUse,
		async close() {
			await Promise.all([keepAlive.destroy(), singleUse.destroy()]);
		},
	};
}

const notSentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'EADDRNOTAVAIL', 'ETIMEDOUT']);

/** Maps an error of a request to the end of its attempt: cancelled, surely not sent, or broken. */
export function classifyError(error: unknown): AttemptEnd {
	if (error instanceof undiciErrors.RequestAbortedError || (error instanceof Error && error.name === 'AbortError')) {
		return AttemptEnd.Cancelled;
	}

	const {code, syscall} = error as {code?: string; syscall?: string};
	const isConnecting = syscall === undefined || syscall === 'connect' || syscall === 'bind';
	return code !== undefined && notSentCodes.has(code) && isConnecting ? AttemptEnd.NotSent : AttemptEnd.Broken;
}
