/*
Stand-in of the object store of the users' platform: objects by kind and name with one revision counter, paged lists,
watches, a change history that can be compacted, and faults. It implements the platform's protocol as far as the adapter
uses it.
*/
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

export type ObjectStoreFaults = {
	/** HTTP status of every answer; 0 disables the fault. */
	status: number;
	/** Calls get no answer and have no effect. */
	silent: boolean;
	/** Writes take effect, but their connection breaks. */
	loseAnswers: boolean;
	/** Value of the header with the era in place of the true one; '' for none, undefined disables the fault. */
	era: string | undefined;
};

export type StandinObject = {
	metadata: {name: string; revision: number};
	spec: unknown;
	status: unknown;
};

/** State of the store at one time. */
export type StoreCopy = {kinds: Map<string, Map<string, StandinObject>>; history: Change[]; revision: number};

type Change = {kind: string; revision: number; object: StandinObject; deleted: boolean};

export type ObjectStoreStandin = {
	/** `HOST:PORT`, with the host as an IP address. */
	address: string;
	/** Method and URL of each call so far. */
	calls: string[];
	put(kind: string, name: string, spec: unknown): void;
	remove(kind: string, name: string): void;
	get(kind: string, name: string): StandinObject | undefined;
	/** Lets the watches that wait now wait for good, as on connections that have gone silent. */
	silenceWatches(): void;
	/** Discards the change history: watches from an earlier revision get 410. */
	compact(): void;
	createCopy(): StoreCopy;
	/**
	Returns the store to an earlier copy: what was written since is lost, revisions are given out again, and waiting watches break.
	*/
	returnFrom(copy: StoreCopy): void;
	setFaults(faults: Partial<ObjectStoreFaults>): void;
	stop(): Promise<void>;
};

export type ObjectStoreStandinOptions = {
	host?: string;
	/** Maximum number of objects in one page of a list. */
	pageSize?: number;
};

const pathPattern = /^\/shallotloom\/objects\/(?<kind>[^\/?]+)(?:\/(?<name>[^\/?]+))?$/v;

type Reply = {status: number; body?: unknown};

