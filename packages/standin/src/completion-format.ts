/*
Text of an engine's answers in the OpenAI format: server-sent events with one token each, or one JSON document.
*/
export type CompletionFormat = {
	/** Id in the chunks; another request's when answers are crossed. */
	requestId: string;
	model: string;
	outputTokens: number;
	promptTokens: number;
};

/** Text of one token: it names the request and the offset, so that a reader can tell a token that isn't its own. */
export function tokenText(requestId: string, offset: number): string {
	return `${requestId}.${offset} `;
}

/** Event of the token at `offset`; the last token carries the finish reason unless it is left out. */
export function tokenEvent({requestId, model, outputTokens}: CompletionFormat, offset: number, finishes: boolean): string {
	const last = finishes && offset === outputTokens - 1;
	const data = JSON.stringify({
		id: `chatcmpl-${requestId}`,
		object: 'chat.completion.chunk',
		model,
		choices: [{index: 0, delta: {content: tokenText(requestId, offset)}, finish_reason: last ? 'stop' : null}],
	});
	return `id: ${offset}\ndata: ${data}\n\n`;
}

/** Events that close a complete stream: usage, then the end mark. */
export function closingEvents(format: CompletionFormat): string {
	const data = JSON.stringify({
		id: `chatcmpl-${format.requestId}`,
		object: 'chat.completion.chunk',
		model: format.model,
		choices: [],
		usage: usageOf(format),
	});
	return `data: ${data}\n\ndata: [DONE]\n\n`;
}

/** Answer to a request without `stream`. */
export function completionDocument(format: CompletionFormat, finishes: boolean): string {
	const {requestId, model, outputTokens} = format;
	const content = Array.from({length: outputTokens}, (_, offset) => tokenText(requestId, offset)).join('');
	return JSON.stringify({
		id: `chatcmpl-${requestId}`,
		object: 'chat.completion',
		model,
		choices: [{index: 0, message: {role: 'assistant', content}, finish_reason: finishes ? 'stop' : null}],
		usage: usageOf(format),
	});
}

function usageOf({promptTokens, outputTokens}: CompletionFormat) {
	return {prompt_tokens: promptTokens, completion_tokens: outputTokens, total_tokens: promptTokens + outputTokens};
}
