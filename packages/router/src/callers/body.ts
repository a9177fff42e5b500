/*
Reads a request body up to a size limit.
*/
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** Reads the complete body as text; undefined when it is longer than `maxBytes`. Throws when the body is truncated. */
export async function readBody(incoming: IncomingMessage, maxBytes: number): Promise<string | undefined> {
	if (Number(incoming.headers['content-length'] ?? 0) > maxBytes) {
		return undefined;
	}

	const chunks: Buffer[] = [];
	let length = 0;
	for await (const chunk of incoming) {
		length += (chunk as Buffer).length;
		if (length > maxBytes) {
			return undefined;
		}

		chunks.push(chunk as Buffer);
	}

	return Buffer.concat(chunks).toString('utf8');
}
