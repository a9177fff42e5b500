/*
Parses OpenAI-style chat completion requests.
*/
import murmurhash from 'murmurhash';
import {z} from 'zod';

const chatSchema = z.looseObject({
	model: z.string().min(1),
	messages: z.array(z.looseObject({role: z.string(), content: z.unknown()})).min(1),
	stream: z.boolean().optional(),

	max_tokens: z.int().positive().optional(),
});

export type ChatRequest = {
	pool: string;
	wantsStream: boolean;
	/** Estimated from the length of the messages. */
	inputTokens: number;
	/** Maximum number of output tokens set by the caller; 0 if it sets none. */
	costHint: number;
	/** Hash of the beginning of the messages; requests with the same hash are routed to the same prompt cache. */
	prefixHash: number;
};

export type ParsedChatRequest
	= | {kind: 'ok'; chat: ChatRequest}
		| {kind: 'malformed'; detail: string};

/** Mean length of a token in prompts. */
const charactersPerToken = 4;

/** Length of the prefix whose hash routes requests to the same prompt cache. */
const hashedPrefixCharacters = 512;

/** Parses a request body; `detail` names the first problem. */
export function parseChatRequest(body: string): ParsedChatRequest {
	let json: unknown;
	try {
		json = JSON.parse(body);
	} catch {
		return {kind: 'malformed', detail: 'the body is not JSON'};
	}

	const parsed = chatSchema.safeParse(json);
	if (!parsed.success) {
		const [issue] = parsed.error.issues;
		return {kind: 'malformed', detail: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}`};
	}

	const text = JSON.stringify(parsed.data.messages);
	return {
		kind: 'ok',
		chat: {
			pool: parsed.data.model,
			wantsStream: parsed.data.stream ?? false,
			inputTokens: Math.ceil(text.length / charactersPerToken),
			costHint: parsed.data.max_tokens ?? 0,
			prefixHash: murmurhash.v3(text.slice(0, hashedPrefixCharacters)),
		},
	};
}
