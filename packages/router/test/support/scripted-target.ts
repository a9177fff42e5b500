/*
A target whose answers the test writes to the socket. It reports a warm load, and records its calls with their sockets.
*/
import {createServer, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

export type ScriptedCall = {
	request: IncomingMessage;
	id: string;
	body: string;
	socket: Socket;
	/** Writes an HTTP answer with this body; `id` defaults to the request's id, `missingBytes` is added to the content length. */
	answer: (body: string, options?: {id?: string; contentType?: string; status?: number; missingBytes?: number}) => void;
};

export type ScriptedTarget = {
	url: string;
	/** Calls so far, without load reports. */
	calls: ScriptedCall[];
	/** Sets the scripts that answer the next calls in turn; the last one answers all later calls. */
	script: (...answers: Array<(call: ScriptedCall) => void>) => void;
	clear: () => void;
	stop: () => Promise<void>;
};

export async function startScriptedTarget(): Promise<ScriptedTarget> {
	let scripts: Array<(call: ScriptedCall) => void> = [];
	let calls: ScriptedCall[] = [];
	const server = createServer((request, response) => {
		if (request.url === '/load') {
			response.end(JSON.stringify({
				startId: 'scripted', running: 0, cold: false, ageMs: 0,
			}));
			return;
		}

		let body = '';
		request.setEncoding('utf8');
		request.on('data', (piece: string) => {
			body += piece;
		});
		request.once('end', () => {
			const call = createScriptedCall(request, body);
			calls.push(call);
			const script = scripts.length > 1 ? scripts.shift() : scripts[0];
			script?.(call);
		});
	});
	server.keepAliveTimeout = 60_000;
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	return {
		url: `http://127.0.0.1:${typeof address === 'object' ? address!.port : 0}`,
		get calls() {
			return calls;
		},
		script(...answers) {
			scripts = answers;
		},
		clear() {
			scripts = [];
			calls = [];
		},
		async stop() {
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}

function createScriptedCall(request: IncomingMessage, body: string): ScriptedCall {
	const id = String(request.headers['x-request-id']);
	const {socket} = request;
	return {
		request,
		id,
		body,
		socket,
		answer(text, {id: echoedId = id, contentType = 'application/json', status = 200, missingBytes = 0} = {}) {
			socket.write(`HTTP/1.1 ${status} Scripted\r\ncontent-type: ${contentType}\r\nx-request-id: ${echoedId}\r\ncontent-length: ${text.length + missingBytes}\r\n\r\n${text}`);
		},
	};
}
