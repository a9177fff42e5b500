/*
Checks that a streamed answer is whole and belongs to its request: one id throughout, offsets without a hole, as many
tokens as were asked for, and `[DONE]` at the end.
*/
import {createParser} from 'eventsource-parser';
import {parseJson} from '../parse-json.ts';

type Chunk = {
	id?: string;
	choices?: Array<{delta?: {content?: string}}>;
	error?: {kind?: string; outcome?: string};
};

export type AnswerCheck = {
	/** Reads a piece of the stream and returns how many tokens it held. */
	feed: (piece: string) => number;
	/** Why the answer isn't whole; '' when it is. */
	fault: () => string;
	/** Tokens so far. */
	tokens: () => number;
};

/** Checks an answer that must hold `expectedTokens` tokens; 0 when any number will do. */
export function createAnswerCheck(expectedTokens: number): AnswerCheck {
	let tokens = 0;
	let done = false;
	let answerId: string | undefined;
	let offset: number | undefined;
	let fault = '';

	const blame = (text: string) => {
		fault ||= text;
	};

	const checkOffset = (id: string | undefined) => {
		if (id === undefined) {
			return;
		}

		const next = Number(id);
		if (offset === undefined && next !== 0) {
			blame(`starts at offset ${id}`);
		} else if (offset !== undefined && next !== offset + 1) {
			blame(`offset ${id} follows ${offset}`);
		}

		offset = next;
	};

	const checkChunk = (chunk: Chunk) => {
		if (chunk.error) {
			blame(`error event ${chunk.error.kind}`);
		}

		answerId ??= chunk.id;
		if (chunk.id !== answerId) {
			blame(`answer ${chunk.id} in the stream of ${answerId}`);
		}

		if (chunk.choices?.[0]?.delta?.content) {
			tokens++;
		}
	};

	const parser = createParser({
		onEvent({id, data}) {
			if (done) {
				blame('an event after [DONE]');
			} else if (data === '[DONE]') {
				done = true;
			} else {
				checkOffset(id);
				checkChunk(parseJson<Chunk>(data));
			}
		},
	});

	return {
		feed(piece) {
			const before = tokens;
			parser.feed(piece);
			return tokens - before;
		},
		fault() {
			if (fault !== '') {
				return fault;
			}

			if (!done) {
				return 'no [DONE]';
			}

			return expectedTokens > 0 && tokens !== expectedTokens ? `${tokens} of ${expectedTokens} tokens` : '';
		},
		tokens: () => tokens,
	};
}
