import {Server} from 'node:net';
import {listen} from '../src/listener.ts';
import {sendRequest, startTestRouter} from './support/gateway-router.ts';

// Guards against a connection that can't be accepted, whose error ends the process: only the first one had a handler.
test('errors of listeners do not end the process', async () => {
	const servers: Server[] = [];
	const original = Server.prototype.listen;
	const spy = jest.spyOn(Server.prototype, 'listen').mockImplementation(function (this: Server, ...args: unknown[]) {
		servers.push(this);
		return original.apply(this, args as Parameters<typeof original>);
	});
	const testRouter = await startTestRouter([]);
	const auxiliary = await listen({fetch: () => new Response('whole')}, {host: '127.0.0.1', port: 0}, {
		limits: {
			headerBytes: 8192, headersTimeoutMs: 1000, requestTimeoutMs: 1000, connections: 10,
		},
	});
	spy.mockRestore();
	const open = servers.filter(({listening}) => listening);
	expect(open).toHaveLength(3);
	for (const server of [...open, ...open]) {
		server.emit('error', new Error('accept ENOBUFS'));
	}

	expect(await sendRequest(testRouter.callerAddress, '/look/x')).toMatchObject({status: 503});
	auxiliary.close();
	await testRouter.stop();
});
