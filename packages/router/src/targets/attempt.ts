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
import {createStreamValidator} from './engine-stream.ts';
import {classifyError, type TargetAgents} from './target-agents.ts';

export type AttemptOptions = {
	agents: TargetAgents;
	now: () => number;
	onStarted: (exchange: Exchange, firstByteMs: number) => void;
	onEnded: (ended: InboundOf<'answerEnded'>) => void;
};

type TargetAddress = {target: string; url: string};
type Answer = Dispatcher.ResponseData<unknown>;

/** Statuses by which an engine says that it didn't take the request. */
const refusalStatuses = new Set([429, 503]);

function createAttemptEnd(exchange: Exchange, {target}: TargetAddress, attemptEnd: AttemptEnd, answer?: string): InboundOf<'answerEnded'> {
	const tokens = exchange.nextOffset;
	const betweenTokensMs = tokens > 1 && exchange.firstByteAt > 0
		? (exchange.lastTokenAt - exchange.firstByteAt) / (tokens - 1)
		: 0;
	return {
		kind: 'answerEnded',
		request: exchange.requestId,
		target,
		end: attemptEnd,
		outputTokens: tokens,
		delivered: exchange.hasDelivered,
		firstByteMs: exchange.firstByteAt > 0 ? exchange.firstByteAt - exchange.attemptStartedAt : 0,
		betweenTokensMs,
		...(answer !== undefined && {answer}),
	};
}

function createTargetHeaders(exchange: Exchange): Record<string, string> {
	return {
		'content-type': exchange.contentType,
		'x-request-id': exchange.requestId,
		...(exchange.prefixHash !== 0 && {'x-prefix-hash': String(exchange.prefixHash)}),
		...(exchange.idempotencyKey !== '' && {'idempotency-key': exchange.idempotencyKey}),
	};
}

function matchesRequest(exchange: Exchange, answer: Answer): boolean {
	const echoedId = answer.headers['x-request-id'];
	return echoedId === undefined || echoedId === exchange.requestId;
}

function isEventStream({headers}: Answer): boolean {
	return String(headers['content-type']).startsWith('text/event-stream');
}

/** Waits until a slow caller has taken what was written, or is gone. */
async function waitForDrain({response, abortController}: Exchange) {
	const waitEnded = new AbortController();
	const signal = AbortSignal.any([waitEnded.signal, abortController.signal]);
	try {
		await Promise.race([once(response, 'drain', {signal}), once(response, 'close', {signal})]);
	} finally {
		waitEnded.abort();
	}
}

/** Whether an engine answers the request: not with its own failure, nor with an error in place of the rest of a stream. */
function isUsableAnswer(exchange: Exchange, {statusCode}: Answer): boolean {
	return statusCode === 200 || (statusCode < 500 && !exchange.response.headersSent);
}

