import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {Agent, request} from 'undici';
import {drainListener, listen} from '../src/listener.ts';

const limits = {
	headerBytes: 16_384, headersTimeoutMs: 1000, requestTimeoutMs: 1000, connections: 10,
};

/** A listener with one slow answer, which ends when `finish` is called. */
async function startSlowListener() {
	let isStopping = false;
	let finish!: () => void;
	const isFinished = new Promise<void>(resolve => {
		finish = resolve;
	});
	const server = await listen({
		async fetch(incoming: Request) {
			if (incoming.url.endsWith('/slow')) {
				await isFinished;
			}

			return new Response('whole');
		},
	}, {host: '127.0.0.1', port: 0}, {limits, isStopping: () => isStopping});
	const agent = new Agent();
	const {port} = server.address() as AddressInfo;
	return {
		server,
		agent,
		finish,
		stop() {
			isStopping = true;
		},
		get: async (path: string) => request(`http://127.0.0.1:${port}${path}`, {dispatcher: agent}),
	};
}

test('answers end their connections while the router leaves, and not before', async () => {
	const {server, agent, stop: leave, get} = await startSlowListener();
	const before = await get('/');
	expect(await before.body.text()).toBe('whole');
	expect(before.headers.connection).not.toBe('close');
	leave();
	const after = await get('/');
	expect(await after.body.text()).toBe('whole');
	expect(after.headers.connection).toBe('close');
	await drainListener(server, 1000);
	await agent.close();
});

test('a listener that ends lets a running answer finish and takes no new connection', async () => {
	const {server, agent, finish, get} = await startSlowListener();
	const arrived = once(server, 'request');
	const answer = get('/slow');
	await arrived;
	const drained = drainListener(server, 60_000);
	await expect(get('/')).rejects.toMatchObject({code: 'ECONNREFUSED'});
	finish();
	const {body} = await answer;
	expect(await body.text()).toBe('whole');
	await drained;
	await agent.close();
});
