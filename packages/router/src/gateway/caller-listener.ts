/*
HTTP listener for routed calls. A request is read in full before it is forwarded, so that targets never wait for a slow
caller and a retry sends the same bytes. The listener uses node:http directly: a framework would rebuild the request, but
calls are forwarded with their original bytes and headers.
*/
import {Buffer} from 'node:buffer';
import {
	createServer, STATUS_CODES, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import type {CallerLimits} from '@shallotloom/core/gateway/catalogue.ts';
import {
	Outcome, RefusalKind, refusals, type Refusal,
} from '@shallotloom/core/refusal.ts';
import {createByteBuffer, type ByteBuffer} from '../byte-buffer.ts';
import {createRefusalBody} from '../exchange.ts';
import {bindServer, type Address, type BindOptions} from '../listener.ts';
import {runAfterNextPoll} from '../loop-stalls.ts';
import type {Timer} from '../timer.ts';
import type {BufferedBytes, BufferHold} from './buffered-bytes.ts';
import {ConnectionEnd, createCallerConnections} from './caller-connections.ts';
import {createLingeringCloses} from './lingering-closes.ts';

export type CallerListenerOptions = {
	address: Address;
	bind?: BindOptions | undefined;
	timer: Timer;
	bufferedBytes: BufferedBytes;
	onConnectionClosed: (reason: ConnectionEnd) => void;
	/** Called with the error of a connection that can't be accepted. */
	onError: (error: Error) => void;
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
	/**
	Reads what has arrived, stops accepting connections and closes those that are or become idle; resolves when all have closed. Responses
	to requests that it reads announce the end of their connections.
	*/
	close(): Promise<void>;
	/** Closes the connections that are left; returns their number. */
	closeAllConnections(): number;
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

/** Most polls for connections and requests that have arrived before the listener closes. */
const maxPollsBeforeClose = 50;

const msPerSecond = 1000;

function createNotRunRefusal(kind: RefusalKind, detail = ''): Refusal {
	return {kind, outcome: Outcome.NotRun, detail};
}

/** Error code of a request whose head arrives too slowly; it may still arrive after that. */
const headersTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Refusal kinds by error code of the HTTP parser; any other code is a malformed request. */
const parserRefusalKinds: Record<string, RefusalKind> = {
	HPE_HEADER_OVERFLOW: RefusalKind.HeadersTooLarge,
	[headersTimeoutCode]: RefusalKind.RequestTimeout,
};

function createParserRefusal({code, message}: NodeJS.ErrnoException): Refusal {
	return createNotRunRefusal(parserRefusalKinds[code ?? ''] ?? RefusalKind.MalformedBody, message);
}

/** Refuses bytes that can't be parsed as a request, and closes the connection. */
function refuseUnparsable(error: NodeJS.ErrnoException, socket: Socket) {
	const refusal = createParserRefusal(error);
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
	address, bind, timer, bufferedBytes, onRequest, onBuffersFull, onConnectionClosed, onError,
}: CallerListenerOptions): Promise<CallerListener> {
	let limits = defaultCallerLimits;
	const state = {isLeaving: false, isClosing: false};
	const connections = createCallerConnections({onClosed: onConnectionClosed});
	/** Number of connections and requests so far. */
	let arrivals = 0;

	/** Says how long the connection stays open after a response; node:http would say the time at which it closes the connection. */
	function announceIdleTimeout(response: ServerResponse) {
		const seconds = Math.floor(limits.idleTimeoutMs / msPerSecond);
		if (seconds > 0 && response.shouldKeepAlive) {
			response.setHeader('keep-alive', `timeout=${seconds}`);
		}
	}

	/** Connections with bytes that are no request, which are refused after the responses that are owed. */
	const unparsable = new WeakSet<Socket>();
	/** Connections on which such bytes have been refused. */
	const refused = new WeakSet<Socket>();

	/**
	Refuses bytes that can't be parsed as a request after the responses to the requests before them, since callers take responses in the
	order of their requests. A request whose body is malformed has no other response.
	*/
	function refuseAfterResponses(error: NodeJS.ErrnoException, socket: Socket) {
		const last = connections.findLastOwedResponse(socket);
		if (!last) {
			refused.add(socket);
			refuseUnparsable(error, socket);
			return;
		}

		if (!unparsable.has(socket)) {
			unparsable.add(socket);
			last.once('finish', () => {
				unparsable.delete(socket);
				const hasArrived = error.code === headersTimeoutCode && connections.hasOpenResponse(socket);
				if (!hasArrived) {
					refuseAfterResponses(error, socket);
				}
			});
		}
	}

	const lingeringCloses = createLingeringCloses(timer);

	/** Creates a hold that is released when the response has closed. */
	function createHold(response: ServerResponse): BufferHold {
		const hold = bufferedBytes.createHold();
		response.once('close', hold.release);
		return hold;
	}

	function readRequest(request: IncomingMessage, response: ServerResponse) {
		arrivals += 1;
		if (refused.has(request.socket) || connections.isEndAnnounced(request.socket)) {
			request.resume();
			return;
		}

		announceIdleTimeout(response);
		const {idleTimeoutMs} = limits;
		connections.addResponse(request, response, hasNextRequest => {
			if (hasNextRequest) {
				return;
			}

			// node:http would apply the limits that are in force by now.
			request.socket.setTimeout(idleTimeoutMs + keepAliveMarginMs);
			if (state.isClosing) {
				// The head of the response was sent before the stop, and so announced no end.
				request.socket.destroySoon();
			}
		});
		if (state.isLeaving) {
			connections.announceEnd(request.socket);
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
			connections.recordRequestEnd(request.socket);
			if (buffered) {
				onRequest(request, response, buffered.length === 0 ? undefined : buffered.take(), hold);
			}
		});
		response.on('error', () => {
			response.destroy();
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
	server.on('connection', socket => {
		arrivals += 1;
		connections.add(socket);
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
		if (!socket.writable || error.code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		const requests = connections.countRequests(socket);
		const refuse = () => {
			// After a stall, a head that counts as late may have waited unread.
			if (connections.countRequests(socket) === requests) {
				onConnectionClosed(ConnectionEnd.Unparsable);
				refuseAfterResponses(error, socket);
			}
		};

		if (error.code === headersTimeoutCode) {
			runAfterNextPoll(refuse);
		} else {
			refuse();
		}
	});
	server.on('connect', (_request, socket) => {
		refuseAfterResponses(new Error('CONNECT is not supported'), socket as Socket);
	});

	/**
	Resolves once the event loop has polled without finding a new connection or request. Closing a connection earlier would reset it with
	what has arrived, and its caller couldn't know whether its request was read.
	*/
	async function readArrived() {
		let known = -1;
		for (let polls = 0; known !== arrivals && polls < maxPollsBeforeClose; polls += 1) {
			known = arrivals;
			await new Promise<void>(resolve => {
				runAfterNextPoll(resolve);
			});
		}
	}

	await bindServer(server, address, bind);
	server.on('error', onError);
	return {
		setLimits(next) {
			limits = next;
			server.keepAliveTimeout = next.idleTimeoutMs + keepAliveMarginMs;
			server.headersTimeout = next.headersTimeoutMs;
		},
		leave() {
			state.isLeaving = true;
			connections.announceEnds();
		},
		async close() {
			state.isLeaving = true;
			await readArrived();
			state.isClosing = true;
			connections.closeIdle();
			// A connection on which a request has begun may become idle without the end of a response.
			const idleCheck = setInterval(() => {
				runAfterNextPoll(connections.closeIdle);
			}, idleConnectionCheckMs);
			await new Promise<void>(resolve => {
				// That of node:http also closes connections whose last response has been written, but not sent.
				NetServer.prototype.close.call(server, () => {
					resolve();
				});
			});
			clearInterval(idleCheck);
		},
		closeAllConnections() {
			return connections.closeAll();
		},
	};
}