/** Runs attempts and resumptions of exchanges. */
export function createAttempts({agents, now, onStarted, onEnded}: AttemptOptions) {
	function recordFirstByte(exchange: Exchange) {
		if (exchange.firstByteAt === 0) {
			exchange.firstByteAt = now();
			onStarted(exchange, exchange.firstByteAt - exchange.attemptStartedAt);
		}
	}

	async function forwardText(exchange: Exchange, text: string) {
		if (text === '' || exchange.isAborted || exchange.response.destroyed) {
			return;
		}

		if (!exchange.response.headersSent) {
			exchange.response.writeHead(200, {
				'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-request-id': exchange.requestId,
			});
		}

		exchange.hasDelivered = true;
		if (!exchange.response.write(text) && !exchange.response.destroyed) {
			await waitForDrain(exchange);
		}
	}

	async function relayEvents(exchange: Exchange, answer: Answer): Promise<AttemptEnd> {
		const validator = createStreamValidator(exchange.nextOffset, exchange.hasFinishReason);
		const decoder = new StringDecoder('utf8');
		for await (const chunk of answer.body) {
			const text = validator.push(decoder.write(chunk as Buffer));
			exchange.hasFinishReason = validator.state.hasFinishReason;
			if (validator.state.nextOffset > exchange.nextOffset) {
				recordFirstByte(exchange);
				exchange.lastTokenAt = now();
				exchange.nextOffset = validator.state.nextOffset;
			}

			await forwardText(exchange, text);
			if (validator.state.hasGap) {
				break;
			}
		}

		return validator.state.hasDoneMarker && validator.state.hasFinishReason && !validator.state.hasGap ? AttemptEnd.Whole : AttemptEnd.Broken;
	}

	async function handleStream(exchange: Exchange, address: TargetAddress, answer: Answer) {
		const streamEnd = await relayEvents(exchange, answer);
		if (streamEnd === AttemptEnd.Whole) {
			exchange.isFinished = true;
			exchange.response.end();
		}

		onEnded(createAttemptEnd(exchange, address, streamEnd));
	}

	async function handleDocument(exchange: Exchange, address: TargetAddress, answer: Answer) {
		const text = await answer.body.text();
		recordFirstByte(exchange);
		const parsed = exchange.kind === TargetKind.Engine ? parseCompletion(text) : {tokens: 0};
		if (!parsed) {
			onEnded(createAttemptEnd(exchange, address, AttemptEnd.Broken));
			return;
		}

		exchange.nextOffset = parsed.tokens;
		exchange.lastTokenAt = now();
		const contentType = String(answer.headers['content-type'] ?? 'application/json');
		const bufferedAnswer = {status: answer.statusCode, contentType, body: text};
		sendBufferedAnswer(exchange, bufferedAnswer);
		onEnded(createAttemptEnd(exchange, address, AttemptEnd.Whole, exchange.once ? JSON.stringify(bufferedAnswer) : undefined));
	}

	async function handleAnswer(exchange: Exchange, address: TargetAddress, answer: Answer) {
		if (!matchesRequest(exchange, answer)) {
			await answer.body.dump();
			onEnded(createAttemptEnd(exchange, address, AttemptEnd.Mismatched));
			return;
		}

		// A request that may run only once isn't tried elsewhere, so its caller gets the refusal itself.
		if (exchange.kind === TargetKind.Engine && !exchange.once && refusalStatuses.has(answer.statusCode)) {
			await answer.body.dump();
			onEnded(createAttemptEnd(exchange, address, AttemptEnd.Refused));
			return;
		}

		const isStream = exchange.wantsStream && answer.statusCode === 200 && isEventStream(answer);
		const isRestMissing = exchange.hasDelivered && !isStream;
		if (isRestMissing || (exchange.kind === TargetKind.Engine && !isUsableAnswer(exchange, answer))) {
			// The engine failed by itself, or the rest of a stream isn't there any more.
			await answer.body.dump();
			onEnded(createAttemptEnd(exchange, address, AttemptEnd.Broken));
			return;
		}

		await (isStream ? handleStream(exchange, address, answer) : handleDocument(exchange, address, answer));
	}

	async function runAttempt(exchange: Exchange, address: TargetAddress, path: string, options: Parameters<typeof fetchTarget>[1]) {
		exchange.abortController = new AbortController();
		try {
			const answer = await fetchTarget(`${address.url}${path}`, {
				...options,
				dispatcher: exchange.once ? agents.singleUse : agents.keepAlive,
				signal: exchange.abortController.signal,
			});
			await handleAnswer(exchange, address, answer);
		} catch (error) {
			// A cancelled attempt ends once the engine has been told.
			if (!exchange.isAborted) {
				onEnded(createAttemptEnd(exchange, address, classifyError(error)));
			}
		}
	}

	return {
		start(exchange: Exchange, address: TargetAddress) {
			exchange.attemptStartedAt = now();
			exchange.firstByteAt = 0;
			exchange.nextOffset = 0;
			exchange.hasFinishReason = false;
			void runAttempt(exchange, address, exchange.path, {
				method: exchange.method, body: exchange.body, headers: createTargetHeaders(exchange),
			});
		},
		resume(exchange: Exchange, address: TargetAddress) {
			const path = `/v1/streams/${encodeURIComponent(exchange.requestId)}?offset=${exchange.nextOffset}`;
			void runAttempt(exchange, address, path, {method: 'GET', headers: createTargetHeaders(exchange)});
		},
		/** Cancels the stream at the engine; the attempt then ends as cancelled. */
		async cancel(exchange: Exchange, address: TargetAddress) {
			exchange.isAborted = true;
			exchange.abortController.abort();
			try {
				const {body} = await fetchTarget(`${address.url}/v1/streams/${encodeURIComponent(exchange.requestId)}`, {
					method: 'DELETE', dispatcher: agents.keepAlive, headersTimeout: 2000,
				});
				await body.dump();
			} catch {
				// The engine ends a stream that nobody reads by itself.
			}

			onEnded(createAttemptEnd(exchange, address, AttemptEnd.Cancelled));
		},
	};
}

/** Output tokens of an unstreamed completion; undefined when the text isn't a whole completion. */
function parseCompletion(text: string): {tokens: number} | undefined {
	try {
		const completion = JSON.parse(text) as {choices?: Array<{finish_reason?: string}>; usage?: {completion_tokens?: number}; error?: unknown};
		const isComplete = completion.error !== undefined || Boolean(completion.choices?.[0]?.finish_reason);
		return isComplete ? {tokens: completion.usage?.completion_tokens ?? 0} : undefined;
	} catch {
		return undefined;
	}
}

/** Sends a whole, unstreamed answer to the caller. */
export function sendBufferedAnswer(exchange: Exchange, {status, contentType, body}: {status: number; contentType: string; body: string}) {
	if (exchange.isFinished) {
		return;
	}

	exchange.isFinished = true;
	exchange.hasDelivered = true;
	exchange.response.writeHead(status, {'content-type': contentType, 'x-request-id': exchange.requestId});
	exchange.response.end(body);
}
