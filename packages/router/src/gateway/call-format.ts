/*
Port that translates between the headers of callers and targets and the product's own terms. Each platform has an adapter
that implements it.
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

export type ParsedCall
	= | {kind: 'ok'; call: Omit<CallArrival, 'id' | 'requestId' | 'fingerprint'>; requestId: string}
		| {kind: 'malformed'; detail: string};

/** What a send adds to the caller's own request. */
export type SendContext = {
	target: string;
	/** '' for a call that needs no key. */
	workspace: string;
	/** Whether callers authenticate with keys, which must not be forwarded to targets. */
	hasKeys: boolean;
	/** Time until the final answer is due. */
	remainingMs: number;
	/** Id of the last event that the caller has received, when a stream is resumed; undefined for a send from the start. */
	lastEventId: string | undefined;
};

/** Which request an answer belongs to, by its head. */
export enum AnsweredRequest {
	Sent = 'sent',
	Other = 'other',
	/** A refusal that names no request, since the target may have sent it before it read the headers. */
	Unnamed = 'unnamed',
}

/** Contents of the head of a target's answer. */
export type ParsedAnswerHead = {
	answeredRequest: AnsweredRequest;
	/** Whether the target reports that it did not run the request. */
	isNotRun: boolean;
	/** Whether a different target now has the address. */
	isWrongTarget: boolean;
	load: LoadReport | undefined;
	/** Whether the target reports that it is leaving. */
	isLeaving: boolean;
	/** Time for which the target, having refused the request, wants none from this instance; undefined when it gives none. */
	pauseMs: number | undefined;
	/** Requests per second that the target takes from all instances together; undefined when it names no limit. */
	requestsPerSecond: number | undefined;
	/** Names of the headers whose values are malformed; they are treated as absent. */
	malformedHeaders: string[];
};

export type CallFormat = {
	parseCall(head: CallHead): ParsedCall;
	/**
	Returns the headers for the target as alternating names and values.

	@param rawHeaders The caller's headers, without hop-by-hop headers.
	*/
	createTargetHeaders(rawHeaders: string[], context: SendContext): string[];
	parseAnswerHead(status: number, headers: IncomingHttpHeaders, requestId: string): ParsedAnswerHead;
	/** Returns the id of an event, or undefined when it has none. */
	parseEventId(event: Buffer): string | undefined;
};
