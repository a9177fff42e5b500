/*
Validates a streamed answer: a single completion id, consecutive event offsets from 0, the expected number of tokens, and
`[DONE]` as the last event.
*/
import {createParser} from 'eventsource-parser';
import {parseJson} from '../parse-json.ts';

type Chunk = {
	id?: string;
	choices?: Array<{delta?: {content?: string}}>;
	error?: {kind?: string; outcome?: string};
};

export type AnswerCheck = {
	/** Parses a chunk of the stream and returns the number of tokens that it completed. */
	feed: (text: string) => number;
	/** Returns the first fault found, or '' when the answer is complete and valid. Call it after the end of the stream. */
	getFault: () => string;
	/** Returns the number of tokens received so far. */
	getTokens: () => number;
};

/** Creates a check for an answer of `expectedTokens` tokens; 0 accepts any number. */
export function createAnswerCheck(expectedTokens: number): AnswerCheck {
	let tokens = 0;
	let isDone = false;
	let answerId: string | undefined;
	let offset: number | undefined;
	let fault = '';

	const recordFault = (text: string) => {
		fault ||= text;
	};

	const checkOffset = (id: string | undefined) => {
		if (id === undefined) {
			return;
		}

		const next = Number(id);
		if (offset === undefined && next !== 0) {
			recordFault(`starts at offset ${id}`);
		} else if (offset !== undefined && next !== offset + 1) {
			recordFault(`offset ${id} follows ${offset}`);
		}

		offset = next;
	};

	const checkChunk = (chunk: Chunk) => {
		if (chunk.error) {
			recordFault(`error event ${chunk.error.kind}`);
		}

		answerId ??= chunk.id;
		if (chunk.id !== answerId) {
			recordFault(`answer ${chunk.id} in the stream of ${answerId}`);
		}

		if (chunk.choices?.[0]?.delta?.content) {
			tokens++;
		}
	};

	const parser = createParser({
		onEvent({id, data}) {
			if (isDone) {
				recordFault('an event after [DONE]');
			} else if (data === '[DONE]') {
				isDone = true;
			} else {
				checkOffset(id);
				checkChunk(parseJson<Chunk>(data));
			}
		},
	});

	return {
		feed(text) {
			const before = tokens;
			parser.feed(text);
			return tokens - before;
		},
		getFault() {
			if (fault !== '') {
				return fault;
			}

			if (!isDone) {
				return 'no [DONE]';
			}

			return expectedTokens > 0 && tokens !== expectedTokens ? `${tokens} of ${expectedTokens} tokens` : '';
		},
		getTokens: () => tokens,
	};
}
