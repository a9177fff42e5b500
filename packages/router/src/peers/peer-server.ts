/*
Receives the message streams of other routers and passes the messages to the core.
*/
import {createServer, type Http2Server} from 'node:http2';
import type {Socket} from 'node:net';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {PeerMessage} from '@shallotloom/core/messages.ts';
import {Peer} from '@shallotloom/protocol/gen/peer_pb.ts';
import type {ControlTraffic} from '../control-traffic.ts';
import {bindServer, type Address, type BindOptions} from '../listener.ts';
import {decodeMessage} from './codec.ts';

export type PeerServerOptions = {
	address: Address;
	bind?: BindOptions | undefined;
	traffic: ControlTraffic;
	onMessage: (from: string, incarnation: string, message: PeerMessage) => void;
	/** Called with the reason for which a message of a peer can't be decoded; it is left out. */
	onInvalid: (from: string, reason: string) => void;
	/** Called with the error of a connection that can't be accepted. */
	onError: (error: Error) => void;
};

export type PeerServer = {
	close(): Promise<void>;
};

/** Maximum size of a batch received from a peer. */
const maxBatchBytes = 4 * 1024 * 1024;

/** Starts the server; rejects when the address can't be bound. */
export async function startPeerServer({address, bind, traffic, onMessage, onInvalid, onError}: PeerServerOptions): Promise<PeerServer> {
	const server: Http2Server = createServer({}, connectNodeAdapter({
		readMaxBytes: maxBatchBytes,
		routes(router) {
			router.service(Peer, {
				async deliver(envelopes) {
					for await (const {sender, incarnation, messages} of envelopes) {
						for (const wire of messages) {
							try {
								const message = decodeMessage(wire);
								if (message) {
									onMessage(sender, incarnation, message);
								}
							} catch (error) {
								onInvalid(sender, error instanceof Error ? error.message : String(error));
							}
						}
					}

					return {};
				},
			});
		},
	}));
	const sockets = new Set<Socket>();
	server.on('connection', (socket: Socket) => {
		sockets.add(socket);
		traffic.trackSocket(socket);
		socket.on('close', () => {
			sockets.delete(socket);
		});
	});
	await bindServer(server, address, bind);
	server.on('error', onError);
	return {
		async close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}
