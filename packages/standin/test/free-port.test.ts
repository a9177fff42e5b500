import {createServer} from 'node:net';
import {allocatePort} from '../src/free-port.ts';

const host = '127.0.0.1';

/** Start of the range from which common kernels take ports of outgoing connections. */
const firstEphemeralPort = 32_768;

test('allocated ports differ and lie below those of outgoing connections', async () => {
	const ports = await Promise.all(Array.from({length: 20}, async () => allocatePort(host)));
	expect(new Set(ports).size).toBe(20);
	expect(Math.max(...ports)).toBeLessThan(firstEphemeralPort);
});

test('a port that is in use is skipped', async () => {
	const next = await allocatePort(host) + 1;
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(next, host, resolve);
	});
	expect(await allocatePort(host)).toBeGreaterThan(next);
	await new Promise(resolve => {
		server.close(resolve);
	});
});
