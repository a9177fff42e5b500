/*
HTTP/1.1 over a plain socket, so that the end of an answer, the end of a channel and its reset can be told apart.
*/
import {connect} from 'node:net';

const endOfHead = '\r\n\r\n';

/** Parses the head of an answer. */
function parseHead(text) {
	const [statusLine, ...lines] = text.split('\r\n');
	const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
	return {status: Number(statusLine.split(' ')[1]), headers};
}

/** Decodes chunked bytes as far as they have arrived. */
function decodeChunks(text) {
	let body = '';
	let rest = text;
	for (;;) {
		const lineEnd = rest.indexOf('\r\n');
		const size = lineEnd === -1 ? Number.NaN : Number.parseInt(rest.slice(0, lineEnd), 16);
		if (Number.isNaN(size) || rest.length < lineEnd + 4 + size) {
			return {body, isComplete: false};
		}

		body += rest.slice(lineEnd + 2, lineEnd + 2 + size);
		rest = rest.slice(lineEnd + 4 + size);
		if (size === 0) {
			return {body, isComplete: true};
		}
	}
}

/** Parses what has arrived of an answer. */
function parseAnswer(text, hasEnded) {
	const headEnd = text.indexOf(endOfHead);
	if (headEnd === -1) {
		return {
			status: undefined, headers: {}, body: '', isComplete: false,
		};
	}

	const {status, headers} = parseHead(text.slice(0, headEnd));
	const rest = text.slice(headEnd + endOfHead.length);
	if (headers['transfer-encoding'] === 'chunked') {
		return {status, headers, ...decodeChunks(rest)};
	}

	const length = headers['content-length'];
	return {
		status, headers, body: rest, isComplete: length === undefined ? hasEnded : rest.length >= Number(length),
	};
}

/** Bytes and ends of a channel without a request concern nobody. */
function ignore() {
	// Nothing to do.
}

/** Opens a channel; resolves to undefined when it isn't established in time. */
export async function openChannel(address, timeoutMs = 1000) {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const socket = connect({host, port: Number(port), noDelay: true});
		const channel = {
			address, socket, isClosed: false, onText: ignore, onClosed: ignore,
		};
		const timer = setTimeout(() => {
			socket.destroy();
			resolve(undefined);
		}, timeoutMs);
		socket.once('connect', () => {
			clearTimeout(timer);
			resolve(channel);
		});
		socket.setEncoding('latin1');
		socket.on('data', text => {
			channel.onText(text);
		});
		const close = how => {
			clearTimeout(timer);
			if (!channel.isClosed) {
				channel.isClosed = true;
				socket.destroy();
				channel.onClosed(how);
			}

			resolve(undefined);
		};

		socket.on('end', () => {
			close('closed');
		});
		socket.on('error', ({code}) => {
			close(code);
		});
		socket.on('close', () => {
			close('closed');
		});
	});
}

/**
Sends a request on a channel. Resolves to the answer as far as it has arrived by its end, by the end of the channel, or by the
time limit, at which the channel is closed.
*/
export async function sendOn(channel, request, timeoutMs) {
	return new Promise(resolve => {
		let text = '';
		const finish = end => {
			clearTimeout(timer);
			Object.assign(channel, {onText: ignore, onClosed: ignore});
			resolve({...parseAnswer(text, end === 'closed'), end, at: performance.now()});
		};

		const timer = setTimeout(() => {
			channel.isClosed = true;
			channel.socket.destroy();
			finish('time limit');
		}, timeoutMs);
		Object.assign(channel, {
			onText(more) {
				text += more;
				if (parseAnswer(text, false).isComplete) {
					finish('complete');
				}
			},
			onClosed: finish,
		});
		if (channel.isClosed) {
			finish('closed before');
			return;
		}

		channel.socket.write(request);
	});
}

/** Sends a request on a channel of its own. */
export async function sendOnce(address, request, timeoutMs = 1000) {
	const channel = await openChannel(address, timeoutMs);
	if (!channel) {
		return {
			status: undefined, body: '', isComplete: false, end: 'not connected',
		};
	}

	const answer = await sendOn(channel, request, timeoutMs);
	channel.isClosed = true;
	channel.socket.destroy();
	return answer;
}
