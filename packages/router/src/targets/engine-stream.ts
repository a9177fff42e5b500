/*
A streamed answer of a model engine: checks that every event belongs to the request and that offsets have no gap, and
forwards events as they come. The answer is whole only when it has a finish reason and the closing `[DONE]`.
*/
import {createParser, type EventSourceMessage} from 'eventsource-parser';

/** What became of one event. */
export type StreamState = {
	/** Offset that the next token must have. */
	next: number;
	hasFinish: boolean;
	isDone: boolean;
	/** A token was missing: what follows must not reach the caller. */
	hasGap: boolean;
};

export type StreamCheck = {
	readonly state: StreamState;
	/** Takes bytes of the stream and returns the text to forward. */
	feed(chunk: string): string;
};

type Chunk = {choices?: Array<{finish_reason?: string | null}>};

function hasFinishReason(data: string): boolean {
	if (!data.includes('"finish_reason"')) {
		return false;
	}

	try {
		return Boolean((JSON.parse(data) as Chunk).choices?.some(choice => choice.finish_reason));
	} catch {
		return false;
	}
}

function format({id, event, data}: EventSourceMessage): string {
	const head = (id === undefined ? '' : `id: ${id}\n`) + (event === undefined ? '' : `event: ${event}\n`);
	return `${head}data: ${data}\n\n`;
}

/**
Creates the check of one stream.

@param from Offset of the first token that the caller doesn't have yet.
@param isFinished Whether the caller already has the finish reason, from a stream that broke after it.
*/
export function createStreamCheck(from: number, isFinished = false): StreamCheck {
	const state: StreamState = {
		next: from, hasFinish: isFinished, isDone: false, hasGap: false,
	};
	let forward = '';

	function takeToken(message: EventSourceMessage): boolean {
		const offset = Number(message.id);
		if (offset < state.next) {
			// Sent before: a duplicate, or the overlap of a resumed stream.
			return false;
		}

		if (offset > state.next) {
			state.hasGap = true;
			return false;
		}

		state.next += 1;
		return true;
	}

	const parser = createParser({
		onEvent(message) {
			if (state.hasGap || state.isDone) {
				return;
			}

			state.hasFinish ||= hasFinishReason(message.data);
			const isToken = message.id !== undefined && message.id !== '';
			if (message.data === '[DONE]') {
				state.isDone = true;
				if (!state.hasFinish) {
					// Callers take the end mark for the end of a whole answer.
					return;
				}
			}

			if (!isToken || takeToken(message)) {
				forward += format(message);
			}
		},
	});
	return {
		state,
		feed(chunk) {
			forward = '';
			parser.feed(chunk);
			return forward;
		},
	};
}
