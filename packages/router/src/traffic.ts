/*
Counts the bytes of control traffic on the sockets between routers.
*/
import type {Socket} from 'node:net';

export type Traffic = {
	watch(socket: Socket): void;
	/** Bytes so far, received and sent. */
	bytes(): {received: number; sent: number};
};

/** Creates a counter over sockets, open and closed. */
export function createTraffic(): Traffic {
	const open = new Set<Socket>();
	const closed = {received: 0, sent: 0};
	return {
		watch(socket) {
			open.add(socket);
			socket.once('close', () => {
				open.delete(socket);
				closed.received += socket.bytesRead;
				closed.sent += socket.bytesWritten;
			});
		},
		bytes() {
			const sum = {...closed};
			for (const socket of open) {
				sum.received += socket.bytesRead;
				sum.sent += socket.bytesWritten;
			}

			return sum;
		},
	};
}
