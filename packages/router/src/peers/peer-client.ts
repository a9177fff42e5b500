/*
Sends messages to other routers: one long-lived stream a peer, messages batched by turn of the event loop. A stream that
breaks loses what was in flight; the core hears of it and makes up for it.
*/
import {connect, type Socket} from 'node:net';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import type {PeerMessage} from '@shallotloom/core/messages.ts';
import {Peer, type Envelope} from '@shallotloom/protocol/gen/peer_pb.ts';
import type {Traffic} from '../traffic.ts';
import {encodeEnvelope} from './codec.ts';

export type PeerClientOptions = {
	sender: string;
	incarnation: string;
	/** Source address of connections; undefined for the system's choice. */
	bindAddress?: string;
	traffic: Traffic;
	now: () => number;
	onLost: (member: string) => void;
	/** Why a stream broke, for the log; the core judges by the loss alone. */
	onError: (member: string, reason: string) => void;
};

export type PeerClient = {
	send(to: string, url: string, message: PeerMessage): void;
	close(): void;
};

/** Pause before a peer whose stream broke is connected again, in milliseconds. */
const reconnectMs = 200;

/** Most messages that wait for a stalled stream before it is dropped. */
const queueLimit = 20_000;

const pingIntervalMs = 2000;

type Stream = {
	url: string;
	queue: PeerMessage[];
	wake: (() => void) | undefined;
	isClosed: boolean;
	socket: Socket | undefined;
};

/** Creates the sending side. */
export function createPeerClient(options: PeerClientOptions): PeerClient {
	const streams = new Map<string, Stream>();
	const pausedUntil = new Map<string, number>();

	async function * envelopes(stream: Stream): AsyncGenerator<Envelope> {
		while (!stream.isClosed) {
			if (stream.queue.length === 0) {
				await new Promise<void>(resolve => {
					stream.wake = resolve;
				});
			}

			const messages = stream.queue;
			stream.queue = [];
			if (messages.length > 0) {
				yield encodeEnvelope(options.sender, options.incarnation, messages);
			}
		}
	}

	function openSocket(stream: Stream, {hostname, port}: URL): Socket {
		const socket = connect({
			host: hostname, port: Number(port), localAddress: options.bindAddress, noDelay: true,
		});
		options.traffic.watch(socket);
		stream.socket = socket;
		return socket;
	}

	function drop(to: string, stream: Stream) {
		if (streams.get(to) !== stream) {
			return;
		}

		streams.delete(to);
		stream.isClosed = true;
		stream.wake?.();
		stream.socket?.destroy();
		pausedUntil.set(to, options.now() + reconnectMs);
		options.onLost(to);
	}

	async function run(to: string, stream: Stream) {
		const transport = createConnectTransport({
			baseUrl: stream.url,
			httpVersion: '2',
			pingIntervalMs,
			pingTimeoutMs: pingIntervalMs,
			nodeOptions: {createConnection: authority => openSocket(stream, authority)},
		});
		try {
			await createClient(Peer, transport).deliver(envelopes(stream));
		} catch (error) {
			options.onError(to, error instanceof Error ? error.message : String(error));
		}

		drop(to, stream);
	}

	function open(to: string, url: string): Stream {
		const stream: Stream = {
			url, queue: [], wake: undefined, isClosed: false, socket: undefined,
		};
		streams.set(to, stream);
		void run(to, stream);
		return stream;
	}

	return {
		send(to, url, message) {
			let stream = streams.get(to);
			if (stream && (stream.url !== url || stream.queue.length > queueLimit)) {
				drop(to, stream);
				stream = undefined;
			}

			if (!stream && options.now() < (pausedUntil.get(to) ?? 0)) {
				return;
			}

			stream ??= open(to, url);
			stream.queue.push(message);
			stream.wake?.();
		},
		close() {
			for (const stream of streams.values()) {
				stream.isClosed = true;
				stream.wake?.();
				stream.socket?.destroy();
			}

			streams.clear();
		},
	};
}
