/*
Delivery of one engine answer to whoever is connected for it. The tokens follow from the request's id, so an answer needs
no buffer: what was generated but not delivered is written when a caller connects, resumes, or a fault lets it through.
*/
import type {ServerResponse} from 'node:http';
import {
	closingEvents, completionDocument, tokenEvent, type CompletionFormat,
} from './completion-format.ts';

/** Faults of one answer, fixed at its admission. */
export type AnswerFaults = {
	/** Id in place of the own one; '' without this fault. */
	crossedWith: string;
	duplicate: boolean;
	/** Ends cleanly before the last token. */
	truncate: boolean;
	/** Token offset at which the connection breaks; Infinity without this fault. */
	cutAt: number;
	lateMs: number;
};

export const noAnswerFaults: AnswerFaults = {
	crossedWith: '', duplicate: false, truncate: false, cutAt: Number.POSITIVE_INFINITY, lateMs: 0,
};

export type AnswerStream = {
	readonly id: string;
	readonly outputTokens: number;
	/** Tokens generated so far. */
	generated: number;
	/** Time since when no caller is connected; undefined while one is. */
	detachedAt: number | undefined;
	/** Connects a caller from the offset on, in place of the one before. */
	attach(response: ServerResponse, offset: number, now: number): void;
	/** Writes what the connected caller has not got yet. */
	deliver(now: number): void;
	/** Breaks the caller's connection. */
	cut(): void;
};

export type AnswerStreamOptions = {
	id: string;
	model: string;
	outputTokens: number;
	promptTokens: number;
	/** Server-sent events, or one document at the end. */
	streams: boolean;
	faults: AnswerFaults;
	now: () => number;
};

/** Creates an answer to which no caller is connected. */
export function createAnswerStream(options: AnswerStreamOptions): AnswerStream {
	const {id, outputTokens, now: clock} = options;
	let {streams, faults} = options;
	let response: ServerResponse | undefined;
	let sent = 0;
	let firstTokenAt: number | undefined;

	function format(): CompletionFormat {
		return {...options, requestId: faults.crossedWith === '' ? id : faults.crossedWith};
	}

	function writeHead(to: ServerResponse, contentType: string) {
		if (!to.headersSent) {
			to.writeHead(200, {'content-type': contentType, 'x-request-id': format().requestId});
		}
	}

	function events(until: number): string {
		const texts: string[] = [];
		const own = format();
		for (; sent < until; sent++) {
			const text = tokenEvent(own, sent, !faults.truncate);
			texts.push(text);
			if (faults.duplicate) {
				texts.push(text);
			}
		}

		return texts.join('');
	}

	function deliverEvents(to: ServerResponse) {
		const limit = Math.min(faults.truncate ? outputTokens - 1 : outputTokens, faults.cutAt);
		const text = events(Math.min(answer.generated, limit));
		const complete = answer.generated === outputTokens && sent >= Math.min(limit, outputTokens);
		if (text !== '' || complete) {
			writeHead(to, 'text/event-stream');
		}

		if (sent >= faults.cutAt) {
			// Flushed first, so that the break comes after the tokens before it.
			to.write(text, () => {
				to.socket?.destroy();
			});
			detach();
		} else if (complete) {
			to.end(text + (faults.truncate ? '' : closingEvents(format())));
			detach();
		} else if (text !== '') {
			to.write(text);
		}
	}

	function deliverDocument(to: ServerResponse) {
		if (answer.generated === outputTokens) {
			writeHead(to, 'application/json');
			to.end(completionDocument(format(), !faults.truncate));
			sent = outputTokens;
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
			const resumed = offset > 0 || answer.detachedAt !== undefined;
			response?.socket?.destroy();
			if (resumed) {
				// A resumed answer is whole: its faults belong to the first connection.
				faults = noAnswerFaults;
				streams = true;
			}

			response = to;
			sent = offset;
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

			if (streams) {
				deliverEvents(response);
			} else {
				deliverDocument(response);
			}
		},
		cut() {
			response?.socket?.destroy();
			response = undefined;
		},
	};
	return answer;
}
