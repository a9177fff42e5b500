/*
One attempt at one request: sends it, reads the answer as it streams, and says how it ended.
*/
import type {Dispatcher} from 'undici';
import {parseJson} from '../parse-json.ts';
import {createAnswerCheck} from './answer-check.ts';
import {Ending} from './record.ts';
import type {Arrival} from './schedule.ts';

/** Length of one prompt token in characters of the JSON text of the messages, as routers and engines count it. */
const tokenCharacters = 4;

const emptyMessages = JSON.stringify(messages(''));

export type AttemptOptions = {
	dispatcher: Dispatcher;
	entry: string;
	arrival: Arrival;
	/** Key of the workspace. */
	key: string;
	pool: string;
	/** Aborts the attempt when the load ends. */
	signal: AbortSignal;
	/** Called at the first byte of a good answer. */
	onFirstByte?: () => void;
	/** Called with the number of tokens that came together. */
	onTokens?: (tokens: number) => void;
};

export type AttemptResult = {
	status: number;
	ending: Ending;
	fault: string;
	outcome: string;
	/** Undefined when the answer names no time. */
	retryAfterMs?: number;
};

/** Never rejects: whatever goes wrong is the result's `fault`. */
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
			fault: options.signal.aborted ? '' : faultOf(error),
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
			messages: messages(prompt(arrival.inputTokens)),
			// A bound below the real size would cut the answer.
			max_tokens: Math.max(arrival.costHint, arrival.outputTokens),
			standin_output_tokens: arrival.outputTokens,
		}),
		signal,
	});
}

async function readAnswer(options: AttemptOptions, response: Dispatcher.ResponseData): Promise<AttemptResult> {
	const check = createAnswerCheck(options.arrival.outputTokens);
	let started = false;
	response.body.setEncoding('utf8');
	for await (const piece of response.body) {
		if (!started) {
			started = true;
			options.onFirstByte?.();
		}

		const tokens = check.feed(String(piece));
		if (tokens > 0) {
			options.onTokens?.(tokens);
		}
	}

	const fault = check.fault();
	return {
		status: response.statusCode, ending: fault === '' ? Ending.Whole : Ending.Wrong, fault, outcome: '',
	};
}

async function readRefusal(response: Dispatcher.ResponseData): Promise<AttemptResult> {
	const text = await response.body.text();
	const {kind, outcome} = refusalOf(text);
	const retryAfter = Number(response.headers['retry-after']);
	return {
		status: response.statusCode,
		ending: Ending.Refused,
		fault: kind,
		outcome,
		retryAfterMs: Number.isFinite(retryAfter) ? retryAfter * 1000 : undefined,
	};
}

function refusalOf(text: string): {kind: string; outcome: string} {
	try {
		const {error} = parseJson<{error: {kind?: string; outcome?: string}}>(text);
		return {kind: error.kind ?? 'no kind', outcome: error.outcome ?? ''};
	} catch {
		return {kind: 'not JSON', outcome: ''};
	}
}

function faultOf(error: unknown): string {
	if (error instanceof Error) {
		return 'code' in error ? String(error.code) : error.message;
	}

	return String(error);
}

function messages(content: string) {
	return [{role: 'user', content}];
}

function prompt(tokens: number): string {
	return 'a'.repeat(Math.max(1, (tokens * tokenCharacters) - emptyMessages.length));
}
