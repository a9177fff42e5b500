/*
Finds free ports on loopback addresses. Ports come from below the range that the kernel uses for outgoing connections,
so that a port found free isn't taken by a connection before its program listens.
*/
import {createServer} from 'node:net';
import process from 'node:process';

const firstPort = 12_000;
const portCount = 20_000;

let next = (process.pid * 61) % portCount;

/** A port that is free on `address` and that no other call of this process has been given. */
export async function freePort(address: string): Promise<number> {
	for (let tries = 0; tries < portCount; tries++) {
		const port = firstPort + next;
		next = (next + 1) % portCount;
		if (await isFree(address, port)) {
			return port;
		}
	}

	throw new Error(`no free port on ${address}`);
}

async function isFree(address: string, port: number): Promise<boolean> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, address, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
