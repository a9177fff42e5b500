/*
Connections of callers, and the responses that are open on each. A caller takes responses in the order of its requests, so what ends a
connection or refuses its bytes comes after the responses that are owed on it.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Why the router closed a connection without the end of an answer. */
export enum ConnectionEnd {
	/** Its bytes were no request. */
	Unparsable = 'unparsable',
	/** It was idle when the listener closed. */
	Idle = 'idle',
	/** It was still open when all connections were closed. */
	Left = 'left',
}

type CallerConnection = {
	/** Responses that aren't complete yet, in the order of their requests. */
	responses: Set<ServerResponse>;
	/** Bytes received when its last request was complete. */
	requestBytes: number;
	/** Requests so far whose head was complete. */
	requests: number;
};

export type CallerConnections = {
	add(socket: Socket): void;
	/** Records the response to a request; `onFinish` is called once it has been written, with whether another one is open. */
	addResponse(request: IncomingMessage, response: ServerResponse, onFinish: (hasNextRequest: boolean) => void): void;
	/** Records that the request that was being received on a connection is complete. */
	recordRequestEnd(socket: Socket): void;
	/** Whether no response can follow on a connection, because an open one has already announced its end. */
	isEndAnnounced(socket: Socket): boolean;
	/** Announces the end of a connection with the last response that is open on it: an earlier one would cut off the others. */
	announceEnd(socket: Socket): void;
	/** Announces the ends of all connections on which a response is open. */
	announceEnds(): void;
	hasOpenResponse(socket: Socket): boolean;
	/** Number of requests so far whose head was complete. */
	countRequests(socket: Socket): number;
	/** Returns the last open response whose request is complete. */
	findLastOwedResponse(socket: Socket): ServerResponse | undefined;
	/** Closes the connections on which no response is open and no request has begun. */
	closeIdle(): void;
	/** Closes the connections that are left; returns their number. */
	closeAll(): number;
};

export type CallerConnectionsOptions = {
	onClosed: (reason: ConnectionEnd) => void;
};

export function createCallerConnections({onClosed}: CallerConnectionsOptions): CallerConnections {
	const connections = new Map<Socket, CallerConnection>();

	function getOpenResponses(socket: Socket): ServerResponse[] {
		return [...connections.get(socket)?.responses ?? []];
	}

	function announceEnd(socket: Socket) {
		const open = getOpenResponses(socket);
		for (const response of open.filter(({headersSent}) => !headersSent)) {
			if (response === open.at(-1)) {
				response.setHeader('connection', 'close');
				response.removeHeader('keep-alive');
			} else {
				response.removeHeader('connection');
			}
		}
	}

	function close(socket: Socket, reason: ConnectionEnd) {
		onClosed(reason);
		socket.destroy();
	}

	return {
		add(socket) {
			const responses = new Set<ServerResponse>();
			connections.set(socket, {responses, requestBytes: 0, requests: 0});
			socket.once('close', () => {
				connections.delete(socket);
				// node:http closes the response whose turn it is, not those that wait for that.
				for (const response of responses) {
					if (!response.socket) {
						response.destroy();
						response.emit('close');
					}
				}
			});
		},
		addResponse({socket}, response, onFinish) {
			const connection = connections.get(socket);
			const responses = connection?.responses;
			responses?.add(response);
			if (connection) {
				connection.requests += 1;
			}

			response.once('close', () => {
				responses?.delete(response);
			});
			response.once('finish', () => {
				responses?.delete(response);
				// A caller may have sent the next request before this response was complete.
				onFinish((responses?.size ?? 0) > 0);
			});
		},
		recordRequestEnd(socket) {
			const connection = connections.get(socket);
			if (connection) {
				connection.requestBytes = socket.bytesRead;
			}
		},
		isEndAnnounced: socket => getOpenResponses(socket).some(response => response.headersSent && response.getHeader('connection') === 'close'),
		announceEnd,
		announceEnds() {
			for (const socket of connections.keys()) {
				announceEnd(socket);
			}
		},
		hasOpenResponse: socket => getOpenResponses(socket).length > 0,
		countRequests: socket => connections.get(socket)?.requests ?? 0,
		findLastOwedResponse: socket => getOpenResponses(socket).findLast(({req}) => req.complete),
		closeIdle() {
			for (const [socket, {responses, requestBytes}] of connections) {
				if (socket.writable && responses.size === 0 && socket.bytesRead === requestBytes) {
					close(socket, ConnectionEnd.Idle);
				}
			}
		},
		closeAll() {
			const left = [...connections.keys()].filter(({destroyed}) => !destroyed);
			for (const socket of left) {
				close(socket, ConnectionEnd.Left);
			}

			return left.length;
		},
	};
}
