/*
Delivery of one engine answer to the caller that is connected for it. Every token can be computed from the request's id and
the offset, so an answer needs no buffer: tokens that were generated but not sent are formatted when a caller connects or
resumes, or when a fault that held them back ends.
*/
import type {ServerResponse} from 'node:http';
import {
	formatClosingEvents, formatCompletionDocument, formatTokenEvent, type Completion,
} from './completion-format.ts';

/** Faults of one answer, fixed at its admission. */
export type AnswerFaults = {
	/** Id of another request that the answer carries in place of its own; '' without this fault. */
	crossedWith: string;
	/** Each event of a stream is sent twice. */
	duplicate: boolean;
	/** Ends cleanly, but without the finish reason and, in a stream, without the last token and the closing events. */
	truncate: boolean;
	/** Token offset at which the connection breaks; Infinity without this fault. */
	cutAt: number;
	/** Delay of the answer after its first token was generated. */
	lateMs: number;
};

export const noAnswerFaults: AnswerFaults = {
	crossedWith: '', duplicate: false, truncate: false, cutAt: Number.POSITIVE_INFINITY, lateMs: 0,
};

export type AnswerStream = {
	readonly id: string;
	readonly outputTokens: number;
	/** Number of tokens generated so far. */
	generated: number;
	/** Time at which the last caller disconnected; undefined while one is connected. */
	detachedAt: number | undefined;
	/** Connects a caller from the given token offset and disconnects the previous one. */
	attach(response: ServerResponse, offset: number, now: number): void;
	/** Writes the generated tokens that the connected caller has not been sent. */
	deliver(now: number): void;
	/** Breaks the caller's connection. */
	disconnect(): void;
};

export type AnswerStreamOptions = {
	id: string;
	model: string;
	outputTokens: number;
	promptTokens: number;
	/** Whether the answer is sent as server-sent events or, if false, as one document at the end. */
	isStreaming: boolean;
	faults: AnswerFaults;
	now: () => number;
};

/** Creates an answer to which no caller is connected. */
export function createAnswerStream(options: AnswerStreamOptions): AnswerStream {
	const {id, outputTokens, now: clock} = options;
	let {isStreaming, faults} = options;
	let response: ServerResponse | undefined;
	/** Offset of the next token to send. */
	let sentUntil = 0;
	let firstTokenAt: number | undefined;

	function getCompletion(): Completion {
		return {...options, requestId: faults.crossedWith === '' ? id : faults.crossedWith};
	}

	function writeHeadOnce(to: ServerResponse, contentType: string) {
		if (!to.headersSent) {
			to.writeHead(200, {'content-type': contentType, 'x-request-id': getCompletion().requestId});
		}
	}

	/** Formats the events from `sentUntil` up to the offset and advances `sentUntil`. */
	function formatNextEvents(until: number): string {
		const events: string[] = [];
		const completion = getCompletion();
		for (; sentUntil < until; sentUntil++) {
			const event = formatTokenEvent(completion, sentUntil, !faults.truncate);
			events.push(event);
			if (faults.duplicate) {
				events.push(event);
			}
		}

		return events.join('');
	}

	function deliverEvents(to: ServerResponse) {
		const limit = Math.min(faults.truncate ? outputTokens - 1 : outputTokens, faults.cutAt);
		const events = formatNextEvents(Math.min(answer.generated, limit));
		const isComplete = answer.generated === outputTokens && sentUntil >= Math.min(limit, outputTokens);
		if (events !== '' || isComplete) {
			writeHeadOnce(to, 'text/event-stream');
		}

		if (sentUntil >= faults.cutAt) {
			// Destroyed only after the write, so that the caller receives the tokens before the break.
			to.write(events, () => {
				to.socket?.destroy();
			});
			detach();
		} else if (isComplete) {
			to.end(events + (faults.truncate ? '' : formatClosingEvents(getCompletion())));
			detach();
		} else if (events !== '') {
			to.write(events);
		}
	}

	function deliverDocument(to: ServerResponse) {
		if (answer.generated === outputTokens) {
			writeHeadOnce(to, 'application/json');
			to.end(formatCompletionDocument(getCompletion(), !faults.truncate));
			sentUntil = outputTokens;
			detach();
		}
	}

	function detach() {
		response = undefined;
		answer.detachedAt = clock();
	}

	const answer: AnswerStream = {
		id,
		outputTokens,
		generated: 0,
		detachedAt: undefined,
		attach(to, offset, now) {
			const isResumed = offset > 0 || answer.detachedAt !== undefined;
			response?.socket?.destroy();
			if (isResumed) {
				// A resumed answer is sent without faults: they apply only to the first connection.
				faults = noAnswerFaults;
				isStreaming = true;
			}

			response = to;
			sentUntil = offset;
			answer.detachedAt = undefined;
			to.once('close', () => {
				if (response === to) {
					detach();
				}
			});
			answer.deliver(now);
		},
		deliver(now) {
			if (!response || answer.generated === 0) {
				return;
			}

			firstTokenAt ??= now;
			if (now < firstTokenAt + faults.lateMs) {
				return;
			}

			if (isStreaming) {
				deliverEvents(response);
			} else {
				deliverDocument(response);
			}
		},
		disconnect() {
			response?.socket?.destroy();
			response = undefined;
		},
	};
	return answer;
}
