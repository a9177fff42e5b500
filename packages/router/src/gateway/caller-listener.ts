/*
HTTP listener for routed calls. A request is read in full before it is forwarded, so that targets never wait for a slow
caller and a retry sends the same bytes. The listener uses node:http directly: a framework would rebuild the request, but
calls are forwarded with their original bytes and headers.
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
import {createByteBuffer, type ByteBuffer} from '../byte-buffer.ts';
import {createRefusalBody} from '../exchange.ts';
import type {Address} from '../listener.ts';
import type {Timer} from '../timer.ts';
import type {BufferedBytes, BufferHold} from './buffered-bytes.ts';
import {createLingeringCloses} from './lingering-closes.ts';

export type CallerListenerOptions = {
	address: Address;
	timer: Timer;
	bufferedBytes: BufferedBytes;
	/** Called with each request once its body has been read in full. `hold` holds the body, and is released with the response. */
	onRequest: (request: IncomingMessage, response: ServerResponse, body: Buffer | undefined, hold: BufferHold) => void;
	/**
	Called with each request that the budget of buffered bytes refuses; returns the refusal.

	@param bytes Declared length of the body; without one, the bytes that have arrived.
	*/
	onBuffersFull: (request: IncomingMessage, bytes: number) => Refusal;
};

export type CallerListener = {
	/** Applies limits to new requests. */
	setLimits(limits: CallerLimits): void;
	/** From now on, each connection is closed after the next response whose head hasn't been sent yet. */
	leave(): void;
	/** Stops accepting connections and closes those that are or become idle; resolves when all have closed. */
	close(): Promise<void>;
	closeAllConnections(): void;
};

/** Limits that apply until the first catalogue arrives. */
export const defaultCallerLimits: CallerLimits = {
	headerBytes: 16_384,
	bodyBytes: 4_194_304,
	headersTimeoutMs: 3000,
	idleTimeoutMs: 15_000,
};

/** Largest header section that the HTTP parser accepts, in bytes; the catalogue's limit is checked after parsing. */
const maxParserHeaderBytes = 65_536;

/**
Extra time that an idle connection is kept open beyond the advertised idle timeout, in milliseconds: the caller's last
request may still be in transit.
*/
const keepAliveMarginMs = 1000;

/** Interval of the check for requests that arrive too slowly, in milliseconds. */
const slowRequestCheckMs = 1000;

/** Interval at which idle connections are closed after the listener has been closed, in milliseconds. */
const idleConnectionCheckMs = 50;

function createNotRunRefusal(kind: RefusalKind, detail = ''): Refusal {
	return {kind, outcome: Outcome.NotRun, detail};
}

/** Refusal kinds by error code of the HTTP parser; any other code is a malformed request. */
const parserRefusalKinds: Record<string, RefusalKind> = {
	HPE_HEADER_OVERFLOW: RefusalKind.HeadersTooLarge,
	ERR_HTTP_REQUEST_TIMEOUT: RefusalKind.RequestTimeout,
};

