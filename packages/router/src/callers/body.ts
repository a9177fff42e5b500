/*
Reads a request body up to a size limit.
*/
import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {createByteBuffer} from '../byte-buffer.ts';

/** Reads the complete body as text; undefined when it is longer than `maxBytes`. Throws when the body is truncated. */
export async function readBody(incoming: IncomingMessage, maxBytes: number): Promise<string | undefined> {
	if (Number(incoming.headers['content-length'] ?? 0) > maxBytes) {
		return undefined;
	}

	const body = createByteBuffer();
	for await (const chunk of incoming) {
		body.append(chunk as Buffer);
		if (body.length > maxBytes) {
			return undefined;
		}
	}

	return body.take().toString('utf8');
}
