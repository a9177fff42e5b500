/*
The network stand-in: order under delay, cuts of existing and new connections.
*/
import {once} from 'node:events';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {createNetworkStandin, type NetworkStandin} from '../src/network-standin.ts';

let network: NetworkStandin;
let echo: Server;
let link: {host: string; port: number};

beforeEach(async () => {
	echo = createServer(socket => {
		socket.pipe(socket);
	});
	echo.listen(0, '127.0.3.1');
	await once(echo, 'listening');
	const address = echo.address();
	const port = typeof address === 'object' ? address!.port : 0;
	network = createNetworkStandin({domains: {'127.0.2.': 'suva', '127.0.3.': 'lautoka'}});
	await network.start();
	link = {host: '127.0.4.1', port};
	await network.addLink({listen: `127.0.4.1:${port}`, to: `127.0.3.1:${port}`});
});

afterEach(async () => {
	await network.stop();
	echo.close();
});

function open() {
	const socket = connect({...link, localAddress: '127.0.2.1'});
	let text = '';
	socket.on('data', chunk => {
		text += chunk.toString();
	});
	return {socket, text: () => text};
}

async function closed(socket: Socket) {
	socket.end();
	await once(socket, 'close');
}

test('keeps every byte in order under a delay that changes', async () => {
	const {socket, text} = open();
	const sent = Array.from({length: 300}, (_, index) => `${index};`);
	for (const [index, part] of sent.entries()) {
		if (index % 30 === 0) {
			network.configure({delayMs: {same: 0, between: index % 60 === 0 ? 5 : 0.5, client: 1}});
			await sleep(1);
		}

		socket.write(part);
	}

	await closed(socket);
	expect(text()).toBe(sent.join(''));
});

test('delays by at least the delay of the pair, both ways', async () => {
	network.configure({delayMs: {same: 0, between: 20, client: 0}});
	const {socket} = open();
	await once(socket, 'connect');
	const startedAt = performance.now();
	socket.write('ping');
	await once(socket, 'data');
	expect(performance.now() - startedAt).toBeGreaterThanOrEqual(40);
	await closed(socket);
});

test('holds the bytes of old and new connections during a cut, and lets them go after', async () => {
	const before = open();
	before.socket.write('one');
	await once(before.socket, 'data');
	network.addCut({from: '127.0.2.', to: '127.0.3.', oneWay: true});
	const after = open();
	before.socket.write('two');
	after.socket.write('three');
	await sleep(100);
	expect([before.text(), after.text()]).toEqual(['one', '']);
	network.clearCuts();
	await Promise.all([once(before.socket, 'data'), once(after.socket, 'data')]);
	expect([before.text(), after.text()]).toEqual(['onetwo', 'three']);
	network.addCut({from: '127.0.3.', to: '127.0.2.', oneWay: true});
	before.socket.write('four');
	await sleep(100);
	expect(before.text()).toBe('onetwo');
	network.clearCuts();
	await Promise.all([closed(before.socket), closed(after.socket)]);
	expect(before.text()).toBe('onetwofour');
});
