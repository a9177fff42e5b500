/*
Client of the Object API. It maps the core's store operations to HTTP calls and every outcome of a call to a store result.
It never retries an operation, because only the core can decide whether a write may be repeated.
docs/design/object-api.md describes the protocol.
*/
import {match} from 'ts-pattern';
import type {StoredObject, StoreOperation, StoreResult} from '@shallotloom/core/ports.ts';
import type {PlatformError} from './errors.ts';
import {
	createHttpClient, type HttpCall, type HttpClient, type HttpReply,
} from './http-call.ts';
import {listObjects} from './object-list.ts';
import {isVersioned} from './object-wire.ts';
import {watchObjects, type ObjectWatch} from './object-watch.ts';

/** Result of an operation. A `list` also has `objects`, and its result has the revision as version. */
export type StoreReply = {result: StoreResult; objects?: StoredObject[]};

/** Number of calls since the client was created; every page of a listing and every long poll of a watch counts as one read. */
export type CallCounts = {reads: number; writes: number};

export type ObjectStore = {
	run(operation: StoreOperation): Promise<StoreReply>;
	/** Delivers all objects under the prefixes and their changes until `stop`; a deleted object has value ''. */
	watch(watch: ObjectWatch): {stop(): void};
	getCallCounts(): CallCounts;
	/** Stops all watches and aborts all open calls. */
	close(): Promise<void>;
};

export type ObjectStoreOptions = {
	/** Base URL of the Object API, such as `http://127.0.0.1:7000`. */
	url: string;
	callTimeoutMs?: number;
	connectTimeoutMs?: number;
	/** How long the platform keeps a long poll open while nothing changes. */
	watchTimeoutMs?: number;
	/** Number of objects per page of a listing. */
	pageSize?: number;
	localAddress?: string;
	maxConnections?: number;
	/** Random source of the backoff jitter: at least 0, less than 1. */
	randomFraction?: () => number;
};

export const defaultObjectStoreOptions = {
	callTimeoutMs: 2000,
	connectTimeoutMs: 1000,
	watchTimeoutMs: 20_000,
	pageSize: 500,
	localAddress: '',
	maxConnections: 16,
	randomFraction: Math.random,
};

/**
Creates a client of the Object API.

@example
```
const store = createObjectStore({url: 'http://127.0.0.1:7000'});
const {result} = await store.run({kind: 'put', key: 'lease/a', value: '{}', ifVersion: 0});
```
*/
export function createObjectStore(options: ObjectStoreOptions): ObjectStore {
	const settings = {...defaultObjectStoreOptions, ...options};
	const callCounts: CallCounts = {reads: 0, writes: 0};
	const client = countCalls(createHttpClient(settings), callCounts);
	const watches = new Set<{stop(): void}>();

	async function run(operation: StoreOperation): Promise<StoreReply> {
		return match(operation)
			.with({kind: 'list'}, async ({prefix, after}) => list(prefix, after))
			.otherwise(async singleOperation => ({result: createResult(await client.call({...createCall(singleOperation), timeoutMs: settings.callTimeoutMs}))}));
	}

	async function list(prefix: string, after = ''): Promise<StoreReply> {
		const listing = await listObjects({
			...settings, client, prefix, after,
		});
		return listing.kind === 'listed'
			? {result: {kind: 'ok', version: listing.revision, value: ''}, objects: listing.objects}
			: {result: createErrorResult(listing.error)};
	}

	return {
		run,
		watch(watch) {
			const handle = watchObjects({
				...watch, client, settings,
			});
			watches.add(handle);
			return {
				stop() {
					handle.stop();
					watches.delete(handle);
				},
			};
		},
		getCallCounts: () => ({...callCounts}),
		async close() {
			for (const handle of watches) {
				handle.stop();
			}

			await client.close();
		},
	};
}

function countCalls(client: HttpClient, callCounts: CallCounts): HttpClient {
	return {
		...client,
		async call(call) {
			if (call.method === 'GET') {
				callCounts.reads++;
			} else {
				callCounts.writes++;
			}

			return client.call(call);
		},
	};
}

function createCall(operation: Exclude<StoreOperation, {kind: 'list'}>): Omit<HttpCall, 'timeoutMs'> {
	const path = `/objects/${operation.key.split('/').map(segment => encodeURIComponent(segment)).join('/')}`;
	return match(operation)
		.with({kind: 'get'}, () => ({method: 'GET' as const, path}))
		.with({kind: 'put'}, ({value, ifVersion}) => ({
			method: 'PUT' as const, path, body: value, headers: createConditionHeaders(ifVersion),
		}))
		.with({kind: 'delete'}, ({ifVersion}) => ({method: 'DELETE' as const, path, headers: createConditionHeaders(ifVersion)}))
		.exhaustive();
}

function createConditionHeaders(ifVersion: number): Record<string, string> {
	return ifVersion === 0 ? {'if-none-match': '*'} : {'if-match': String(ifVersion)};
}

function createResult(reply: HttpReply): StoreResult {
	return match(reply)
		.returnType<StoreResult>()
		.with({kind: 'failed'}, ({error}) => createErrorResult(error))
		.with({status: 200}, ({body}) => isVersioned(body)
			? {kind: 'ok', version: body.version, value: body.value ?? ''}
			: {kind: 'unknown'})
		.with({status: 404}, () => ({kind: 'absent'}))
		.with({status: 412}, () => ({kind: 'conflict'}))
		.otherwise(() => ({kind: 'unknown'}));
}

function createErrorResult(error: PlatformError): StoreResult {
	return error.kind === 'unavailable' ? {kind: 'unavailable'} : {kind: 'unknown'};
}
