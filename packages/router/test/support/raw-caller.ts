/*
A caller that writes raw bytes to the socket, for requests that no client library would send.
*/
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';

/** Sends pieces of a request, with pauses between them, and returns what arrives until the connection is closed or `waitMs` have passed. */
export async function sendRaw(address: string, pieces: string[], {pauseMs = 50, waitMs = 400} = {}): Promise<string> {
	const [host, port] = address.split(':');
	const socket = connect({host, port: Number(port)});
	let received = '';
	socket.on('data', chunk => {
		received += chunk.toString('latin1');
	});
	socket.on('error', () => {
		// What arrived before a reset is returned.
	});
	for (const piece of pieces) {
		socket.write(Buffer.from(piece, 'latin1'));
		await sleep(pauseMs);
	}

	await Promise.race([sleep(waitMs), new Promise(resolve => {
		socket.once('close', resolve);
	})]);
	socket.destroy();
	return received;
}

async function sleep(ms: number) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
