/*
The network stand-in: byte order under a delay, and cuts of existing and new connections.
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

function openConnection() {
	const socket = connect({...link, localAddress: '127.0.2.1'});
	let text = '';
	socket.on('data', chunk => {
		text += chunk.toString();
	});
	return {socket, getText: () => text};
}

async function closeConnection(socket: Socket) {
	socket.end();
	await once(socket, 'close');
}

test('keeps all bytes in order while the delay changes', async () => {
	const {socket, getText} = openConnection();
	const sent = Array.from({length: 300}, (_, index) => `${index};`);
	for (const [index, chunk] of sent.entries()) {
		if (index % 30 === 0) {
			network.configure({delayMs: {same: 0, between: index % 60 === 0 ? 5 : 0.5, client: 1}});
			await sleep(1);
		}

		socket.write(chunk);
	}

	await closeConnection(socket);
	expect(getText()).toBe(sent.join(''));
});

test('delays each direction by at least the delay between the two domains', async () => {
	network.configure({delayMs: {same: 0, between: 20, client: 0}});
	const {socket} = openConnection();
	await once(socket, 'connect');
	const startedAt = performance.now();
	socket.write('ping');
	await once(socket, 'data');
	expect(performance.now() - startedAt).toBeGreaterThanOrEqual(40);
	await closeConnection(socket);
});

test('holds the bytes of existing and new connections during a cut and delivers them afterwards', async () => {
	const before = openConnection();
	before.socket.write('one');
	await once(before.socket, 'data');
	network.addCut({from: '127.0.2.', to: '127.0.3.', oneWay: true});
	const after = openConnection();
	before.socket.write('two');
	after.socket.write('three');
	await sleep(100);
	expect([before.getText(), after.getText()]).toEqual(['one', '']);
	network.clearCuts();
	await Promise.all([once(before.socket, 'data'), once(after.socket, 'data')]);
	expect([before.getText(), after.getText()]).toEqual(['onetwo', 'three']);
	network.addCut({from: '127.0.3.', to: '127.0.2.', oneWay: true});
	before.socket.write('four');
	await sleep(100);
	expect(before.getText()).toBe('onetwo');
	network.clearCuts();
	await Promise.all([closeConnection(before.socket), closeConnection(after.socket)]);
	expect(before.getText()).toBe('onetwofour');
});
