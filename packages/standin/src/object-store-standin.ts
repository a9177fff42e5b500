/*
Stand-in of the users' platform's store: objects by kind and name with one revision counter, lists in pages, watches, a
history that can be dropped, and faults. It keeps to the platform's protocol as far as the adapter uses it.
*/
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

export type ObjectStoreFaults = {
	/** Status of every answer; 0 when the store answers as it should. */
	status: number;
	/** Calls get no answer. */
	silent: boolean;
	/** Writes take effect but their connection breaks. */
	loseAnswers: boolean;
};

export type StandinObject = {
	metadata: {name: string; revision: number};
	spec: unknown;
	status: unknown;
};

type Change = {kind: string; revision: number; object: StandinObject; deleted: boolean};

export type ObjectStoreStandin = {
	/** IP number and port. */
	address: string;
	/** Method and path of each call so far. */
	calls: string[];
	put(kind: string, name: string, spec: unknown): void;
	remove(kind: string, name: string): void;
	get(kind: string, name: string): StandinObject | undefined;
	/** Drops the history: watches from before get 410. */
	compact(): void;
	setFaults(faults: Partial<ObjectStoreFaults>): void;
	stop(): Promise<void>;
};

export type ObjectStoreStandinOptions = {
	host?: string;
	/** Objects in a page of a list. */
	pageSize?: number;
};

const pathPattern = /^\/shallotloom\/objects\/(?<kind>[^\/?]+)(?:\/(?<name>[^\/?]+))?$/v;

type Reply = {status: number; body?: unknown};

/** Starts the store on a free port. */
export async function startObjectStoreStandin({host = '127.0.0.1', pageSize = 500}: ObjectStoreStandinOptions = {}): Promise<ObjectStoreStandin> {
	const kinds = new Map<string, Map<string, StandinObject>>();
	const faults: ObjectStoreFaults = {status: 0, silent: false, loseAnswers: false};
	const calls: string[] = [];
	const sockets = new Set<Socket>();
	const waiting = new Set<() => void>();
	let history: Change[] = [];
	let historyStart = 0;
	let revision = 1;

	function objectsOf(kind: string): Map<string, StandinObject> {
		const known = kinds.get(kind) ?? new Map<string, StandinObject>();
		kinds.set(kind, known);
		return known;
	}

	function change(kind: string, object: StandinObject, deleted: boolean) {
		history.push({
			kind, revision, object, deleted,
		});
		for (const wake of waiting) {
			wake();
		}
	}

	function put(kind: string, name: string, spec: unknown): StandinObject {
		const known = objectsOf(kind).get(name);
		if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) {
			return known;
		}

		revision += 1;
		const object: StandinObject = {metadata: {name, revision}, spec, status: null};
		objectsOf(kind).set(name, object);
		change(kind, object, false);
		return object;
	}

	function remove(kind: string, name: string): boolean {
		const object = objectsOf(kind).get(name);
		if (object) {
			objectsOf(kind).delete(name);
			revision += 1;
			change(kind, {...object, metadata: {...object.metadata, revision}}, true);
		}

		return object !== undefined;
	}

	function list(kind: string, after: string): Reply {
		const names = [...objectsOf(kind).keys()].toSorted().filter(name => name > after);
		const page = names.slice(0, pageSize);
		return {status: 200, body: {items: page.map(name => objectsOf(kind).get(name)), has_more: names.length > page.length, as_of: revision}};
	}

	async function watch(kind: string, since: number, waitMs: number): Promise<Reply> {
		if (since < historyStart) {
			return {status: 410};
		}

		const events = () => history.filter(entry => entry.kind === kind && entry.revision > since);
		if (events().length === 0) {
			await new Promise<void>(resolve => {
				const wake = () => {
					if (events().length > 0 || since < historyStart) {
						done();
					}
				};

				const timer = setTimeout(done, waitMs);
				function done() {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				}

				waiting.add(wake);
			});
		}

		return {status: 200, body: {events: events().map(({object, deleted}) => ({object, deleted})), as_of: revision}};
	}

	type Call = {kind: string; name: string; query: URLSearchParams; body: string};

	function replace({kind, name, body}: Call): Reply {
		return objectsOf(kind).has(name)
			? {status: 200, body: put(kind, name, (JSON.parse(body) as StandinObject).spec)}
			: {status: 404};
	}

	function create({kind, body}: Call): Reply {
		const {metadata, spec} = JSON.parse(body) as StandinObject;
		const known = objectsOf(kind).get(metadata.name);
		return known ? {status: 409, body: known} : {status: 200, body: put(kind, metadata.name, spec)};
	}

	function erase({kind, name, query}: Call): Reply {
		const known = objectsOf(kind).get(name);
		const asked = query.get('revision');
		if (known && asked !== null && Number(asked) !== known.metadata.revision) {
			return {status: 409, body: known};
		}

		return {status: remove(kind, name) ? 200 : 404, body: {}};
	}

	async function read({kind, name, query}: Call): Promise<Reply> {
		const since = query.get('watch');
		if (since !== null) {
			return watch(kind, Number(since), Number(query.get('wait_ms') ?? 0));
		}

		const object = objectsOf(kind).get(name);
		return name === '' ? list(kind, query.get('after') ?? '') : {status: object ? 200 : 404, body: object};
	}

	/** What is done by each method. */
	const methods: Record<string, (call: Call) => Reply | Promise<Reply>> = {
		GET: read, PUT: replace, POST: create, DELETE: erase,
	};

	async function answer(request: IncomingMessage, response: ServerResponse, body: string) {
		const url = new URL(request.url ?? '/', 'http://store');
		const groups = pathPattern.exec(url.pathname)?.groups;
		const method = methods[request.method ?? ''];
		calls.push(`${request.method} ${request.url}`);
		if (faults.silent) {
			return;
		}

		if (faults.status !== 0 || !groups || !method) {
			response.writeHead(faults.status === 0 ? 400 : faults.status).end();
			return;
		}

		const reply = await method({
			kind: groups.kind!, name: decodeURIComponent(groups.name ?? ''), query: url.searchParams, body,
		});
		if (faults.loseAnswers && request.method !== 'GET') {
			response.destroy();
			return;
		}

		response.writeHead(reply.status, {'content-type': 'application/json'}).end(JSON.stringify(reply.body ?? {}));
	}

	const server = createServer((request, response) => {
		let body = '';
		request.setEncoding('utf8');
		request.on('data', (piece: string) => {
			body += piece;
		});
		request.on('end', () => {
			void answer(request, response, body);
		});
	});
	server.on('connection', socket => {
		sockets.add(socket);
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	const place = server.address();
	return {
		address: `${host}:${typeof place === 'object' ? place!.port : 0}`,
		calls,
		put(kind, name, spec) {
			put(kind, name, spec);
		},
		remove(kind, name) {
			remove(kind, name);
		},
		get: (kind, name) => objectsOf(kind).get(name),
		compact() {
			history = [];
			historyStart = revision + 1;
			revision += 1;
			for (const wake of waiting) {
				wake();
			}
		},
		setFaults(next) {
			Object.assign(faults, next);
		},
		async stop() {
			for (const socket of sockets) {
				socket.destroy();
			}

			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}
