/*
Connections to targets, kept by address. A connection carries one request at a time; one whose answer is late, crossed or
cut is closed and not used again.
*/
import type {Socket} from 'node:net';
import {buildConnector, Pool} from 'undici';

export type TargetPools = {
	/**
	Whether the answer that just ended did so because its connection was reset. An answer without a length ends with its
	connection, and undici reports it as whole also after a reset.
	*/
	isResetting(): boolean;
	of(address: string): Pool;
	/** Ends the connections to a target that is gone, once its answers have ended. */
	drop(address: string): void;
	close(): Promise<void>;
};

/** Time for connecting to a target, in milliseconds: half of what callers allow for a connection of their own. */
const connectTimeoutMs = 500;

/** Idle connections are closed after this where a target doesn't say when, in milliseconds. */
const keepAliveMs = 4000;

/** Idle connections are closed so much before the target would, in milliseconds: a request must not cross its close. */
const keepAliveMarginMs = 1000;

/** Message of the error with which undici destroys the connection of a request that was aborted. */
const abortMessage = 'aborted';

/** Creates the pools. */
export function createTargetPools(): TargetPools {
	const pools = new Map<string, Pool>();
	const connector = buildConnector({timeout: connectTimeoutMs, noDelay: true});
	let isResetting = false;

	function noteReset() {
		isResetting = true;
		queueMicrotask(() => {
			isResetting = false;
		});
	}

	/** Notes resets of a connection before undici hears of them: it then ends the answer within the same event. */
	function watchResets(socket: Socket) {
		socket.once('error', noteReset);
		socket.once('end', () => {
			// A reset that another call on the socket has reported reads as an end; the connection then has no peer any more.
			if (socket.remoteAddress === undefined) {
				noteReset();
			}
		});
	}

	/**
	Lets a cancelled request end with a reset of its connection. A plain close would still deliver what waits to be sent, and
	a target that comes back would run a request whose caller is gone.
	*/
	function resetWhenAborted(socket: Socket) {
		const destroy = socket.destroy.bind(socket);
		socket.destroy = error => {
			if (error?.message === abortMessage && !socket.destroyed) {
				socket.resetAndDestroy();
			}

			return destroy(error);
		};
	}

	const connect: buildConnector.connector = (options, callback) => {
		connector(options, (...result) => {
			if (result[1]) {
				watchResets(result[1]);
				resetWhenAborted(result[1]);
			}

			callback(...result);
		});
	};

	return {
		isResetting: () => isResetting,
		of(address) {
			const known = pools.get(address);
			if (known) {
				return known;
			}

			const pool = new Pool(`http://${address}`, {
				connect,
				pipelining: 1,
				headersTimeout: 0,
				bodyTimeout: 0,
				keepAliveTimeout: keepAliveMs,
				keepAliveTimeoutThreshold: keepAliveMarginMs,
			});
			pools.set(address, pool);
			return pool;
		},
		drop(address) {
			const pool = pools.get(address);
			pools.delete(address);
			pool?.close().catch(() => {
				// A pool that is already destroyed has nothing to close.
			});
		},
		async close() {
			await Promise.all([...pools.values()].map(async pool => pool.destroy()));
		},
	};
}
