import {Buffer} from 'node:buffer';
import {connect as connectSocket, createServer, type Socket} from 'node:net';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import fc from 'fast-check';
import {MemberState, type Digest, type PeerMessage} from '@shallotloom/core/messages.ts';
import {Peer} from '@shallotloom/protocol/gen/peer_pb.ts';
import {allocatePort} from '@shallotloom/standin/free-port.ts';
import {createControlTraffic} from '../src/control-traffic.ts';
import {encodeEnvelope} from '../src/peers/codec.ts';
import {createPeerClient, type PeerClient} from '../src/peers/peer-client.ts';
import {startPeerServer, type PeerServer} from '../src/peers/peer-server.ts';

const host = '127.0.0.1';

let port: number;
let server: PeerServer | undefined;
let client: PeerClient;
let received: PeerMessage[];
let invalid: string[];
let broken: string[];

async function startServer() {
	server = await startPeerServer({
		address: {host, port},
		traffic: createControlTraffic(),
		onMessage(_from, _incarnation, message) {
			received.push(message);
		},
		onInvalid(_from, reason) {
			invalid.push(reason);
		},
		onError(error) {
			throw error;
		},
	});
}

beforeEach(async () => {
	port = await allocatePort(host);
	[received, invalid] = [[], []];
	// A client reports its last error after its test.
	const errors: string[] = [];
	broken = errors;
	client = createPeerClient({
		sender: 'a',
		incarnation: 'a-1',
		traffic: createControlTraffic(),
		now: () => performance.now(),
		onLost() {
			// The tests send again by themselves.
		},
		onError(_member, reason) {
			errors.push(reason);
		},
		onInvalid(kind, reason) {
			invalid.push(`${kind}: ${reason}`);
		},
	});
});

afterEach(async () => {
	client.close();
	await server?.close();
	server = undefined;
});

function createDigest(options: Partial<Digest> = {}): Digest {
	return {
		kind: 'digest', state: MemberState.Active, failureDomain: 'suva', callerUrl: '', peerUrl: '', revision: 1, leaseSequence: 0, storeAgeMs: -1,
		services: [], pools: [], heard: [], targets: [{target: 't1', running: 1, coldForMs: 0}], ...options,
	};
}

const send = (message: PeerMessage) => {
	client.send('b', `http://${host}:${port}`, message);
};

/** Sends a digest again and again until one arrives. */
async function sendUntilReceived(): Promise<void> {
	while (!received.some(message => message.kind === 'digest' && message.revision === 7)) {
		send(createDigest({revision: 7}));
		await sleep(50);
	}
}

async function sleep(ms: number) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

const service = {
	workspace: 'w', pool: 'p', service: 1, waiting: 1, virtualTime: 1,
};

const odd = fc.oneof(fc.constantFrom(-1, 0.5, Number.NaN, Number.POSITIVE_INFINITY, 2 ** 32, undefined as never), fc.nat());

describe('a digest with rows that cannot be encoded', () => {
	// Guards against one row that keeps all digests of an instance from leaving, so that it counts as lost.
	test('arrives without them', async () => {
		await startServer();
		send(createDigest({
			targets: [{target: 't1', running: -1, coldForMs: 0}, {target: 't2', running: 2, coldForMs: 0}],
			services: [{...service, workspace: 'v', waiting: -1}, service],
		}));
		await sendUntilReceived();
		expect(received[0]).toMatchObject({targets: [{target: 't2', running: 2}], services: [{workspace: 'w'}]});
		expect(received[0]).toMatchObject({targets: {length: 1}, services: {length: 1}});
		expect(invalid).toEqual([expect.stringMatching(/digest: .*"workspace":"v"/v), expect.stringMatching(/digest: .*"target":"t1"/v)]);
		expect(broken).toEqual([]);
	});

	test('leaves the messages beside it in place: drawn rows and fields', async () => {
		await startServer();
		await fc.assert(fc.asyncProperty(fc.array(odd, {minLength: 6, maxLength: 6}), async ([running, coldForMs, waiting, ageMs, leaseSequence, free]) => {
			received = [];
			send(createDigest({
				leaseSequence: leaseSequence!,
				targets: [{target: 't1', running: running!, coldForMs: coldForMs!}],
				services: [{...service, waiting: waiting!}],
				heard: [{
					member: 'm', incarnation: 'i', ageMs: ageMs!, leaseSequence: 0, digestSequence: 0, tenure: '',
				}],
				pools: [{
					pool: 'p', free: free!, budget: 1, waiting: 1, frontier: 1,
				}],
			}));
			send(createDigest({revision: 7}));
			while (received.every(message => message.kind === 'digest' && message.revision !== 7)) {
				await sleep(2);
			}
		}), {seed: 45, numRuns: 100});
		expect(broken).toEqual([]);
	});
});

// Guards against a message that ends the stream, and with it all later ones of its peer.
test('a message that cannot be decoded leaves those after it in place', async () => {
	await startServer();
	const envelope = encodeEnvelope('a', 'a-1', [createDigest(), createDigest({revision: 7})]);
	const [bad] = envelope.messages;
	if (bad?.body.case === 'digest') {
		bad.body.value.services = Buffer.from('ffff', 'hex');
	}

	const transport = createConnectTransport({baseUrl: `http://${host}:${port}`, httpVersion: '2'});
	await createClient(Peer, transport).deliver((async function * () {
		yield envelope;
	})());
	expect(received).toMatchObject([{revision: 7}]);
	expect(invalid).toHaveLength(1);
});

const preface = 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n';
const settingsFrame = '\0\0\0\u0004\0\0\0\0\0';

const foreign: Array<[string, string]> = [
	['nothing', ''],
	['bytes that are no HTTP/2', 'NONSENSE\r\n\r\n'],
	['an HTTP/1.1 answer', 'HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n'],
	['a frame that is too large', '\u00FF\u00FF\u00FF\0\0\0\0\0\u0001'],
	['GOAWAY', `${settingsFrame}\0\0\u0008\u0007\0\0\0\0\0\0\0\0\0\0\0\0\u0001`],
	['settings, then garbage', `${settingsFrame}${'\u0099'.repeat(400)}`],
];

// Guards against an error of a connection that ends the process.
test.each(foreign)('a client whose peer sends %s reaches it once it is a router again', async (_name, bytes) => {
	const sockets = new Set<Socket>();
	const stranger = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => {
			// The client may reset the connection.
		});
		socket.write(Buffer.from(bytes, 'latin1'));
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 30);
	});
	await new Promise<void>(resolve => {
		stranger.listen(port, host, resolve);
	});
	while (broken.length === 0) {
		send(createDigest());
		await sleep(50);
	}

	for (const socket of sockets) {
		socket.destroy();
	}

	await new Promise(resolve => {
		stranger.close(resolve);
	});
	await startServer();
	await sendUntilReceived();
}, 15_000);

const foreignRequests: Array<[string, string]> = [
	...foreign,
	['the preface of HTTP/2, then garbage', `${preface}${'\u0099'.repeat(400)}`],
	['the preface and settings', `${preface}${settingsFrame}`],
];

test.each(foreignRequests)('a server whose caller sends %s serves its peers', async (_name, bytes) => {
	await startServer();
	for (const isReset of [false, true, false, true]) {
		const socket = connectSocket({host, port});
		socket.on('error', () => {
			// The server may reset the connection.
		});
		socket.write(Buffer.from(bytes, 'latin1'));
		await sleep(30);
		if (isReset) {
			socket.resetAndDestroy();
		} else {
			socket.destroy();
		}
	}

	await sendUntilReceived();
});
