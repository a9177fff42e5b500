import {connect, type Socket} from 'node:net';
import {Worker} from 'node:worker_threads';
import {createHttpClient} from '../src/http-call.ts';

/** Listens, and accepts no connection: once its queue is full, attempts to connect get no answer. */
const blockedServer = `
	const {createServer} = require('node:net');
	const {parentPort} = require('node:worker_threads');
	const server = createServer();
	server.listen({port: 0, host: '127.0.0.1', backlog: 1}, () => {
		parentPort.postMessage(server.address().port);
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
	});
`;

test('a call ends at its timeout while the connection to the platform is not established yet', async () => {
	const worker = new Worker(blockedServer, {eval: true});
	const port = await new Promise<number>(resolve => {
		worker.once('message', resolve);
	});
	const sockets: Socket[] = Array.from({length: 4}, () => connect(port, '127.0.0.1').on('error', () => undefined));
	const client = createHttpClient({
		url: `http://127.0.0.1:${port}`, connectTimeoutMs: 5000, localAddress: '', maxConnections: 2,
	});
	const controller = new AbortController();
	setTimeout(() => {
		controller.abort();
	}, 50);
	const timedOut = client.call({method: 'GET', path: '/', timeoutMs: 100});
	const aborted = client.call({
		method: 'GET', path: '/', timeoutMs: 10_000, signal: controller.signal,
	});
	const late = Symbol('late');
	const limit = new Promise(resolve => {
		setTimeout(resolve, 2000, late);
	});
	expect(await Promise.race([Promise.all([timedOut, aborted]), limit])).toEqual([
		expect.objectContaining({kind: 'failed'}), expect.objectContaining({kind: 'failed'}),
	]);
	for (const socket of sockets) {
		socket.destroy();
	}

	await client.close();
	await worker.terminate();
});
