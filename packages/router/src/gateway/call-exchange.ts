/*
The HTTP side of one routed call: the caller's request, its response, and what of the answer the caller has.
*/
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {refusals, type Refusal} from '@shallotloom/core/refusal.ts';
import {refusalBody, refusalHeaders} from '../exchange.ts';
import type {DispatchController} from './target-send.ts';

/** Answer of a target that is kept until the core decides what becomes of it. */
export type HeldAnswer = {
	status: number;
	headers: Record<string, string | string[]>;
	body: Buffer;
};

export type CallExchange = {
	id: string;
	/** The caller's id of its request. */
	requestId: string;
	method: string;
	/** Path with the query. */
	url: string;
	/** As names and values in turn, without those of the connection. */
	headers: string[];
	body: Buffer | undefined;
	response: ServerResponse;
	/** Whether the caller has its final answer, or is gone. */
	isFinished: boolean;
	/** Id of the last event that the caller was sent. */
	lastEventId: string | undefined;
	/** Number of the send whose answer counts; others are dropped. */
	send: number;
	controller: DispatchController | undefined;
	failure: HeldAnswer | undefined;
};

/** Sends a whole answer. */
export function deliver(exchange: CallExchange, {status, headers, body}: HeldAnswer) {
	exchange.isFinished = true;
	exchange.response.writeHead(status, {...headers, 'content-length': String(body.length)});
	exchange.response.end(body);
}

/** Ends an exchange without a target's answer; one that has begun ends with a broken connection, so that it isn't taken for whole. */
export function endRefused(exchange: CallExchange, refusal: Refusal) {
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

/** Writes a refusal as the whole response. */
export function writeRefusal(response: ServerResponse, refusal: Refusal) {
	const body = Buffer.from(JSON.stringify(refusalBody(refusal)));
	response.writeHead(refusals[refusal.kind].status, {...refusalHeaders(refusal, true), 'content-length': String(body.length)});
	response.end(body);
}
