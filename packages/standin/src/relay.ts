/*
One TCP relay. Each direction of a connection is a queue of chunks with due times; a timer shared by all queues writes the
chunks of a direction that are due in one batch. A direction that is cut holds its chunks until the cut is cleared, as TCP
would deliver them by retransmission.
*/
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {createDelayQueue, type DelayQueue} from './delay-queue.ts';

export type RelayOptions = {
	/** `HOST:PORT`. */
	listen: string;
	/** `HOST:PORT`. */
	to: string;
	/** One-way delay between two IP addresses, in milliseconds. */
	getDelayMs: (from: string, to: string) => number;
	isCut: (from: string, to: string) => boolean;
	/** Reports that a connection to the destination failed. */
	logFailure?: (text: string) => void;
};

export type Relay = {
	start(): Promise<void>;
	stop(): Promise<void>;
	/** Must be called after the cuts changed: pauses or resumes each direction accordingly. */
	applyCuts(): void;
	/** Resets all connections; bytes on their way are lost. */
	reset(): void;
	getStats(): {listen: string; to: string; connections: number; bytes: number};
};

type Direction = {
	from: string;
	to: string;
	source: Socket;
	sink: Socket;
	queue: DelayQueue;
};

/** Source address of loopback connections that are not bound to an address. */
const defaultSourceAddress = '127.0.0.1';

/** Creates a relay; it listens after `start`. */
export function createRelay({
	listen, to, getDelayMs, isCut, logFailure = console.error,
}: RelayOptions): Relay {
	const destinationAddress = parseAddress(to);
	const directions = new Set<Direction>();
	let bytes = 0;
	let server: Server | undefined;

	function relayConnection(inbound: Socket) {
		const from = inbound.remoteAddress ?? '';
		// Bound to the caller's address, so that the destination sees the caller as the source. A bound socket needs a port
		// that no other socket uses, including those closed within the last minute (TIME_WAIT), so connections of callers
		// without an address of their own are not bound.
		const outbound = connect(from === defaultSourceAddress ? destinationAddress : {...destinationAddress, localAddress: from});
		const onConnectError = (error: Error) => {
			logFailure(`relay ${listen} failed to connect ${from} to ${to}: ${error.message}`);
			inbound.resetAndDestroy();
		};

		// Only a failure to connect resets the caller's connection; a later error closes it after the queued bytes.
		outbound.once('error', onConnectError);
		outbound.once('connect', () => {
			outbound.off('error', onConnectError);
		});
		relayDirection({
			from, to: destinationAddress.host, source: inbound, sink: outbound,
		});
		relayDirection({
			from: destinationAddress.host, to: from, source: outbound, sink: inbound,
		});
	}

	function relayDirection({from, to: destination, source, sink}: Omit<Direction, 'queue'>) {
		const direction: Direction = {
			from,
			to: destination,
			source,
			sink,
			queue: createDelayQueue({
				isPaused: isCut(from, destination),
				onDue(chunks) {
					write(direction, chunks);
				},
			}),
		};
		directions.add(direction);
		source.setNoDelay(true);
		source.on('data', (chunk: Uint8Array) => {
			bytes += chunk.length;
			direction.queue.add(chunk, performance.now() + getDelayMs(from, destination));
		});
		source.on('end', () => {
			direction.queue.add(undefined, performance.now() + getDelayMs(from, destination));
		});
		source.on('error', () => {
			// The `close` event that follows ends the direction.
		});
		source.on('close', () => {
			close(direction);
		});
	}

	function write({sink}: Direction, chunks: Array<Uint8Array | undefined>) {
		if (sink.destroyed) {
			return;
		}

		sink.cork();
		for (const chunk of chunks) {
			if (chunk) {
				sink.write(chunk);
			} else {
				sink.end();
			}
		}

		sink.uncork();
	}

	/** Ends a direction once all its bytes are written; during a cut the other side does not see the connection close. */
	function close(direction: Direction) {
		direction.queue.add(undefined, performance.now() + getDelayMs(direction.from, direction.to));
		direction.queue.onceEmpty(() => {
			directions.delete(direction);
			direction.sink.destroySoon();
		});
	}

	return {
		async start() {
			const created = createServer({allowHalfOpen: true}, relayConnection);
			server = created;
			await new Promise<void>((resolve, reject) => {
				created.once('error', reject);
				created.listen(parseAddress(listen), () => {
					resolve();
				});
			});
		},
		async stop() {
			for (const {source, sink, queue} of directions) {
				queue.clear();
				source.destroy();
				sink.destroy();
			}

			directions.clear();
			await new Promise<void>(resolve => {
				server?.close(() => {
					resolve();
				});
			});
		},
		applyCuts() {
			for (const {from, to: destination, queue} of directions) {
				queue.setPaused(isCut(from, destination));
			}
		},
		reset() {
			for (const {source, queue} of directions) {
				queue.clear();
				source.resetAndDestroy();
			}
		},
		getStats: () => ({
			listen, to, connections: directions.size / 2, bytes,
		}),
	};
}

/** Splits `HOST:PORT`. */
export function parseAddress(text: string): {host: string; port: number} {
	const colon = text.lastIndexOf(':');
	return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}
