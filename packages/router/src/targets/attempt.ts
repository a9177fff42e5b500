/*
Runs the attempts that the core starts for an exchange: sends the request to a target, relays the answer to the caller, and
reports to the core how the attempt ended.
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

/** Status codes with which an engine refuses a request without running it. */
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

/** Waits until a slow caller has read what was written or has disconnected; rejects when the attempt is aborted. */
async function waitForDrain({response, abortController}: Exchange) {
	const waitEnded = new AbortController();
	const signal = AbortSignal.any([waitEnded.signal, abortController.signal]);
	try {
		await Promise.race([once(response, 'drain', {signal}), once(response, 'close', {signal})]);
	} finally {
		waitEnded.abort();
	}
}

/** Whether an engine's answer can be relayed: it isn't an engine failure (5xx), nor an error instead of the rest of a stream. */
function isUsableAnswer(exchange: Exchange, {statusCode}: Answer): boolean {
	return statusCode === 200 || (statusCode < 500 && !exchange.response.headersSent);
}

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

		// A once request isn't retried at another target, so its caller receives the engine's refusal.
		if (exchange.kind === TargetKind.Engine && !exchange.once && refusalStatuses.has(answer.statusCode)) {
			await answer.body.dump();
			onEnded(createAttemptEnd(exchange, address, AttemptEnd.Refused));
			return;
		}

		const isStream = exchange.wantsStream && answer.statusCode === 200 && isEventStream(answer);
		const isRestMissing = exchange.hasDelivered && !isStream;
		if (isRestMissing || (exchange.kind === TargetKind.Engine && !isUsableAnswer(exchange, answer))) {
			// The engine failed, or it no longer has the rest of the stream.
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
			// For a cancelled attempt, `cancel` reports the end after it has notified the engine.
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
		/** Aborts the attempt, cancels the stream at the engine, and reports the attempt as cancelled. */
		async cancel(exchange: Exchange, address: TargetAddress) {
			exchange.isAborted = true;
			exchange.abortController.abort();
			try {
				const {body} = await fetchTarget(`${address.url}/v1/streams/${encodeURIComponent(exchange.requestId)}`, {
					method: 'DELETE', dispatcher: agents.keepAlive, headersTimeout: 2000,
				});
				await body.dump();
			} catch {
				// Ignored: the engine ends a stream by itself when nobody reads it.
			}

			onEnded(createAttemptEnd(exchange, address, AttemptEnd.Cancelled));
		},
	};
}

/** Parses an unstreamed completion; undefined when it is incomplete. */
function parseCompletion(text: string): {tokens: number} | undefined {
	try {
		const completion = JSON.parse(text) as {choices?: Array<{finish_reason?: string}>; usage?: {completion_tokens?: number}; error?: unknown};
		const isComplete = completion.error !== undefined || Boolean(completion.choices?.[0]?.finish_reason);
		return isComplete ? {tokens: completion.usage?.completion_tokens ?? 0} : undefined;
	} catch {
		return undefined;
	}
}

/** Sends a complete, unstreamed answer to the caller. */
export function sendBufferedAnswer(exchange: Exchange, {status, contentType, body}: {status: number; contentType: string; body: string}) {
	if (exchange.isFinished) {
		return;
	}

	// Until the head is accepted, the caller can still get another answer.
	exchange.response.writeHead(status, {'content-type': contentType, 'x-request-id': exchange.requestId});
	exchange.isFinished = true;
	exchange.hasDelivered = true;
	exchange.response.end(body);
}
