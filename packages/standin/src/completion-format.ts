/*
Formats an engine's answers as OpenAI chat completions: server-sent events with one token each, or one JSON document.
*/

export type Completion = {
	/** Id in the answer; that of another request when answers are crossed. */
	requestId: string;
	model: string;
	outputTokens: number;
	promptTokens: number;
};

/** Text of one token: contains the request's id and the offset, so that a reader detects tokens of another request. */
export function formatToken(requestId: string, offset: number): string {
	return `${requestId}.${offset} `;
}

/** Event of the token at `offset`; the last token carries the finish reason if `hasFinishReason`. */
export function formatTokenEvent({requestId, model, outputTokens}: Completion, offset: number, hasFinishReason: boolean): string {
	const isFinal = hasFinishReason && offset === outputTokens - 1;
	const data = JSON.stringify({
		id: `chatcmpl-${requestId}`,
		object: 'chat.completion.chunk',
		model,
		choices: [{index: 0, delta: {content: formatToken(requestId, offset)}, finish_reason: isFinal ? 'stop' : null}],
	});
	return `id: ${offset}\ndata: ${data}\n\n`;
}

/** Events that close a complete stream: the usage, then the `[DONE]` terminator. */
export function formatClosingEvents(completion: Completion): string {
	const data = JSON.stringify({
		id: `chatcmpl-${completion.requestId}`,
		object: 'chat.completion.chunk',
		model: completion.model,
		choices: [],
		usage: createUsage(completion),
	});
	return `data: ${data}\n\ndata: [DONE]\n\n`;
}

/** Answer to a request without `stream`. */
export function formatCompletionDocument(completion: Completion, hasFinishReason: boolean): string {
	const {requestId, model, outputTokens} = completion;
	const content = Array.from({length: outputTokens}, (_, offset) => formatToken(requestId, offset)).join('');
	return JSON.stringify({
		id: `chatcmpl-${requestId}`,
		object: 'chat.completion',
		model,
		choices: [{index: 0, message: {role: 'assistant', content}, finish_reason: hasFinishReason ? 'stop' : null}],
		usage: createUsage(completion),
	});
}

function createUsage({promptTokens, outputTokens}: Completion) {
	return {prompt_tokens: promptTokens, completion_tokens: outputTokens, total_tokens: promptTokens + outputTokens};
}