/** Refuses bytes that can't be parsed as a request, and closes the connection. */
function refuseUnparsable(error: NodeJS.ErrnoException, socket: Socket) {
	if (!socket.writable || error.code === 'ECONNRESET') {
		socket.destroy();
		return;
	}

	const refusal = createNotRunRefusal(parserRefusalKinds[error.code ?? ''] ?? RefusalKind.MalformedBody, error.message);
	const {status} = refusals[refusal.kind];
	const body = JSON.stringify(createRefusalBody(refusal));
	socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n\r\n${body}`);
}

function computeHeaderBytes({rawHeaders, url, method}: IncomingMessage): number {
	// `: ` and CRLF of each header line.
	const separatorBytes = 4;
	let size = (url?.length ?? 0) + (method?.length ?? 0);
	for (const text of rawHeaders) {
		size += text.length + (separatorBytes / 2);
	}

	return size;
}

/** Starts the listener; rejects when its address can't be bound. */
export async function listenForCallers({
	address, timer, bufferedBytes, onRequest, onBuffersFull,
}: CallerListenerOptions): Promise<CallerListener> {
	let limits = defaultCallerLimits;
	const state = {isLeaving: false, isClosing: false};
	const openResponses = new Map<ServerResponse, Socket>();

	/** While the listener closes, closes the connection after a response whose head was sent before and so announced no close. */
	function closeWhenFinished({socket}: IncomingMessage, response: ServerResponse) {
		openResponses.set(response, socket);
		response.once('close', () => {
			openResponses.delete(response);
		});
		response.once('finish', () => {
			openResponses.delete(response);
			// A caller may have sent the next request before this response was complete.
			const hasNextRequest = [...openResponses.values()].includes(socket);
			if (state.isClosing && !hasNextRequest) {
				socket.destroySoon();
			}
		});
	}

	/** Responses of each open connection that haven't closed. */
	const pendingResponses = new Map<Socket, Set<ServerResponse>>();
	const lingeringCloses = createLingeringCloses(timer);

	function trackResponse({socket}: IncomingMessage, response: ServerResponse) {
		const responses = pendingResponses.get(socket);
		responses?.add(response);
		response.once('close', () => {
			responses?.delete(response);
		});
	}

	/** Closes all responses of a connection with it. node:http closes only the one whose turn it is, not those that wait for that. */
	function trackConnection(socket: Socket) {
		const responses = new Set<ServerResponse>();
		pendingResponses.set(socket, responses);
		socket.once('close', () => {
			pendingResponses.delete(socket);
			for (const response of responses) {
				if (!response.socket) {
					response.destroy();
					response.emit('close');
				}
			}
		});
	}

	/** Creates a hold that is released when the response has closed. */
	function createHold(response: ServerResponse): BufferHold {
		const hold = bufferedBytes.createHold();
		response.once('close', hold.release);
		return hold;
	}

	function readRequest(request: IncomingMessage, response: ServerResponse) {
		trackResponse(request, response);
		closeWhenFinished(request, response);
		if (state.isLeaving) {
			response.setHeader('connection', 'close');
		}

		if (computeHeaderBytes(request) > limits.headerBytes) {
			lingeringCloses.refuse(request, response, createNotRunRefusal(RefusalKind.HeadersTooLarge));
			return;
		}

		const declaredBytes = Number(request.headers['content-length'] ?? 0);
		const maxBodyBytes = limits.bodyBytes;
		const hold = createHold(response);

		/** Whether a body of this size may be read; otherwise refuses the request. */
		function admitBody(bytes: number): boolean {
			if (bytes > maxBodyBytes) {
				lingeringCloses.refuse(request, response, createNotRunRefusal(RefusalKind.BodyTooLarge, String(maxBodyBytes)));
				return false;
			}

			if (!hold.tryHoldRequest(bytes)) {
				lingeringCloses.refuse(request, response, onBuffersFull(request, bytes));
				return false;
			}

			return true;
		}

		/** Undefined once the request has been refused. */
		let buffered: ByteBuffer | undefined = admitBody(declaredBytes) ? createByteBuffer(declaredBytes) : undefined;
		request.on('data', (chunk: Buffer) => {
			if (!buffered) {
				return;
			}

			const bytes = buffered.length + chunk.length;
			if (bytes <= declaredBytes || admitBody(bytes)) {
				buffered.append(chunk);
			} else {
				buffered = undefined;
				hold.release();
			}
		});
		request.on('end', () => {
			if (buffered) {
				onRequest(request, response, buffered.length === 0 ? undefined : buffered.take(), hold);
			}
		});
		request.on('error', () => {
			// The caller disconnected before its request was complete, so nobody is left to receive a response.
			response.destroy();
		});
	}

	const server: Server = createServer({
		maxHeaderSize: maxParserHeaderBytes,
		noDelay: true,
		connectionsCheckingInterval: slowRequestCheckMs,
		keepAliveTimeout: limits.idleTimeoutMs + keepAliveMarginMs,
		requestTimeout: 0,
		headersTimeout: limits.headersTimeoutMs,
	}, readRequest);
	server.on('clientError', refuseUnparsable);
	server.on('connection', trackConnection);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, resolve);
	});
	return {
		setLimits(next) {
			limits = next;
			server.keepAliveTimeout = next.idleTimeoutMs + keepAliveMarginMs;
			server.headersTimeout = next.headersTimeoutMs;
		},
		leave() {
			state.isLeaving = true;
			for (const response of openResponses.keys()) {
				if (!response.headersSent) {
					response.setHeader('connection', 'close');
				}
			}
		},
		async close() {
			state.isClosing = true;
			// A connection that has carried no request yet becomes idle without the end of a response.
			const idleCheck = setInterval(() => {
				server.closeIdleConnections();
			}, idleConnectionCheckMs);
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
			clearInterval(idleCheck);
		},
		closeAllConnections() {
			server.closeAllConnections();
		},
	};
}
