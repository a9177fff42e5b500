/*
Starts and closes the router's HTTP listeners.
*/
import {createServer, type Server} from 'node:http';
import {getRequestListener} from '@hono/node-server';
import type {RouterSettings} from '@shallotloom/settings/router-settings.ts';

/** An object with a fetch function, such as a hono app. */
export type App = {fetch: Parameters<typeof getRequestListener>[0]};

export type Address = {host: string; port: number};

/** Parses `HOST:PORT`. */
export function parseAddress(address: string): Address {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}

export type ListenerOptions = {
	limits: Pick<RouterSettings['limits'], 'headerBytes' | 'headersTimeoutMs' | 'requestTimeoutMs' | 'connections'>;
	/** When it returns true, each answer closes its connection; false by default. */
	isStopping?: () => boolean;
	/** Called with the error of a connection that can't be accepted; ignored by default. */
	onError?: (error: Error) => void;
};

function ignoreError() {
	// The client sees that its connection ends.
}

/** Starts a listener; rejects when its address can't be bound. */
export async function listen(app: App, {host, port}: Address, {limits, isStopping = () => false, onError = ignoreError}: ListenerOptions): Promise<Server> {
	const listener = getRequestListener(app.fetch);
	const server = createServer({
		maxHeaderSize: limits.headerBytes,
		headersTimeout: limits.headersTimeoutMs,
		requestTimeout: limits.requestTimeoutMs,
		noDelay: true,
	}, (incoming, outgoing) => {
		if (isStopping()) {
			// Clients then open a new connection, to an address that still accepts requests.
			outgoing.setHeader('connection', 'close');
		}

		void listener(incoming, outgoing);
	});
	server.maxConnections = limits.connections;
	server.on('error', onError);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return server;
}

/** Stops accepting connections, closes idle ones, and closes the rest when their answers end, at the latest after `graceMs`. */
export async function drainListener(server: Server, graceMs: number) {
	const drained = new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
	server.closeIdleConnections();
	const timer = setTimeout(() => {
		server.closeAllConnections();
	}, graceMs);
	await drained;
	clearTimeout(timer);
}

/** Closes a listener and its connections at once. */
export function closeListener(server: Server) {
	server.close();
	server.closeAllConnections();
}
