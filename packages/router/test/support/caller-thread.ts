/*
Callers in a thread of their own: they send requests while the event loop of the test, and with it the router, stands still.
*/
import {Worker} from 'node:worker_threads';

/** What a caller received on one connection: status of its last answer, 0 without one, and the head of that answer. */
export type ThreadAnswer = {connection: 'kept' | 'new'; status: number; head: string};

export type CallerThread = {
	/** Resolves to what each caller received for its last request, once all connections are closed. */
	answers: Promise<ThreadAnswer[]>;
	/** Blocks this thread for some time; the callers send their last requests at the begin of it. */
	sendWhileBlocked(blockedMs: number): void;
	stop(): Promise<void>;
};

/** Program of the thread. It opens the kept connections with a first request each, and the new ones when it is told to send. */
const program = `
const {parentPort, workerData: {host, port, connections, path, remainingMs}} = require('node:worker_threads');
const {connect} = require('node:net');
const answers = [];
const kept = [];
const request = id => \`GET \${path} HTTP/1.1\\r\\nHost: desk\\r\\nX-Request-Id: \${id}\\r\\nX-Remaining: \${remainingMs}\\r\\n\\r\\n\`;
function open(connection, id) {
	const socket = connect({host, port, noDelay: true});
	const state = {socket, text: '', isCounted: connection === 'new', id};
	socket.on('data', chunk => {
		state.text += chunk;
		if (!state.isCounted && state.text.endsWith('ok')) {
			state.text = '';
			if (!state.isFirstAnswered) {
				state.isFirstAnswered = true;
				answered += 1;
				if (answered === connections) {
					parentPort.postMessage('open');
				}
			}
		}
	});
	socket.on('error', () => {});
	socket.on('close', () => {
		const match = /^HTTP\\/1.1 (\\d+)/.exec(state.text);
		answers.push({connection, status: match ? Number(match[1]) : 0, head: state.text.split('\\r\\n\\r\\n')[0]});
		if (answers.length === 2 * connections) {
			parentPort.postMessage(answers);
		}
	});
	return state;
}
let answered = 0;
for (let index = 0; index < connections; index += 1) {
	const state = open('kept', 'first' + index);
	state.socket.write(request('first' + index));
	kept.push(state);
}
parentPort.on('message', () => {
	for (const [index, state] of kept.entries()) {
		state.isCounted = true;
		state.socket.write(request('kept' + index));
		open('new', 'new' + index).socket.write(request('new' + index));
	}
});
`;

/** Starts callers with kept connections to an address, on which each has had an answer that ends with "ok". */
export async function startCallerThread(address: string, {connections = 10, path = '/book/x', remainingMs = 1500} = {}): Promise<CallerThread> {
	const [host, port] = address.split(':');
	const worker = new Worker(program, {
		eval: true, workerData: {
			host, port: Number(port), connections, path, remainingMs,
		},
	});
	await new Promise<void>((resolve, reject) => {
		worker.once('error', reject);
		worker.once('message', () => {
			resolve();
		});
	});
	return {
		sendWhileBlocked(blockedMs) {
			worker.postMessage('send');
			Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, blockedMs);
		},
		answers: new Promise(resolve => {
			worker.once('message', resolve);
		}),
		async stop() {
			await worker.terminate();
		},
	};
}
