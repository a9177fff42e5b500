/*
A caller that writes raw bytes to the socket, for requests that no client library would send.
*/
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';

/** Interval at which it is checked whether more has arrived, in milliseconds. */
const checkMs = 10;

/**
Sends pieces of a request, with pauses between them, and returns what arrives until the connection is closed, nothing has followed an
answer for `quietMs`, or `waitMs` have passed.
*/
export async function sendRaw(address: string, pieces: string[], {pauseMs = 50, waitMs = 5000, quietMs = 400} = {}): Promise<string> {
	const [host, port] = address.split(':');
	const socket = connect({host, port: Number(port)});
	let received = '';
	let receivedAt = Number.POSITIVE_INFINITY;
	socket.on('data', chunk => {
		received += chunk.toString('latin1');
		receivedAt = performance.now();
	});
	socket.on('error', () => {
		// What arrived before a reset is returned.
	});
	for (const piece of pieces) {
		socket.write(Buffer.from(piece, 'latin1'));
		await sleep(pauseMs);
	}

	const endsAt = performance.now() + waitMs;
	while (!socket.closed && performance.now() < Math.min(endsAt, receivedAt + quietMs)) {
		await sleep(checkMs);
	}

	socket.destroy();
	return received;
}

async function sleep(ms: number) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
