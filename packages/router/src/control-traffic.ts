/*
Counts the bytes of control traffic on the sockets between routers.
*/
import type {Socket} from 'node:net';

export type ControlTraffic = {
	trackSocket(socket: Socket): void;
	/** Bytes received and sent so far. */
	getByteCounts(): {received: number; sent: number};
};

/** Creates a counter; it includes the sockets that have been closed. */
export function createControlTraffic(): ControlTraffic {
	const open = new Set<Socket>();
	const closed = {received: 0, sent: 0};
	return {
		trackSocket(socket) {
			open.add(socket);
			socket.once('close', () => {
				open.delete(socket);
				closed.received += socket.bytesRead;
				closed.sent += socket.bytesWritten;
			});
		},
		getByteCounts() {
			const total = {...closed};
			for (const socket of open) {
				total.received += socket.bytesRead;
				total.sent += socket.bytesWritten;
			}

			return total;
		},
	};
}
