/*
Exchanges: open requests of callers with their HTTP responses. An exchange holds the request body, the response stream and the
progress of the answer; the core decides which targets serve it.
*/
import type {ServerResponse} from 'node:http';
import {Outcome, refusals, type Refusal} from '@shallotloom/core/refusal.ts';
import type {TargetKind} from '@shallotloom/core/configuration.ts';

export type Exchange = {
	requestId: string;
	kind: TargetKind;
	/** Path and query at the target. */
	path: string;
	method: string;
	body: string | undefined;
	contentType: string;
	idempotencyKey: string;
	prefixHash: number;
	wantsStream: boolean;
	once: boolean;
	response: ServerResponse;
	/** Aborts the current HTTP request to the target. */
	abortController: AbortController;
	isAborted: boolean;
	/** Offset of the next token to send to the caller; all tokens before it have been sent. */
	nextOffset: number;
	/** Whether the caller has the finish reason. */
	hasFinishReason: boolean;
	isFinished: boolean;
	/** Whether any part of the answer has been sent to the caller. */
	hasDelivered: boolean;
	/** Output tokens reported to the core so far. */
	reportedTokens: number;
	attemptStartedAt: number;
	firstByteAt: number;
	lastTokenAt: number;
};

export function createRefusalBody({kind, outcome, detail, retryAfterMs}: Refusal) {
	const {message, hint} = refusals[kind];
	return {
		error: {
			kind, message: message(detail), hint, outcome, ...(retryAfterMs !== undefined && {retryAfter: Math.ceil(retryAfterMs / 1000)}),
		},
	};
}

/**
Headers of a refusal, with Retry-After in seconds if a retry can help.

@param fractions Whether Retry-After may have fractions; otherwise it is rounded up.
*/
export function createRefusalHeaders({retryAfterMs}: Refusal, fractions = false): Record<string, string> {
	return {
		'content-type': 'application/json',
		...(retryAfterMs !== undefined && {'retry-after': String(fractions ? retryAfterMs / 1000 : Math.ceil(retryAfterMs / 1000))}),
	};
}

/** Ends an exchange with a refusal. If the answer has begun, sends an error event and destroys the connection. */
export function endWithRefusal(exchange: Exchange, refusal: Refusal) {
	if (exchange.isFinished) {
		return;
	}

	exchange.isFinished = true;
	const {response} = exchange;
	if (response.headersSent) {
		const outcome = refusal.outcome === Outcome.NotRun ? Outcome.Unknown : refusal.outcome;
		response.write(`event: error\ndata: ${JSON.stringify(createRefusalBody({...refusal, outcome}))}\n\n`, () => {
			// Without the final chunk no caller can mistake the truncated answer for a complete one.
			response.destroy();
		});
		return;
	}

	response.writeHead(refusals[refusal.kind].status, {...createRefusalHeaders(refusal), 'x-request-id': exchange.requestId});
	response.end(JSON.stringify(createRefusalBody(refusal)));
}
