/*
One attempt of an exchange at a target, as the core ordered it.
*/
import type {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {StringDecoder} from 'node:string_decoder';
import {request as fetchTarget, type Dispatcher} from 'undici';
import {TargetKind} from '@shallotloom/core/configuration.ts';
import {AttemptEnd} from '@shallotloom/core/messages.ts';
import type {InboundOf} from '@shallotloom/core/ports.ts';
import type {Exchange} from '../exchange.ts';
import {createStreamCheck} from './engine-stream.ts';
import {endOfError, type TargetAgents} from './target-client.ts';

export type AttemptOptions = {
	agents: TargetAgents;
	now: () => number;
	onStarted: (exchange: Exchange, firstByteMs: number) => void;
	onEnded: (ended: InboundOf<'answerEnded'>) => void;
};

type Place = {target: string; url: string};
type Answer = Dispatcher.ResponseData<unknown>;

/** Statuses by which an engine says that it didn't take the request. */
const refusedStatuses = new Set([429, 503]);

function end(exchange: Exchange, {target}: Place, attemptEnd: AttemptEnd, answer?: string): InboundOf<'answerEnded'> {
	const tokens = exchange.offset;
	const betweenTokensMs = tokens > 1 && exchange.firstByteAt > 0
		? (exchange.lastTokenAt - exchange.firstByteAt) / (tokens - 1)
		: 0;
	return {
		kind: 'answerEnded',
		request: exchange.request,
		target,
		end: attemptEnd,
		outputTokens: tokens,
		delivered: exchange.delivered,
		firstByteMs: exchange.firstByteAt > 0 ? exchange.firstByteAt - exchange.attemptStartedAt : 0,
		betweenTokensMs,
		...(answer !== undefined && {answer}),
	};
}

function headersOf(exchange: Exchange): Record<string, string> {
	return {
		'content-type': exchange.contentType,
		'x-request-id': exchange.request,
		...(exchange.prefixHash !== 0 && {'x-prefix-hash': String(exchange.prefixHash)}),
		...(exchange.idempotencyKey !== '' && {'idempotency-key': exchange.idempotencyKey}),
	};
}

function isOwn(exchange: Exchange, answer: Answer): boolean {
	const echoed = answer.headers['x-request-id'];
	return echoed === undefined || echoed === exchange.request;
}

function isEventStream({headers}: Answer): boolean {
	return String(headers['content-type']).startsWith('text/event-stream');
}

/** Waits until a slow caller has taken what was written, or is gone. */
async function drained({response, abort}: Exchange) {
	const settled = new AbortController();
	const signal = AbortSignal.any([settled.signal, abort.signal]);
	try {
		await Promise.race([once(response, 'drain', {signal}), once(response, 'close', {signal})]);
	} finally {
		settled.abort();
	}
}

/** Whether an engine answers the request: not with its own failure, nor with an error in place of the rest of a stream. */
function isAnswer(exchange: Exchange, {statusCode}: Answer): boolean {
	return statusCode === 200 || (statusCode < 500 && !exchange.response.headersSent);
}

/** Runs attempts and resumptions of exchanges. */
export function createAttempts({agents, now, onStarted, onEnded}: AttemptOptions) {
	function markFirstByte(exchange: Exchange) {
		if (exchange.firstByteAt === 0) {
			exchange.firstByteAt = now();
			onStarted(exchange, exchange.firstByteAt - exchange.attemptStartedAt);
		}
	}

	async function forward(exchange: Exchange, text: string) {
		if (text === '' || exchange.isAborted || exchange.response.destroyed) {
			return;
		}

		if (!exchange.response.headersSent) {
			exchange.response.writeHead(200, {
				'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-request-id': exchange.request,
			});
		}

		exchange.delivered = true;
		if (!exchange.response.write(text) && !exchange.response.destroyed) {
			await drained(exchange);
		}
	}

	async function pipe(exchange: Exchange, answer: Answer): Promise<AttemptEnd> {
		const check = createStreamCheck(exchange.offset, exchange.hasFinish);
		const decoder = new StringDecoder('utf8');
		for await (const chunk of answer.body) {
			const text = check.feed(decoder.write(chunk as Buffer));
			exchange.hasFinish = check.state.hasFinish;
			if (check.state.next > exchange.offset) {
				markFirstByte(exchange);
				exchange.lastTokenAt = now();
				exchange.offset = check.state.next;
			}

			await forward(exchange, text);
			if (check.state.hasGap) {
				break;
			}
		}

		return check.state.isDone && check.state.hasFinish && !check.state.hasGap ? AttemptEnd.Whole : AttemptEnd.Broken;
	}

	async function stream(exchange: Exchange, place: Place, answer: Answer) {
		const streamEnd = await pipe(exchange, answer);
		if (streamEnd === AttemptEnd.Whole) {
			exchange.isFinished = true;
			exchange.response.end();
		}

		onEnded(end(exchange, place, streamEnd));
	}

	async function collect(exchange: Exchange, place: Place, answer: Answer) {
		const text = await answer.body.text();
		markFirstByte(exchange);
		const parsed = exchange.kind === TargetKind.Engine ? parseCompletion(text) : {tokens: 0};
		if (!parsed) {
			onEnded(end(exchange, place, AttemptEnd.Broken));
			return;
		}

		exchange.offset = parsed.tokens;
		exchange.lastTokenAt = now();
		const contentType = String(answer.headers['content-type'] ?? 'application/json');
		const kept = {status: answer.statusCode, contentType, body: text};
		deliver(exchange, kept);
		onEnded(end(exchange, place, AttemptEnd.Whole, exchange.once ? JSON.stringify(kept) : undefined));
	}

	async function take(exchange: Exchange, place: Place, answer: Answer) {
		if (!isOwn(exchange, answer)) {
			await answer.body.dump();
			onEnded(end(exchange, place, AttemptEnd.Mismatched));
			return;
		}

		// A request that may run only once isn't tried elsewhere, so its caller gets the refusal itself.
		if (exchange.kind === TargetKind.Engine && !exchange.once && refusedStatuses.has(answer.statusCode)) {
			await answer.body.dump();
			onEnded(end(exchange, place, AttemptEnd.Refused));
			return;
		}

		const isStream = exchange.wantsStream && answer.statusCode === 200 && isEventStream(answer);
		const isLost = exchange.delivered && !isStream;
		if (isLost || (exchange.kind === TargetKind.Engine && !isAnswer(exchange, answer))) {
			// The engine failed by itself, or the rest of a stream isn't there any more.
			await answer.body.dump();
			onEnded(end(exchange, place, AttemptEnd.Broken));
			return;
		}

		await (isStream ? stream(exchange, place, answer) : collect(exchange, place, answer));
	}

	async function run(exchange: Exchange, place: Place, path: string, options: Parameters<typeof fetchTarget>[1]) {
		exchange.abort = new AbortController();
		try {
			const answer = await fetchTarget(`${place.url}${path}`, {
				...options,
				dispatcher: exchange.once ? agents.fresh : agents.kept,
				signal: exchange.abort.signal,
			});
			await take(exchange, place, answer);
		} catch (error) {
			// A cancelled attempt ends once the engine has been told.
			if (!exchange.isAborted) {
				onEnded(end(exchange, place, endOfError(error)));
			}
		}
	}

	return {
		start(exchange: Exchange, place: Place) {
			exchange.attemptStartedAt = now();
			exchange.firstByteAt = 0;
			exchange.offset = 0;
			exchange.hasFinish = false;
			void run(exchange, place, exchange.path, {
				method: exchange.method, body: exchange.body, headers: headersOf(exchange),
			});
		},
		resume(exchange: Exchange, place: Place) {
			const path = `/v1/streams/${encodeURIComponent(exchange.request)}?offset=${exchange.offset}`;
			void run(exchange, place, path, {method: 'GET', headers: headersOf(exchange)});
		},
		/** Cancels the stream at the engine; the attempt then ends as cancelled. */
		async cancel(exchange: Exchange, place: Place) {
			exchange.isAborted = true;
			exchange.abort.abort();
			try {
				const {body} = await fetchTarget(`${place.url}/v1/streams/${encodeURIComponent(exchange.request)}`, {
					method: 'DELETE', dispatcher: agents.kept, headersTimeout: 2000,
				});
				await body.dump();
			} catch {
				// The engine ends a stream that nobody reads by itself.
			}

			onEnded(end(exchange, place, AttemptEnd.Cancelled));
		},
	};
}

/** Output tokens of an unstreamed completion; undefined when the text isn't a whole completion. */
function parseCompletion(text: string): {tokens: number} | undefined {
	try {
		const completion = JSON.parse(text) as {choices?: Array<{finish_reason?: string}>; usage?: {completion_tokens?: number}; error?: unknown};
		const isWhole = completion.error !== undefined || Boolean(completion.choices?.[0]?.finish_reason);
		return isWhole ? {tokens: completion.usage?.completion_tokens ?? 0} : undefined;
	} catch {
		return undefined;
	}
}

/** Sends a whole, unstreamed answer to the caller. */
export function deliver(exchange: Exchange, {status, contentType, body}: {status: number; contentType: string; body: string}) {
	if (exchange.isFinished) {
		return;
	}

	exchange.isFinished = true;
	exchange.delivered = true;
	exchange.response.writeHead(status, {'content-type': contentType, 'x-request-id': exchange.request});
	exchange.response.end(body);
}
