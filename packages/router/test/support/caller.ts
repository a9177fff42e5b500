/*
Sends requests to the router and records what a real caller would see: status, headers, body, and whether the answer was
truncated.
*/
import {request as send} from 'node:http';
import {Pool, workspaceKey} from './deployment.ts';

export type Call = {
	/** Path and body, if different from the default of the pool. */
	path?: string;
	body?: string;
	pool?: Pool;
	isStreamed?: boolean;
	tokens?: number;
	once?: string;
	key?: string;
	deadlineMs?: number;
	/** Called with the text so far after each chunk; `disconnect` closes the connection. */
	onText?: (text: string, disconnect: () => void) => void;
	/** Closes the connection when aborted. */
	signal?: AbortSignal;
	/** Never reads the answer's body. */
	readsNothing?: boolean;
};

export type Reply = {
	/** 0 when no response head was received. */
	status: number;
	headers: Record<string, string | string[] | undefined>;
	text: string;
	/** The connection closed before the answer was complete. */
	isTruncated: boolean;
	/** Error of a JSON body or of an error event; empty if there is none. */
	error: {kind?: string; outcome?: string; message?: string; hint?: string; retryAfter?: number};
	/** Offsets of the tokens, in the order received. */
	offsets: number[];
};

const enginePools = new Set([Pool.Engine, Pool.ScriptedEngine, Pool.Absent]);

function createPath({pool = Pool.Engine, path}: Call): string {
	return path ?? (enginePools.has(pool) ? '/v1/chat/completions' : `/v1/services/${pool}/call/book?seat=1`);
}

function createBody({pool = Pool.Engine, isStreamed: streams = false, tokens = 10, body}: Call): string {
	return body ?? JSON.stringify({
		model: pool, stream: streams, messages: [{role: 'user', content: 'hello'}], standin_output_tokens: tokens,
	});
}

/** Sends one request; resolves when its connection has closed, with or without an error. */
export async function call(url: string, options: Call = {}): Promise<Reply> {
	const {
		key = workspaceKey, once, deadlineMs, onText, signal, readsNothing = false,
	} = options;
	return new Promise(resolve => {
		const reply: Reply = {
			status: 0, headers: {}, text: '', isTruncated: true, error: {}, offsets: [],
		};
		const outgoing = send(`${url}${createPath(options)}`, {
			method: 'POST',
			agent: false,
			signal,
			headers: {
				authorization: `Bearer ${key}`,
				'content-type': 'application/json',
				...(once !== undefined && {'x-once': 'true', 'idempotency-key': once}),
				...(deadlineMs !== undefined && {'x-deadline-ms': String(deadlineMs)}),
			},
		}, response => {
			reply.status = response.statusCode ?? 0;
			reply.headers = response.headers;
			response.setEncoding('utf8');
			if (!readsNothing) {
				response.on('data', (piece: string) => {
					reply.text += piece;
					onText?.(reply.text, () => {
						outgoing.destroy();
					});
				});
			}

			response.once('end', () => {
				reply.isTruncated = false;
			});
			response.on('error', () => undefined);
			response.once('close', () => {
				resolve(parseReply(reply));
			});
		});
		outgoing.once('error', () => {
			resolve(parseReply(reply));
		});
		outgoing.end(createBody(options));
	});
}

function parseReply(reply: Reply): Reply {
	const lines = reply.text.split('\n');
	reply.offsets = lines.filter(line => line.startsWith('id: ')).map(line => Number(line.slice('id: '.length)));
	const errorAt = lines.indexOf('event: error');
	const text = errorAt === -1 ? reply.text : lines[errorAt + 1]!.slice('data: '.length);
	try {
		reply.error = (JSON.parse(text) as {error?: Reply['error']}).error ?? {};
	} catch {
		// Not a JSON document: a stream or an empty body.
	}

	return reply;
}

/** Whether a caller would take the stream for complete. */
export function looksComplete({text, isTruncated}: Reply): boolean {
	return !isTruncated && text.includes('data: [DONE]') && text.includes('"finish_reason":"stop"');
}

/** Offsets from 0 up to `count`, exclusive. */
export function createOffsets(count: number): number[] {
	return Array.from({length: count}, (_, offset) => offset);
}
