/*
A target that writes raw bytes to the socket, for answers that no server library would send.
*/
import {createServer, type Socket} from 'node:net';

export type RawRequest = {
	/** Request line and headers. */
	head: string;
	/** Value of the request id header. */
	id: string;
	socket: Socket;
};

export type RawTarget = {
	/** IP number and port. */
	address: string;
	requests: RawRequest[];
	/** Number of connections so far. */
	connections: () => number;
	stop: () => Promise<void>;
};

const headTerminator = '\r\n\r\n';

/** Starts a target that calls `answer` for each request; requests must have no body. */
export async function startRawTarget(answer: (request: RawRequest) => void): Promise<RawTarget> {
	const requests: RawRequest[] = [];
	const sockets = new Set<Socket>();
	let connections = 0;
	const server = createServer(socket => {
		connections += 1;
		sockets.add(socket);
		let text = '';
		socket.on('error', () => {
			// Expected: tests destroy connections on purpose.
		});
		socket.on('data', chunk => {
			text += chunk.toString('latin1');
			for (let end = text.indexOf(headTerminator); end !== -1; end = text.indexOf(headTerminator)) {
				const head = text.slice(0, end);
				text = text.slice(end + headTerminator.length);
				const request = {head, id: /x-request-id: (?<id>\S+)/iv.exec(head)?.groups!.id ?? '', socket};
				requests.push(request);
				answer(request);
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const boundAddress = server.address();
	return {
		address: `127.0.0.1:${typeof boundAddress === 'object' ? boundAddress!.port : 0}`,
		requests,
		connections: () => connections,
		async stop() {
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
