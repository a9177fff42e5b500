/*
Budget of the bytes of requests and answers that an instance buffers at once. A request that doesn't fit is refused before a target has
run it. An answer is never refused, since its call has run: one that doesn't fit is relayed as it arrives.
*/
import type {GatewayLimits} from './limits.ts';

export type BufferBudget = Pick<GatewayLimits, 'maxBufferedBytes' | 'largeRequestBytes' | 'largeRequestsFraction'>;

/**
Whether a request of this size may be buffered. Large ones get only a part of the budget, so that small ones still fit while many large
ones arrive. One that is larger than its part is buffered while nothing else is: waiting wouldn't help it.

@param otherBytes Bytes that are buffered for all other requests and for answers.
*/
export function fitsRequest({maxBufferedBytes, largeRequestBytes, largeRequestsFraction}: BufferBudget, requestBytes: number, otherBytes: number): boolean {
	const availableBytes = requestBytes > largeRequestBytes ? maxBufferedBytes * largeRequestsFraction : maxBufferedBytes;
	return requestBytes === 0 || otherBytes === 0 || otherBytes + requestBytes <= availableBytes;
}

/** Whether answers may be buffered until they are complete while this many bytes are buffered in all. */
export function fitsAnswers({maxBufferedBytes}: BufferBudget, bufferedBytes: number): boolean {
	return bufferedBytes <= maxBufferedBytes;
}
