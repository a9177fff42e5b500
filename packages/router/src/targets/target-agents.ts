/*
The HTTP side of one attempt at a target. Connects directly, streams the answer to the caller, and tells the core how the
attempt ended.
*/
import {Agent, errors as undiciErrors} from 'undici';
import {AttemptEnd} from '@shallotloom/core/messages.ts';

export type TargetAgents = {
	/** Keeps connections for the streams of engines. */
	keepAlive: Agent;
	/** A fresh connection each, for requests that must not meet a connection that the target is just closing. */
	singleUse: Agent;
	close(): Promise<void>;
};

/** Time for connecting to a target, in milliseconds. */
const connectTimeoutMs = 2000;

/** Creates the connection pools. */
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

/** How an attempt ended that threw before a response came. */
export function classifyError(error: unknown): AttemptEnd {
	if (error instanceof undiciErrors.RequestAbortedError || (error instanceof Error && error.name === 'AbortError')) {
		return AttemptEnd.Cancelled;
	}

	const {code, syscall} = error as {code?: string; syscall?: string};
	const isConnecting = syscall === undefined || syscall === 'connect' || syscall === 'bind';
	return code !== undefined && notSentCodes.has(code) && isConnecting ? AttemptEnd.NotSent : AttemptEnd.Broken;
}
