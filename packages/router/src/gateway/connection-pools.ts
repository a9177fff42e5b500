/*
Connection pools to targets, one for each address. A connection carries one request at a time; a connection whose answer is
late, belongs to another request or is truncated is closed and not reused.
*/
import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {buildConnector, Pool} from 'undici';

export type ConnectionPools = {
	/**
	Whether the answer that is ending right now ends because its connection was reset. An answer without a content length ends
	when its connection closes, and undici reports it as complete even after a reset.
	*/
	isEndedByReset(): boolean;
	/** Records that the bytes that are being parsed right now contained a head, a part of the body or the end of an answer. */
	recordProgress(): void;
	/** Counts the answer whose head is being parsed right now; returns how many its connection has carried. */
	countAnswer(): number;
	getOrCreatePool(address: string): Pool;
	/** Closes the connections to a target that is gone, once their answers have ended. */
	closePool(address: string): void;
	destroyAll(): Promise<void>;
};

/** Timeout for connecting to a target, in milliseconds: half of what callers allow for a connection of their own. */
const connectTimeoutMs = 500;

/** Idle time after which a connection is closed when the target advertises no keep-alive timeout, in milliseconds. */
const defaultKeepAliveMs = 4000;

/**
How long before the target's keep-alive timeout an idle connection is closed, in milliseconds: a request must not be sent
while the target closes the connection.
*/
const keepAliveMarginMs = 1000;

/**
Bytes that a target may send while no answer makes progress, such as informational heads or extensions of chunks. A target in
trouble sends them without end.
*/
const maxBytesWithoutProgress = 256 * 1024;

/**
Most bytes that are parsed at once, as many as a socket reads ahead. What is parsed beyond a pause is put back; if everything were taken out
each time, the socket would read more beside it each time, without bound.
*/
const maxReadBytes = 64 * 1024;

/** Message of the error with which undici destroys the connection of an aborted request. */
const abortMessage = 'aborted';

export function createConnectionPools(): ConnectionPools {
	const pools = new Map<string, Pool>();
	const connector = buildConnector({timeout: connectTimeoutMs, noDelay: true});
	let isResetting = false;
	/** Bytes read without progress, and number of answers, of the connection that was read last. */
	let lastRead = {bytesWithoutProgress: 0, answers: 0};

	function markReset() {
		isResetting = true;
		queueMicrotask(() => {
			isResetting = false;
		});
	}

	/** Detects connection resets before undici handles them, since undici ends the answer within the same event. */
	function detectResets(socket: Socket) {
		socket.once('error', markReset);
		socket.once('end', () => {
			// If another operation on the socket already reported the reset, only 'end' follows, and the socket has no peer any more.
			if (socket.remoteAddress === undefined) {
				markReset();
			}
		});
	}

	/**
	Closes a connection from which too many bytes are read without progress. undici parses each chunk before it reads the next one, so what
	it reports between two reads belongs to the connection that was read last. What it puts back when it pauses is read once more.
	*/
	function limitBytesWithoutProgress(socket: Socket) {
		const state = {bytesWithoutProgress: 0, answers: 0};
		const read = socket.read.bind(socket);
		const unshift = socket.unshift.bind(socket);
		socket.read = (size?: number) => {
			const chunk = read(size ?? (Math.min(socket.readableLength, maxReadBytes) || undefined)) as Buffer | null;
			lastRead = state;
			state.bytesWithoutProgress += chunk?.length ?? 0;
			if (state.bytesWithoutProgress > maxBytesWithoutProgress) {
				socket.destroy(new Error(`target sent ${state.bytesWithoutProgress} bytes that are no part of an answer`));
				return null;
			}

			return chunk;
		};

		socket.unshift = (chunk: Buffer) => {
			state.bytesWithoutProgress -= chunk.length;
			unshift(chunk);
		};
	}

	/**
	Resets the connection of a cancelled request. A plain close would still deliver data that is queued for sending, and a
	target that becomes reachable again would run a request whose caller has disconnected.
	*/
	function resetWhenAborted(socket: Socket) {
		const destroy = socket.destroy.bind(socket);
		socket.destroy = error => {
			if (error?.message === abortMessage && !socket.destroyed) {
				socket.resetAndDestroy();
				// The reset reports no error, and without one undici ends an answer that has no length as complete.
				socket.emit('error', error);
			}

			return destroy(error);
		};
	}

	const connect: buildConnector.connector = (options, callback) => {
		connector(options, (...result) => {
			if (result[1]) {
				detectResets(result[1]);
				resetWhenAborted(result[1]);
				limitBytesWithoutProgress(result[1]);
			}

			callback(...result);
		});
	};

	return {
		isEndedByReset: () => isResetting,
		recordProgress() {
			lastRead.bytesWithoutProgress = 0;
		},
		countAnswer() {
			lastRead.answers += 1;
			return lastRead.answers;
		},
		getOrCreatePool(address) {
			const existing = pools.get(address);
			if (existing) {
				return existing;
			}

			const pool = new Pool(`http://${address}`, {
				connect,
				pipelining: 1,
				headersTimeout: 0,
				bodyTimeout: 0,
				keepAliveTimeout: defaultKeepAliveMs,
				keepAliveTimeoutThreshold: keepAliveMarginMs,
			});
			pools.set(address, pool);
			return pool;
		},
		closePool(address) {
			const pool = pools.get(address);
			pools.delete(address);
			pool?.close().catch(() => {
				// The pool has already been destroyed.
			});
		},
		async destroyAll() {
			await Promise.all([...pools.values()].map(async pool => pool.destroy()));
		},
	};
}
