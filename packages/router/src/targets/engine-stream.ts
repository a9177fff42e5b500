/*
A streamed answer of a model engine: checks that every event belongs to the request and that offsets have no gap, and
forwards events as they come. The answer is whole only when it has a finish reason and the closing `[DONE]`.
*/
import {createParser, type EventSourceMessage} from 'eventsource-parser';

/** What became of one event. */
export type StreamState = {
	/** Offset that the next token must have. */
	nextOffset: number;
	hasFinishReason: boolean;
	hasDoneMarker: boolean;
	/** A token was missing: what follows must not reach the caller. */
	hasGap: boolean;
};

export type StreamValidator = {
	readonly state: StreamState;
	/** Takes bytes of the stream and returns the text to forward. */
	push(chunk: string): string;
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

function formatEvent({id, event, data}: EventSourceMessage): string {
	const head = (id === undefined ? '' : `id: ${id}\n`) + (event === undefined ? '' : `event: ${event}\n`);
	return `${head}data: ${data}\n\n`;
}

/**
Creates the check of one stream.

@param firstOffset Offset of the first token that the caller doesn't have yet.
@param alreadyFinished Whether the caller already has the finish reason, from a stream that broke after it.
*/
export function createStreamValidator(firstOffset: number, alreadyFinished = false): StreamValidator {
	const state: StreamState = {
		nextOffset: firstOffset, hasFinishReason: alreadyFinished, hasDoneMarker: false, hasGap: false,
	};
	let output = '';

	function acceptToken(message: EventSourceMessage): boolean {
		const offset = Number(message.id);
		if (offset < state.nextOffset) {
			// Sent before: a duplicate, or the overlap of a resumed stream.
			return false;
		}

		if (offset > state.nextOffset) {
			state.hasGap = true;
			return false;
		}

		state.nextOffset += 1;
		return true;
	}

	const parser = createParser({
		onEvent(message) {
			if (state.hasGap || state.hasDoneMarker) {
				return;
			}

			state.hasFinishReason ||= hasFinishReason(message.data);
			const isToken = message.id !== undefined && message.id !== '';
			if (message.data === '[DONE]') {
				state.hasDoneMarker = true;
				if (!state.hasFinishReason) {
					// Callers take the end mark for the end of a whole answer.
					return;
				}
			}

			if (!isToken || acceptToken(message)) {
				output += formatEvent(message);
			}
		},
	});
	return {
		state,
		push(chunk) {
			output = '';
			parser.feed(chunk);
			return output;
		},
	};
}
