import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {Agent, request} from 'undici';
import {drainListener, listen} from '../src/listener.ts';

const limits = {
	headerBytes: 16_384, headersTimeoutMs: 1000, requestTimeoutMs: 1000, connections: 10,
};

/** Starts a listener whose path `/slow` is answered only after `finish` is called. */
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
		sendRequest: async (path: string) => request(`http://127.0.0.1:${port}${path}`, {dispatcher: agent}),
	};
}

test('answers close their connections while the router stops, and not before', async () => {
	const {server, agent, stop, sendRequest} = await startSlowListener();
	const before = await sendRequest('/');
	expect(await before.body.text()).toBe('whole');
	expect(before.headers.connection).not.toBe('close');
	stop();
	const after = await sendRequest('/');
	expect(await after.body.text()).toBe('whole');
	expect(after.headers.connection).toBe('close');
	await drainListener(server, 1000);
	await agent.close();
});

test('a draining listener lets a running answer finish and accepts no new connection', async () => {
	const {server, agent, finish, sendRequest} = await startSlowListener();
	const arrived = once(server, 'request');
	const answer = sendRequest('/slow');
	await arrived;
	const drained = drainListener(server, 60_000);
	await expect(sendRequest('/')).rejects.toMatchObject({code: 'ECONNREFUSED'});
	finish();
	const {body} = await answer;
	expect(await body.text()).toBe('whole');
	await drained;
	await agent.close();
});
