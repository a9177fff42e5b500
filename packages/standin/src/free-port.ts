/*
Allocates free ports on loopback addresses. Ports are below the ephemeral range of the kernel, so that no outgoing
connection can occupy an allocated port before its program listens on it. Processes with successive ids, such as the workers of a test
run, begin in blocks of their own: a port is free again for others between its allocation and the start of its program, and after that ends.
*/
import {createServer} from 'node:net';
import process from 'node:process';

const firstPort = 12_000;
const portCount = 20_000;

/** Ports that a process allocates before it reaches those of the process with the next id. */
const portsPerProcess = 500;

let nextOffset = (process.pid * portsPerProcess) % portCount;

/** Returns a port that is free on `address` and that this process hasn't allocated before. */
export async function allocatePort(address: string): Promise<number> {
	for (let attempts = 0; attempts < portCount; attempts++) {
		const port = firstPort + nextOffset;
		nextOffset = (nextOffset + 1) % portCount;
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
