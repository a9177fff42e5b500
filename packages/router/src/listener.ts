/*
HTTP listeners of the router, with their limits.
*/
import {createServer, type Server} from 'node:http';
import {getRequestListener} from '@hono/node-server';
import type {RouterSettings} from '@shallotloom/settings/router-settings.ts';

/** Anything with a fetch function, such as a hono app. */
export type App = {fetch: Parameters<typeof getRequestListener>[0]};

export type Address = {host: string; port: number};

/** Splits `HOST:PORT`. */
export function parseAddress(address: string): Address {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}

export type ListenerOptions = {
	limits: Pick<RouterSettings['limits'], 'headerBytes' | 'headersTimeoutMs' | 'requestTimeoutMs' | 'connections'>;
	/** Whether each connection ends with its next answer; never by default. */
	isStopping?: () => boolean;
};

/** Starts a listener; rejects when its address can't be bound. */
export async function listen(app: App, {host, port}: Address, {limits, isStopping = () => false}: ListenerOptions): Promise<Server> {
	const listener = getRequestListener(app.fetch);
	const server = createServer({
		maxHeaderSize: limits.headerBytes,
		headersTimeout: limits.headersTimeoutMs,
		requestTimeout: limits.requestTimeoutMs,
		noDelay: true,
	}, (incoming, outgoing) => {
		if (isStopping()) {
			// Clients then open their next connection anew, to an address that still takes requests.
			outgoing.setHeader('connection', 'close');
		}

		void listener(incoming, outgoing);
	});
	server.maxConnections = limits.connections;
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return server;
}

/** Ends a listener: no connection is taken any more, idle ones end, and answers get `graceMs` to finish. */
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

/** Ends a listener and its connections. */
export function closeListener(server: Server) {
	server.close();
	server.closeAllConnections();
}
