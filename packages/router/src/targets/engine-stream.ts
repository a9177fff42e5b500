/*
Validates the event stream of a model engine: drops tokens that were sent before, stops at a gap in the token offsets, and
passes on all other events. The answer is complete only with a finish reason and the closing `[DONE]`.
*/
import {createParser, type EventSourceMessage} from 'eventsource-parser';

/** State of the stream after the events so far. */
export type StreamState = {
	/** Expected offset of the next token. */
	nextOffset: number;
	hasFinishReason: boolean;
	hasDoneMarker: boolean;
	/** A token is missing, or the rest can't be read; later events must not be sent to the caller. */
	hasGap: boolean;
};

/** Longest event, in characters; one without end would fill the memory. */
const maxEventLength = 1024 * 1024;

export type StreamValidator = {
	readonly state: StreamState;
	/** Processes a piece of the stream and returns the text to forward to the caller. */
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
Creates the validator of one stream.

@param firstOffset Offset of the first token that the caller doesn't have yet.
@param alreadyFinished Whether the caller already has the finish reason, from a stream that was cut after it.
*/
export function createStreamValidator(firstOffset: number, alreadyFinished = false): StreamValidator {
	const state: StreamState = {
		nextOffset: firstOffset, hasFinishReason: alreadyFinished, hasDoneMarker: false, hasGap: false,
	};
	let output = '';

	function acceptToken(message: EventSourceMessage): boolean {
		const offset = Number(message.id);
		if (offset < state.nextOffset) {
			// The caller has this token: it is a duplicate, or a resumed stream overlaps.
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
		maxBufferSize: maxEventLength,
		onError({type}) {
			state.hasGap ||= type === 'max-buffer-size-exceeded';
		},
		onEvent(message) {
			if (state.hasGap || state.hasDoneMarker) {
				return;
			}

			state.hasFinishReason ||= hasFinishReason(message.data);
			const isToken = message.id !== undefined && message.id !== '';
			if (message.data === '[DONE]') {
				state.hasDoneMarker = true;
				if (!state.hasFinishReason) {
					// Not forwarded: callers would take the end marker for the end of a complete answer.
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
			if (!state.hasGap) {
				parser.feed(chunk);
			}

			return output;
		},
	};
}
