/*
Sends messages to other routers, over one long-lived stream per peer. Messages of one turn of the event loop are batched. A
stream that fails loses the messages in flight; the core is notified and recovers from the loss.
*/
import {connect, type Socket} from 'node:net';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import type {PeerMessage} from '@shallotloom/core/messages.ts';
import {Peer, type Envelope} from '@shallotloom/protocol/gen/peer_pb.ts';
import type {ControlTraffic} from '../control-traffic.ts';
import {encodeEnvelope, type OnInvalid} from './codec.ts';

export type PeerClientOptions = {
	sender: string;
	incarnation: string;
	/** Source address of connections; if undefined, the operating system chooses one. */
	bindAddress?: string;
	traffic: ControlTraffic;
	now: () => number;
	onLost: (member: string) => void;
	/** Called with the error of a failed stream, for the log; the core needs only `onLost`. */
	onError: (member: string, reason: string) => void;
	/** Called for each message, and each row of one, that can't be encoded and is left out. */
	onInvalid: OnInvalid;
};

export type PeerClient = {
	send(to: string, url: string, message: PeerMessage): void;
	close(): void;
};

/** Delay before reconnecting to a peer whose stream failed; messages to it are discarded meanwhile. */
const reconnectDelayMs = 200;

/** A stalled stream with more queued messages than this is closed. */
const maxQueuedMessages = 20_000;

const pingIntervalMs = 2000;

type Stream = {
	url: string;
	queue: PeerMessage[];
	wake: (() => void) | undefined;
	isClosed: boolean;
	socket: Socket | undefined;
};

export function createPeerClient(options: PeerClientOptions): PeerClient {
	const streams = new Map<string, Stream>();
	const reconnectAfter = new Map<string, number>();

	async function * generateEnvelopes(stream: Stream): AsyncGenerator<Envelope> {
		while (!stream.isClosed) {
			if (stream.queue.length === 0) {
				await new Promise<void>(resolve => {
					stream.wake = resolve;
				});
			}

			const messages = stream.queue;
			stream.queue = [];
			if (messages.length > 0) {
				yield encodeEnvelope(options.sender, options.incarnation, messages, options.onInvalid);
			}
		}
	}

	function openSocket(stream: Stream, {hostname, port}: URL): Socket {
		const socket = connect({
			host: hostname, port: Number(port), localAddress: options.bindAddress, noDelay: true,
		});
		options.traffic.trackSocket(socket);
		stream.socket = socket;
		return socket;
	}

	function closeStream(to: string, stream: Stream) {
		if (streams.get(to) !== stream) {
			return;
		}

		streams.delete(to);
		stream.isClosed = true;
		stream.wake?.();
		stream.socket?.destroy();
		reconnectAfter.set(to, options.now() + reconnectDelayMs);
		options.onLost(to);
	}

	async function runStream(to: string, stream: Stream) {
		const transport = createConnectTransport({
			baseUrl: stream.url,
			httpVersion: '2',
			pingIntervalMs,
			pingTimeoutMs: pingIntervalMs,
			nodeOptions: {createConnection: authority => openSocket(stream, authority)},
		});
		try {
			await createClient(Peer, transport).deliver(generateEnvelopes(stream));
		} catch (error) {
			options.onError(to, error instanceof Error ? error.message : String(error));
		}

		closeStream(to, stream);
	}

	function openStream(to: string, url: string): Stream {
		const stream: Stream = {
			url, queue: [], wake: undefined, isClosed: false, socket: undefined,
		};
		streams.set(to, stream);
		void runStream(to, stream);
		return stream;
	}

	return {
		send(to, url, message) {
			let stream = streams.get(to);
			if (stream && (stream.url !== url || stream.queue.length > maxQueuedMessages)) {
				closeStream(to, stream);
				stream = undefined;
			}

			if (!stream && options.now() < (reconnectAfter.get(to) ?? 0)) {
				return;
			}

			stream ??= openStream(to, url);
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
