/*
Listens for callers of routed calls. Requests are read whole before anything is sent on, so that a target never waits for a
caller and a request that is sent again is the same. It uses node:http itself: calls are passed on with the bytes and
headers as they came, which a framework's request objects would rebuild.
*/
import {Buffer} from 'node:buffer';
import {
	createServer, STATUS_CODES, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {CallerLimits} from '@shallotloom/core/gateway/catalogue.ts';
import {
	Outcome, RefusalKind, refusals, type Refusal,
} from '@shallotloom/core/refusal.ts';
import {refusalBody} from '../exchange.ts';
import type {Place} from '../listener.ts';
import {writeRefusal} from './call-exchange.ts';

export type CallerListenerOptions = {
	place: Place;
	/** Takes a request that has been read whole. */
	onCall: (request: IncomingMessage, response: ServerResponse, body: Buffer | undefined) => void;
	/** Whether each connection ends with its next answer. */
	isLeaving: () => boolean;
};

export type CallerListener = {
	/** Puts bounds into force for new requests. */
	setLimits(limits: CallerLimits): void;
	/** Takes no more connections and closes those that are or become idle; resolves when all have ended. */
	close(): Promise<void>;
	closeAll(): void;
};

/** Bounds before the first catalogue. */
export const callerLimitDefaults: CallerLimits = {
	headerBytes: 16_384,
	bodyBytes: 4_194_304,
	headersTimeoutMs: 3000,
	idleTimeoutMs: 15_000,
};

/** Largest header section that the parser takes, in bytes; the catalogue's bound is checked beyond that. */
const parserHeaderBytes = 65_536;

/** Time that an idle connection is kept beyond what callers were told, in milliseconds: their last request may be on its way. */
const idleMarginMs = 1000;

/** Period at which the listener looks for requests that arrive too slowly, in milliseconds. */
const slowCheckMs = 1000;

/** Period at which idle connections are closed once the listener is closed, in milliseconds. */
const idleCheckMs = 50;

function notRun(kind: RefusalKind, detail = ''): Refusal {
	return {kind, outcome: Outcome.NotRun, detail};
}

/** What the parser's errors mean to a caller; any other is a malformed request. */
const parserRefusals: Record<string, RefusalKind> = {
	HPE_HEADER_OVERFLOW: RefusalKind.HeadersTooLarge,
	ERR_HTTP_REQUEST_TIMEOUT: RefusalKind.RequestTimeout,
};

/** Answers bytes that are no request, and closes the connection. */
function refuseBytes(error: NodeJS.ErrnoException, socket: Socket) {
	if (!socket.writable || error.code === 'ECONNRESET') {
		socket.destroy();
		return;
	}

	const refusal = notRun(parserRefusals[error.code ?? ''] ?? RefusalKind.MalformedBody, error.message);
	const {status} = refusals[refusal.kind];
	const body = JSON.stringify(refusalBody(refusal));
	socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n\r\n${body}`);
}

function headerSize({rawHeaders, url, method}: IncomingMessage): number {
	const separators = 4;
	let size = (url?.length ?? 0) + (method?.length ?? 0);
	for (const text of rawHeaders) {
		size += text.length + (separators / 2);
	}

	return size;
}

/** Starts the listener; rejects when its address can't be bound. */
export async function listenForCallers({place, onCall, isLeaving}: CallerListenerOptions): Promise<CallerListener> {
	let limits = callerLimitDefaults;

	function refuse(response: ServerResponse, refusal: Refusal) {
		// The rest of the request is not read, so the connection can't be used again.
		response.setHeader('connection', 'close');
		writeRefusal(response, refusal);
	}

	function read(request: IncomingMessage, response: ServerResponse) {
		if (isLeaving()) {
			response.setHeader('connection', 'close');
		}

		if (headerSize(request) > limits.headerBytes) {
			refuse(response, notRun(RefusalKind.HeadersTooLarge));
			return;
		}

		const chunks: Buffer[] = [];
		const bound = limits.bodyBytes;
		let size = 0;
		request.on('data', (chunk: Buffer) => {
			size += chunk.length;
			if (size <= bound) {
				chunks.push(chunk);
			} else if (!response.headersSent) {
				refuse(response, notRun(RefusalKind.BodyTooLarge, String(bound)));
			}
		});
		request.on('end', () => {
			if (size <= bound) {
				onCall(request, response, size === 0 ? undefined : Buffer.concat(chunks));
			}
		});
		request.on('error', () => {
			// The caller went away before its request was whole; there is nobody to answer.
			response.destroy();
		});
	}

	const server: Server = createServer({
		maxHeaderSize: parserHeaderBytes,
		noDelay: true,
		connectionsCheckingInterval: slowCheckMs,
		keepAliveTimeout: limits.idleTimeoutMs + idleMarginMs,
		requestTimeout: 0,
		headersTimeout: limits.headersTimeoutMs,
	}, read);
	server.on('clientError', refuseBytes);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(place.port, place.host, resolve);
	});
	return {
		setLimits(next) {
			limits = next;
			server.keepAliveTimeout = next.idleTimeoutMs + idleMarginMs;
			server.headersTimeout = next.headersTimeoutMs;
		},
		async close() {
			// A response whose head left before the stop leaves its connection open.
			const idleCheck = setInterval(() => {
				server.closeIdleConnections();
			}, idleCheckMs);
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
			clearInterval(idleCheck);
		},
		closeAll() {
			server.closeAllConnections();
		},
	};
}
