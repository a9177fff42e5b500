/*
HTTP server that all stand-ins share: starts and stops on a given address, sets and clears faults over HTTP, and breaks
connections. Paths under /standin/ are control paths: they stay reachable during every fault, except while the server does
not listen at all.
*/
import {
	createServer, type Server, type IncomingMessage, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {getRequestListener, type HttpBindings} from '@hono/node-server';
import {type Hono} from 'hono';

/** Hono environment of the routes: gives access to Node's request and response, to write streams and to break connections. */
export type StandinEnvironment = {Bindings: HttpBindings};

export type StandinApp = Hono<StandinEnvironment>;

/** Interface of every stand-in to a test in the same process. */
export type Standin = {
	/** Listens; port 0 selects a free port. */
	start(): Promise<{url: string}>;
	/** Breaks all connections and stops listening. */
	stop(): Promise<void>;
};

export type StandinServer = Standin & {
	/** Breaks all connections except those whose last request was a control request. */
	breakConnections(): void;
	/** Stops listening for the given time, so that connections are refused. */
	refuseConnections(ms: number): void;
};

export type ServerOptions = {host: string; port: number; app: StandinApp};

/** Creates a server for the routes of a stand-in. */
export function createStandinServer({host, port, app}: ServerOptions): StandinServer {
	const sockets = new Set<Socket>();
	const controlSockets = new WeakSet<Socket>();
	let server: Server | undefined;
	let relistenTimer: NodeJS.Timeout | undefined;
	let boundPort = port;

	function trackSockets(created: Server) {
		created.on('connection', (socket: Socket) => {
			sockets.add(socket);
			socket.setNoDelay(true);
			socket.once('close', () => {
				sockets.delete(socket);
			});
		});
		created.on('request', (req: IncomingMessage) => {
			if (isControlPath(req.url)) {
				controlSockets.add(req.socket);
			} else {
				controlSockets.delete(req.socket);
			}
		});
	}

	async function listen() {
		const created = createServer();
		// Long, since a pooled connection that the server closes while idle would make the caller's next request fail.
		created.keepAliveTimeout = 120_000;
		trackSockets(created);
		const listener = getRequestListener(app.fetch);
		created.on('request', (req, res) => {
			void listener(req, res);
		});
		server = created;
		await new Promise<void>((resolve, reject) => {
			created.once('error', reject);
			created.listen(boundPort, host, () => {
				resolve();
			});
		});
		boundPort = getPort(created);
	}

	async function close() {
		clearTimeout(relistenTimer);
		const closing = server;
		server = undefined;
		for (const socket of sockets) {
			socket.destroy();
		}

		await new Promise<void>(resolve => {
			if (closing) {
				closing.close(() => {
					resolve();
				});
			} else {
				resolve();
			}
		});
	}

	function breakConnections() {
		for (const socket of sockets) {
			if (!controlSockets.has(socket)) {
				socket.destroy();
			}
		}
	}

	return {
		async start() {
			await listen();
			return {url: `http://${host}:${boundPort}`};
		},
		stop: close,
		breakConnections,
		refuseConnections(ms) {
			// Frees the port immediately; the control connection that requested it stays open, so that it gets its answer.
			server?.close();
			server = undefined;
			breakConnections();
			relistenTimer = setTimeout(() => {
				void listen();
			}, ms);
		},
	};
}

function getPort(server: Server): number {
	const address = server.address();
	return typeof address === 'object' && address ? address.port : 0;
}

export function isControlPath(path = ''): boolean {
	return path.startsWith('/standin/');
}

/** Breaks the connection of a request without an answer. */
export function breakConnection(response: ServerResponse) {
	response.socket?.destroy();
}

/** Adds the routes that set, return and clear the faults; `onSet` gets only the faults of the request. */
export function addFaultRoutes<Faults extends object>(
	app: StandinApp,
	faults: Partial<Faults>,
	onSet: (set: Partial<Faults>) => void,
) {
	app.post('/standin/faults', async ctx => {
		const set = await ctx.req.json<Partial<Faults>>();
		Object.assign(faults, set);
		onSet(set);
		return ctx.json(faults);
	});
	app.get('/standin/faults', ctx => ctx.json(faults));
	app.delete('/standin/faults', ctx => {
		clearFaults(faults);
		return ctx.json(faults);
	});
}

/** Removes all faults from the object, which other modules share by reference. */
export function clearFaults(faults: object) {
	for (const name of Object.keys(faults)) {
		Reflect.deleteProperty(faults, name);
	}
}

/** Path of a URL without its first segment; every segment is percent-decoded by itself. */
export function decodePathRemainder(url: string): string {
	const segments = new URL(url).pathname.split('/').slice(2);
	return segments.map(segment => decodeURIComponent(segment)).join('/');
}
