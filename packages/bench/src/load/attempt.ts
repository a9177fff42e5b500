/*
Makes one attempt at a request: sends it, reads the streamed answer and classifies how it ended.
*/
import type {Dispatcher} from 'undici';
import {parseJson} from '../parse-json.ts';
import {createAnswerCheck} from './answer-check.ts';
import {Ending} from './record.ts';
import type {Arrival} from './schedule.ts';

/** Characters of the messages' JSON text that routers and engines count as one prompt token. */
const charactersPerToken = 4;

const emptyMessages = JSON.stringify(createMessages(''));

export type AttemptOptions = {
	dispatcher: Dispatcher;
	/** Base URL. */
	entry: string;
	arrival: Arrival;
	/** API key of the workspace. */
	key: string;
	pool: string;
	/** Aborts the attempt when the load ends. */
	signal: AbortSignal;
	/** Called at the first byte of the body of a 200 answer. */
	onFirstByte?: () => void;
	/** Called for each chunk that completes tokens, with their number. */
	onTokens?: (tokens: number) => void;
};

export type AttemptResult = {
	/** HTTP status; 0 when no answer arrived. */
	status: number;
	ending: Ending;
	/** See `RequestRecord`. */
	fault: string;
	/** See `RequestRecord`. */
	outcome: string;
	/** Undefined when the answer has no valid Retry-After. */
	retryAfterMs?: number;
};

/** Never rejects: an error is reported in the result's `fault`. */
export async function attempt(options: AttemptOptions): Promise<AttemptResult> {
	let status = 0;
	try {
		const response = await send(options);
		status = response.statusCode;
		return status === 200 ? await readAnswer(options, response) : await readRefusal(response);
	} catch (error) {
		return {
			status,
			ending: options.signal.aborted ? Ending.Unfinished : Ending.Broken,
			fault: options.signal.aborted ? '' : formatError(error),
			outcome: '',
		};
	}
}

async function send({dispatcher, entry, arrival, key, pool, signal}: AttemptOptions): Promise<Dispatcher.ResponseData> {
	return dispatcher.request({
		origin: entry,
		path: '/v1/chat/completions',
		method: 'POST',
		headers: {
			authorization: `Bearer ${key}`,
			'content-type': 'application/json',
		},
		body: JSON.stringify({
			model: pool,
			stream: true,
			messages: createMessages(createPrompt(arrival.inputTokens)),
			// The stand-in generates `outputTokens`; a lower limit would truncate the answer.
			max_tokens: Math.max(arrival.costHint, arrival.outputTokens),
			standin_output_tokens: arrival.outputTokens,
		}),
		signal,
	});
}

async function readAnswer(options: AttemptOptions, response: Dispatcher.ResponseData): Promise<AttemptResult> {
	const check = createAnswerCheck(options.arrival.outputTokens);
	let hasStarted = false;
	response.body.setEncoding('utf8');
	for await (const chunk of response.body) {
		if (!hasStarted) {
			hasStarted = true;
			options.onFirstByte?.();
		}

		const tokens = check.feed(String(chunk));
		if (tokens > 0) {
			options.onTokens?.(tokens);
		}
	}

	const fault = check.getFault();
	return {
		status: response.statusCode, ending: fault === '' ? Ending.Whole : Ending.Wrong, fault, outcome: '',
	};
}

async function readRefusal(response: Dispatcher.ResponseData): Promise<AttemptResult> {
	const text = await response.body.text();
	const {kind, outcome} = parseRefusal(text);
	const retryAfter = Number(response.headers['retry-after']);
	return {
		status: response.statusCode,
		ending: Ending.Refused,
		fault: kind,
		outcome,
		retryAfterMs: Number.isFinite(retryAfter) ? retryAfter * 1000 : undefined,
	};
}

function parseRefusal(text: string): {kind: string; outcome: string} {
	try {
		const {error} = parseJson<{error: {kind?: string; outcome?: string}}>(text);
		return {kind: error.kind ?? 'no kind', outcome: error.outcome ?? ''};
	} catch {
		return {kind: 'not JSON', outcome: ''};
	}
}

function formatError(error: unknown): string {
	if (error instanceof Error) {
		return 'code' in error ? String(error.code) : error.message;
	}

	return String(error);
}

function createMessages(content: string) {
	return [{role: 'user', content}];
}

function createPrompt(tokens: number): string {
	return 'a'.repeat(Math.max(1, (tokens * charactersPerToken) - emptyMessages.length));
}