/** Starts the store on a free port. */
export async function startObjectStoreStandin({host = '127.0.0.1', pageSize = 500}: ObjectStoreStandinOptions = {}): Promise<ObjectStoreStandin> {
	let kinds = new Map<string, Map<string, StandinObject>>();
	const faults: ObjectStoreFaults = {
		status: 0, silent: false, loseAnswers: false, era: undefined,
	};
	const calls: string[] = [];
	const sockets = new Set<Socket>();
	/** Callbacks of the waiting watches. */
	const waiting = new Set<() => void>();
	const waitTimers = new Set<NodeJS.Timeout>();
	let history: Change[] = [];
	/** Lowest revision from which a watch is answered. */
	let historyStart = 0;
	let revision = 1;
	/** Rises with each return from a copy. */
	let era = 1;

	function getOrCreateObjects(kind: string): Map<string, StandinObject> {
		const objects = kinds.get(kind) ?? new Map<string, StandinObject>();
		kinds.set(kind, objects);
		return objects;
	}

	function copyKinds(source = kinds): typeof kinds {
		return new Map([...source].map(([kind, objects]) => [kind, new Map(objects)]));
	}

	function recordChange(kind: string, object: StandinObject, deleted: boolean) {
		history.push({
			kind, revision, object, deleted,
		});
		for (const wake of waiting) {
			wake();
		}
	}

	/** Writes an object; an unchanged spec keeps its revision and wakes no watch. */
	function put(kind: string, name: string, spec: unknown): StandinObject {
		const current = getOrCreateObjects(kind).get(name);
		if (current && JSON.stringify(current.spec) === JSON.stringify(spec)) {
			return current;
		}

		revision += 1;
		const object: StandinObject = {metadata: {name, revision}, spec, status: null};
		getOrCreateObjects(kind).set(name, object);
		recordChange(kind, object, false);
		return object;
	}

	function remove(kind: string, name: string): boolean {
		const object = getOrCreateObjects(kind).get(name);
		if (object) {
			getOrCreateObjects(kind).delete(name);
			revision += 1;
			recordChange(kind, {...object, metadata: {...object.metadata, revision}}, true);
		}

		return object !== undefined;
	}

	function list(kind: string, after: string): Reply {
		const names = [...getOrCreateObjects(kind).keys()].toSorted().filter(name => name > after);
		const page = names.slice(0, pageSize);
		return {status: 200, body: {items: page.map(name => getOrCreateObjects(kind).get(name)), has_more: names.length > page.length, as_of: revision}};
	}

	async function watch(kind: string, since: number, waitMs: number): Promise<Reply> {
		if (since < historyStart || since > revision) {
			return {status: 410};
		}

		const getEvents = () => history.filter(entry => entry.kind === kind && entry.revision > since);
		if (getEvents().length === 0) {
			await new Promise<void>(resolve => {
				const wake = () => {
					if (getEvents().length > 0 || since < historyStart) {
						finish();
					}
				};

				const timer = setTimeout(finish, waitMs);
				waitTimers.add(timer);
				function finish() {
					clearTimeout(timer);
					waitTimers.delete(timer);
					waiting.delete(wake);
					resolve();
				}

				waiting.add(wake);
			});
		}

		return {status: 200, body: {events: getEvents().map(({object, deleted}) => ({object, deleted})), as_of: revision}};
	}

	type Call = {kind: string; name: string; query: URLSearchParams; body: string};

	function handlePut({kind, name, body}: Call): Reply {
		return getOrCreateObjects(kind).has(name)
			? {status: 200, body: put(kind, name, (JSON.parse(body) as StandinObject).spec)}
			: {status: 404};
	}

	function handlePost({kind, body}: Call): Reply {
		const {metadata, spec} = JSON.parse(body) as StandinObject;
		const current = getOrCreateObjects(kind).get(metadata.name);
		return current ? {status: 409, body: current} : {status: 200, body: put(kind, metadata.name, spec)};
	}

	function handleDelete({kind, name, query}: Call): Reply {
		const current = getOrCreateObjects(kind).get(name);
		const expectedRevision = query.get('revision');
		if (current && expectedRevision !== null && Number(expectedRevision) !== current.metadata.revision) {
			return {status: 409, body: current};
		}

		return {status: remove(kind, name) ? 200 : 404, body: {}};
	}

	async function handleGet({kind, name, query}: Call): Promise<Reply> {
		const since = query.get('watch');
		if (since !== null) {
			return watch(kind, Number(since), Number(query.get('wait_ms') ?? 0));
		}

		const object = getOrCreateObjects(kind).get(name);
		return name === '' ? list(kind, query.get('after') ?? '') : {status: object ? 200 : 404, body: object};
	}

	const methodHandlers: Record<string, (call: Call) => Reply | Promise<Reply>> = {
		GET: handleGet, PUT: handlePut, POST: handlePost, DELETE: handleDelete,
	};

	function createEraHeader(): Record<string, string> {
		const text = faults.era ?? String(era);
		return text === '' ? {} : {'store-era': text};
	}

	async function handleRequest(request: IncomingMessage, response: ServerResponse, body: string) {
		const url = new URL(request.url ?? '/', 'http://store');
		const groups = pathPattern.exec(url.pathname)?.groups;
		const handler = methodHandlers[request.method ?? ''];
		calls.push(`${request.method} ${request.url}`);
		if (faults.silent) {
			return;
		}

		if (faults.status !== 0 || !groups || !handler) {
			response.writeHead(faults.status === 0 ? 400 : faults.status).end();
			return;
		}

		const reply = await handler({
			kind: groups.kind!, name: decodeURIComponent(groups.name ?? ''), query: url.searchParams, body,
		});
		if (faults.loseAnswers && request.method !== 'GET') {
			response.destroy();
			return;
		}

		response.writeHead(reply.status, {'content-type': 'application/json', ...createEraHeader()}).end(JSON.stringify(reply.body ?? {}));
	}

	const server = createServer((request, response) => {
		let body = '';
		request.setEncoding('utf8');
		request.on('data', (chunk: string) => {
			body += chunk;
		});
		request.on('end', () => {
			void handleRequest(request, response, body);
		});
	});
	server.on('connection', socket => {
		sockets.add(socket);
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	const address = server.address();
	return {
		address: `${host}:${typeof address === 'object' ? address!.port : 0}`,
		calls,
		put(kind, name, spec) {
			put(kind, name, spec);
		},
		remove(kind, name) {
			remove(kind, name);
		},
		get: (kind, name) => getOrCreateObjects(kind).get(name),
		silenceWatches() {
			for (const timer of waitTimers) {
				clearTimeout(timer);
			}

			waiting.clear();
		},
		compact() {
			history = [];
			historyStart = revision + 1;
			revision += 1;
			for (const wake of waiting) {
				wake();
			}
		},
		createCopy: () => ({kinds: copyKinds(), history: [...history], revision}),
		returnFrom(copy) {
			for (const socket of sockets) {
				socket.destroy();
			}

			({revision} = copy);
			kinds = copyKinds(copy.kinds);
			history = [...copy.history];
			era += 1;
		},
		setFaults(changed) {
			Object.assign(faults, changed);
		},
		async stop() {
			for (const timer of waitTimers) {
				clearTimeout(timer);
			}

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
