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
};

export type PeerServer = {
	close(): Promise<void>;
};

/** Maximum size of a batch received from a peer. */
const maxBatchBytes = 4 * 1024 * 1024;

/** Starts the server; rejects when the address can't be bound. */
export async function startPeerServer({address, bind, traffic, onMessage}: PeerServerOptions): Promise<PeerServer> {
	const server: Http2Server = createServer({}, connectNodeAdapter({
		readMaxBytes: maxBatchBytes,
		routes(router) {
			router.service(Peer, {
				async deliver(envelopes) {
					for await (const {sender, incarnation, messages} of envelopes) {
						for (const wire of messages) {
							const message = decodeMessage(wire);
							if (message) {
								onMessage(sender, incarnation, message);
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
