/*
The port between the headers that callers and targets use and the product's own terms. An adapter implements it for the
platform that it speaks to.
*/
import type {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {CallArrival, LoadReport} from '@shallotloom/core/gateway/rows.ts';

/** Head of a caller's request. */
export type CallHead = {
	/** Path with the query. */
	url: string;
	headers: IncomingHttpHeaders;
};

export type CallReading
	= | {kind: 'ok'; call: Omit<CallArrival, 'id'>; requestId: string}
		| {kind: 'malformed'; detail: string};

/** What a send to a target tells it besides the caller's own request. */
export type SendContext = {
	target: string;
	/** '' for a call that needs no key. */
	workspace: string;
	/** Whether callers have keys, which targets must not see. */
	hasKeys: boolean;
	/** Time that is left until the final answer is due. */
	remainingMs: number;
	/** Id of the last event that the caller has, when a stream goes on; undefined for a send from the start. */
	lastEventId: string | undefined;
};

/** What the head of a target's answer says. */
export type AnswerReading = {
	/** Whether it answers the request that was sent, and not another. */
	isOwn: boolean;
	/** Whether the target says that it did not run the request. */
	isNotRun: boolean;
	/** Whether another target has the address. */
	isWrongTarget: boolean;
	load: LoadReport | undefined;
};

export type CallFormat = {
	readCall(head: CallHead): CallReading;
	/**
	Headers for the target, as names and values in turn.

	@param rawHeaders The caller's, without those that concern only its connection.
	*/
	targetHeaders(rawHeaders: string[], context: SendContext): string[];
	readAnswer(status: number, headers: IncomingHttpHeaders, requestId: string): AnswerReading;
	/** Id of an event; undefined when it has none. */
	eventId(event: Buffer): string | undefined;
};
