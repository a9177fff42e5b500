/*
One TCP relay. Each direction of a connection is a queue of chunks with the time at which they are due; a shared timer
writes all that is due in one go. A direction that is cut keeps its chunks until the cut is healed, as TCP would by
sending them again.
*/
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {createDueQueue, type DueQueue} from './due-queue.ts';

export type RelayOptions = {
	/** `HOST:PORT`. */
	listen: string;
	/** `HOST:PORT`. */
	to: string;
	/** Delay one way between two IP addresses, in milliseconds. */
	delayMs: (from: string, to: string) => number;
	isCut: (from: string, to: string) => boolean;
};

export type Relay = {
	start(): Promise<void>;
	stop(): Promise<void>;
	/** Lets bytes go again, or holds them, after the cuts changed. */
	cutsChanged(): void;
	stats(): {listen: string; to: string; connections: number; bytes: number};
};

type Direction = {
	from: string;
	to: string;
	source: Socket;
	sink: Socket;
	queue: DueQueue;
};

/** Source address of loopback connections that name none. */
const defaultAddress = '127.0.0.1';

/** Creates a relay; it listens after `start`. */
export function createRelay({listen, to, delayMs, isCut}: RelayOptions): Relay {
	const target = addressOf(to);
	const directions = new Set<Direction>();
	let bytes = 0;
	let server: Server | undefined;

	function open(caller: Socket) {
		const from = caller.remoteAddress ?? '';
		// Bound to the caller's own address, so that the target sees who connects. A bound socket needs a port that no other
		// has, ended ones of the last minute included, so callers without an address of their own stay unbound.
		const callee = connect(from === defaultAddress ? target : {...target, localAddress: from});
		const refuse = (error: Error) => {
			console.error(`relay ${listen} can't connect ${from} to ${to}: ${error.message}`);
			caller.resetAndDestroy();
		};

		// Only a connection that was never made is reset; later errors pass through the queues like other bytes.
		callee.once('error', refuse);
		callee.once('connect', () => {
			callee.off('error', refuse);
		});
		relay({
			from, to: target.host, source: caller, sink: callee,
		});
		relay({
			from: target.host, to: from, source: callee, sink: caller,
		});
	}

	function relay({from, to: destination, source, sink}: Omit<Direction, 'queue'>) {
		const direction: Direction = {
			from,
			to: destination,
			source,
			sink,
			queue: createDueQueue({
				held: isCut(from, destination),
				onDue(chunks) {
					write(direction, chunks);
				},
			}),
		};
		directions.add(direction);
		source.setNoDelay(true);
		source.on('data', (chunk: Uint8Array) => {
			bytes += chunk.length;
			direction.queue.add(chunk, performance.now() + delayMs(from, destination));
		});
		source.on('end', () => {
			direction.queue.add(undefined, performance.now() + delayMs(from, destination));
		});
		source.on('error', () => {
			// The close that follows ends the connection.
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

	/** Ends a direction once all its bytes are written; across a cut the other side does not learn of it. */
	function close(direction: Direction) {
		direction.queue.add(undefined, performance.now() + delayMs(direction.from, direction.to));
		direction.queue.afterLast(() => {
			directions.delete(direction);
			direction.sink.destroySoon();
		});
	}

	return {
		async start() {
			const created = createServer({allowHalfOpen: true}, open);
			server = created;
			await new Promise<void>((resolve, reject) => {
				created.once('error', reject);
				created.listen(addressOf(listen), () => {
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
		cutsChanged() {
			for (const {from, to: destination, queue} of directions) {
				queue.hold(isCut(from, destination));
			}
		},
		stats: () => ({
			listen, to, connections: directions.size / 2, bytes,
		}),
	};
}

/** Host and port of `HOST:PORT`. */
export function addressOf(text: string): {host: string; port: number} {
	const colon = text.lastIndexOf(':');
	return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}
