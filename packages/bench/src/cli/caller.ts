/*
One caller of the demo, as any HTTP client would be: it asks for an address and sends requests there.
*/
import {createParser} from 'eventsource-parser';
import {request} from 'undici';
import type {WorkspaceShare} from '../deployment/plan.ts';
import {parseJson} from '../parse-json.ts';
import {callJson} from '../deployment/http.ts';

export type AddressAnswer = {
	addresses: Array<{url: string; failureDomain: string}>;
	/** How long the addresses may be kept. */
	ttlMs: number;
};

export type ChatBody = {
	model: string;
	messages: Array<{role: string; content: string}>;
	stream: boolean;
};

type Chunk = {choices?: Array<{delta?: {content?: string}}>};

export async function askAddress(url: string, workspace: WorkspaceShare): Promise<AddressAnswer> {
	return callJson<AddressAnswer>(`${url}/v1/address?workspace=${workspace.id}`, {headers: authorization(workspace)});
}

/** Sends a streamed completion; rejects unless the stream ends with `[DONE]`. */
export async function streamChat(url: string, workspace: WorkspaceShare, body: ChatBody): Promise<{events: number; text: string}> {
	const response = await request(`${url}/v1/chat/completions`, {
		method: 'POST',
		headers: {...authorization(workspace), 'content-type': 'application/json'},
		body: JSON.stringify(body),
	});
	if (response.statusCode !== 200) {
		throw new Error(`the streamed completion answered ${response.statusCode}: ${await response.body.text()}`);
	}

	let events = 0;
	let text = '';
	let done = false;
	const parser = createParser({
		onEvent({data}) {
			if (data === '[DONE]') {
				done = true;
				return;
			}

			events++;
			const chunk = parseJson<Chunk>(data);
			text += chunk.choices?.[0]?.delta?.content ?? '';
		},
	});
	response.body.setEncoding('utf8');
	for await (const part of response.body) {
		parser.feed(String(part));
	}

	if (!done) {
		throw new Error(`the stream ended after ${events} events without [DONE]`);
	}

	return {events, text};
}

/** Sends an unstreamed completion and returns its text. */
export async function completeChat(url: string, workspace: WorkspaceShare, body: ChatBody): Promise<string> {
	const answer = await callJson<{choices?: Array<{message?: {content?: string}}>}>(`${url}/v1/chat/completions`, {
		method: 'POST', headers: authorization(workspace), body, timeoutMs: 60_000,
	});
	return answer.choices?.[0]?.message?.content ?? JSON.stringify(answer);
}

/** Sends an application call that may run only once, and returns the answer as text. */
export async function callOnce(url: string, workspace: WorkspaceShare, idempotencyKey: string, body: unknown): Promise<string> {
	const answer = await callJson<unknown>(url, {
		method: 'POST', headers: {...authorization(workspace), 'x-once': 'true', 'idempotency-key': idempotencyKey}, body,
	});
	return JSON.stringify(answer);
}

function authorization({key}: WorkspaceShare) {
	return {authorization: `Bearer ${key}`};
}
