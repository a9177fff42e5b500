/*
HTTP server that all stand-ins share: start and stop on a given address, faults that are set and cleared over HTTP, and
breaking of sockets. Paths under /standin/ are control and stay reachable during every fault.
*/
import {
	createServer, type Server, type IncomingMessage, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {getRequestListener, type HttpBindings} from '@hono/node-server';
import {type Hono} from 'hono';

/** Environment of a route: Node's request and response, for streams and for breaking the connection. */
export type StandinContext = {Bindings: HttpBindings};

export type StandinApp = Hono<StandinContext>;

/** What every stand-in offers to a test in the same process. */
export type Standin = {
	/** Listens; port 0 takes a free port. */
	start(): Promise<{url: string}>;
	/** Breaks all connections and stops listening. */
	stop(): Promise<void>;
};

export type StandinServer = Standin & {
	/** Breaks all connections but those of control. */
	breakConnections(): void;
	/** Stops listening for the time, so that connections are refused. */
	refuseConnections(ms: number): void;
};

export type ServerOptions = {host: string; port: number; app: StandinApp};

/** Creates the server around the routes of a stand-in. */
export function createStandinServer({host, port, app}: ServerOptions): StandinServer {
	const sockets = new Set<Socket>();
	const controlSockets = new WeakSet<Socket>();
	let server: Server | undefined;
	let relisten: NodeJS.Timeout | undefined;
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
			if (isControl(req.url)) {
				controlSockets.add(req.socket);
			} else {
				controlSockets.delete(req.socket);
			}
		});
	}

	async function listen() {
		const created = createServer();
		// A pooled connection that the server closes first would break a caller's next call.
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
		boundPort = portOf(created);
	}

	async function close() {
		clearTimeout(relisten);
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
			// Frees the port at once; the control connection that asked for it may still be answered.
			server?.close();
			server = undefined;
			breakConnections();
			relisten = setTimeout(() => {
				void listen();
			}, ms);
		},
	};
}

function portOf(server: Server): number {
	const address = server.address();
	return typeof address === 'object' && address ? address.port : 0;
}

/** Whether the path belongs to control. */
export function isControl(path = ''): boolean {
	return path.startsWith('/standin/');
}

/** Breaks the connection of a request without an answer. */
export function breakConnection(response: ServerResponse) {
	response.socket?.destroy();
}

/** Adds the routes that set, show and clear the faults; `onSet` sees only what was set. */
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

/** Takes all faults back. */
export function clearFaults(faults: object) {
	for (const name of Object.keys(faults)) {
		Reflect.deleteProperty(faults, name);
	}
}

/** Path of a request with every segment decoded, without its first segment. */
export function restOfPath(url: string): string {
	const rest = new URL(url).pathname.split('/').slice(2);
	return rest.map(part => decodeURIComponent(part)).join('/');
}
