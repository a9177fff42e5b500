/*
HTTP state of one routed call: the caller's request, its response, and how much of the answer the caller has received.
*/
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {refusals, type Refusal} from '@shallotloom/core/refusal.ts';
import {createRefusalBody, createRefusalHeaders} from '../exchange.ts';
import type {BufferHold} from './buffered-bytes.ts';
import type {DispatchController} from './target-send.ts';

/** Complete answer of a target, buffered until the core decides whether the caller gets it. */
export type BufferedAnswer = {
	status: number;
	headers: Record<string, string | string[]>;
	body: Buffer;
};

/** What stays the same in the head of a stream when another target sends the rest. */
export type StreamHead = {status: number; mediaType: string};

export type CallExchange = {
	id: string;
	/** Request id that the caller chose. */
	requestId: string;
	method: string;
	/** Path with the query. */
	url: string;
	/** Alternating names and values, without hop-by-hop headers. */
	headers: string[];
	body: Buffer | undefined;
	response: ServerResponse;
	/** What the exchange holds of the budget of buffered bytes. */
	hold: BufferHold;
	/** Whether the caller has its final answer or has disconnected. */
	isFinished: boolean;
	/** Id of the last event sent to the caller. */
	lastEventId: string | undefined;
	/** Status and media type of the stream of which the caller has received the head; undefined before. */
	streamHead: StreamHead | undefined;
	/** Number of the send whose answer is used; answers to other sends are discarded. */
	currentSend: number;
	controller: DispatchController | undefined;
	/** Delivers the events of the current send that are held back; undefined when there are none. */
	releaseEvents: (() => void) | undefined;
	/** Error answer of the last target that failed the call. */
	failedAnswer: BufferedAnswer | undefined;
};

/** Sends a complete answer to the caller and finishes the exchange. */
export function sendBufferedAnswer(exchange: CallExchange, {status, headers, body}: BufferedAnswer) {
	// Until the head is accepted, the caller can still get another answer.
	exchange.response.writeHead(status, {...headers, 'content-length': String(body.length)});
	exchange.isFinished = true;
	exchange.response.end(body);
}

/**
Finishes an exchange with a refusal. If the response has already begun, its connection is destroyed instead, so that the
caller doesn't take the truncated response for a complete one.
*/
export function endWithRefusal(exchange: CallExchange, refusal: Refusal) {
	if (exchange.isFinished) {
		return;
	}

	exchange.isFinished = true;
	if (exchange.response.headersSent) {
		exchange.response.destroy();
		return;
	}

	writeRefusal(exchange.response, refusal);
}

/** Writes a refusal as the complete response. */
export function writeRefusal(response: ServerResponse, refusal: Refusal) {
	writeUnendedRefusal(response, refusal);
	response.end();
}

/** Writes all bytes of a refusal without ending the response, so that its connection stays open. */
export function writeUnendedRefusal(response: ServerResponse, refusal: Refusal) {
	const body = Buffer.from(JSON.stringify(createRefusalBody(refusal)));
	response.writeHead(refusals[refusal.kind].status, {...createRefusalHeaders(refusal, true), 'content-length': String(body.length)});
	response.write(body);
}
