/*
Exchanges: callers' requests that are open at this router, from the HTTP side. An exchange holds the body and the response
stream; the core holds the decisions about it.
*/
import type {ServerResponse} from 'node:http';
import {Outcome, refusals, type Refusal} from '@shallotloom/core/refusal.ts';
import type {TargetKind} from '@shallotloom/core/configuration.ts';

export type Exchange = {
	requestId: string;
	kind: TargetKind;
	/** Path and method at the target. */
	path: string;
	method: string;
	body: string | undefined;
	contentType: string;
	idempotencyKey: string;
	prefixHash: number;
	wantsStream: boolean;
	once: boolean;
	response: ServerResponse;
	/** Cancels the attempt at the target. */
	abortController: AbortController;
	isAborted: boolean;
	/** Token offset that the caller has been sent everything below of. */
	nextOffset: number;
	/** Whether the caller has the finish reason. */
	hasFinishReason: boolean;
	isFinished: boolean;
	hasDelivered: boolean;
	/** Output tokens of which the core has heard. */
	reportedTokens: number;
	attemptStartedAt: number;
	firstByteAt: number;
	lastTokenAt: number;
};

/** JSON body of a refusal. */
export function createRefusalBody({kind, outcome, detail, retryAfterMs}: Refusal) {
	const {message, hint} = refusals[kind];
	return {
		error: {
			kind, message: message(detail), hint, outcome, ...(retryAfterMs !== undefined && {retryAfter: Math.ceil(retryAfterMs / 1000)}),
		},
	};
}

/**
Headers of a refusal: Retry-After where coming back helps, in whole seconds.

@param fractions Whether callers take fractions of a second.
*/
export function createRefusalHeaders({retryAfterMs}: Refusal, fractions = false): Record<string, string> {
	return {
		'content-type': 'application/json',
		...(retryAfterMs !== undefined && {'retry-after': String(fractions ? retryAfterMs / 1000 : Math.ceil(retryAfterMs / 1000))}),
	};
}

/** Ends an exchange with a refusal; one whose answer has begun ends with an error event and a broken connection. */
export function endWithRefusal(exchange: Exchange, refusal: Refusal) {
	if (exchange.isFinished) {
		return;
	}

	exchange.isFinished = true;
	const {response} = exchange;
	if (response.headersSent) {
		const outcome = refusal.outcome === Outcome.NotRun ? Outcome.Unknown : refusal.outcome;
		response.write(`event: error\ndata: ${JSON.stringify(createRefusalBody({...refusal, outcome}))}\n\n`, () => {
			// The connection breaks without its closing chunk, so no caller takes the answer for whole.
			response.destroy();
		});
		return;
	}

	response.writeHead(refusals[refusal.kind].status, {...createRefusalHeaders(refusal), 'x-request-id': exchange.requestId});
	response.end(JSON.stringify(createRefusalBody(refusal)));
}
