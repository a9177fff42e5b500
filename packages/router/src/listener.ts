/*
Binds the addresses of a router, and starts and closes its HTTP listeners.
*/
import {createServer, type Server} from 'node:http';
import type {Server as NetServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
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

export type BindOptions = {
	/** Until when to wait for an address that another socket holds, in milliseconds on the clock of `performance.now()`. */
	endsAt: number;
	/** Called once when an address has to be waited for. */
	onWait?: (address: Address, code: string) => void;
	/** Called when an address that was waited for is bound, with the time that took in milliseconds. */
	onBound?: (address: Address, waitedMs: number) => void;
};

export const bindDefaults = {endsAt: Number.NEGATIVE_INFINITY} satisfies BindOptions;

/** Interval between attempts to bind an address that is in use, in milliseconds. */
const bindRetryMs = 100;

/** Errors of a bind that pass by themselves: another socket holds the address, or its interface isn't up yet. */
const passingBindErrors = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

async function tryToBind(server: NetServer, {host, port}: Address): Promise<NodeJS.ErrnoException | undefined> {
	return new Promise(resolve => {
		const onListening = () => {
			server.off('error', onError);
			resolve(undefined);
		};

		const onError = (error: NodeJS.ErrnoException) => {
			server.off('listening', onListening);
			resolve(error);
		};

		server.once('listening', onListening);
		server.once('error', onError);
		server.listen(port, host);
	});
}

/** Binds a server to an address. While another socket holds the address, it tries again; it rejects when the wait is over. */
export async function bindServer(server: NetServer, address: Address, {endsAt, onWait, onBound}: BindOptions = bindDefaults) {
	const startedAt = performance.now();
	for (let attempts = 1; ; attempts += 1) {
		const error = await tryToBind(server, address);
		const waitedMs = Math.round(performance.now() - startedAt);
		if (!error) {
			if (attempts > 1) {
				onBound?.(address, waitedMs);
			}

			return;
		}

		if (!passingBindErrors.has(error.code ?? '') || performance.now() >= endsAt) {
			throw new Error(`can't bind ${address.host}:${address.port} after ${waitedMs} ms: ${error.message}`, {cause: error});
		}

		if (attempts === 1) {
			onWait?.(address, error.code!);
		}

		await sleep(bindRetryMs);
	}
}

export type ListenerOptions = {
	bind?: BindOptions;
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
export async function listen(app: App, address: Address, {limits, bind, isStopping = () => false, onError = ignoreError}: ListenerOptions): Promise<Server> {
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
	await bindServer(server, address, bind);
	server.on('error', onError);
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
