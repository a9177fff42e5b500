/*
Client of the Object API. It turns the operations of the core into HTTP calls and every way in which a call can end into
a result of the core. It never retries an operation by itself: whether a write may be repeated is the core's decision.
docs/design/object-api.md describes the protocol.
*/
import {match} from 'ts-pattern';
import type {StoredObject, StoreOperation, StoreResult} from '@shallotloom/core/ports.ts';
import type {PlatformError} from './errors.ts';
import {
	createHttpCaller, type HttpCall, type HttpCaller, type HttpReply,
} from './http-call.ts';
import {listObjects} from './object-list.ts';
import {isVersioned} from './object-wire.ts';
import {watchObjects, type ObjectWatch} from './object-watch.ts';

/** Result of an operation; `objects` only for `list`, whose result carries the revision as its version. */
export type StoreReply = {result: StoreResult; objects?: StoredObject[]};

/** Calls made so far; a watch counts one read for every long poll. */
export type CallCount = {reads: number; writes: number};

export type ObjectStore = {
	run(operation: StoreOperation): Promise<StoreReply>;
	/** Follows all objects under the prefixes until `stop`; a deleted object is delivered with value ''. */
	watch(watch: ObjectWatch): {stop(): void};
	calls(): CallCount;
	/** Stops the watches and breaks all open calls. */
	close(): Promise<void>;
};

export type ObjectStoreOptions = {
	/** Base of the Object API, such as `http://127.0.0.1:7000`. */
	url: string;
	callTimeoutMs?: number;
	connectTimeoutMs?: number;
	/** Time that the platform holds a watch open without a change. */
	watchTimeoutMs?: number;
	/** Objects a page of `list`. */
	pageSize?: number;
	localAddress?: string;
	connections?: number;
	/** Source of jitter, from 0 up to 1. */
	random?: () => number;
};

export const objectStoreDefaults = {
	callTimeoutMs: 2000,
	connectTimeoutMs: 1000,
	watchTimeoutMs: 20_000,
	pageSize: 500,
	localAddress: '',
	connections: 16,
	random: Math.random,
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
	const settings = {...objectStoreDefaults, ...options};
	const calls: CallCount = {reads: 0, writes: 0};
	const caller = countCalls(createHttpCaller(settings), calls);
	const watches = new Set<{stop(): void}>();

	async function run(operation: StoreOperation): Promise<StoreReply> {
		return match(operation)
			.with({kind: 'list'}, async ({prefix, after}) => list(prefix, after))
			.otherwise(async single => ({result: resultOf(await caller.call({...callOf(single), timeoutMs: settings.callTimeoutMs}))}));
	}

	async function list(prefix: string, after = ''): Promise<StoreReply> {
		const listing = await listObjects({
			...settings, caller, prefix, after,
		});
		return listing.kind === 'listed'
			? {result: {kind: 'ok', version: listing.revision, value: ''}, objects: listing.objects}
			: {result: resultOfError(listing.error)};
	}

	return {
		run,
		watch(watch) {
			const handle = watchObjects({
				...watch, caller, settings,
			});
			watches.add(handle);
			return {
				stop() {
					handle.stop();
					watches.delete(handle);
				},
			};
		},
		calls: () => ({...calls}),
		async close() {
			for (const handle of watches) {
				handle.stop();
			}

			await caller.close();
		},
	};
}

function countCalls(caller: HttpCaller, calls: CallCount): HttpCaller {
	return {
		...caller,
		async call(call) {
			if (call.method === 'GET') {
				calls.reads++;
			} else {
				calls.writes++;
			}

			return caller.call(call);
		},
	};
}

function callOf(operation: Exclude<StoreOperation, {kind: 'list'}>): Omit<HttpCall, 'timeoutMs'> {
	const path = `/objects/${operation.key.split('/').map(part => encodeURIComponent(part)).join('/')}`;
	return match(operation)
		.with({kind: 'get'}, () => ({method: 'GET' as const, path}))
		.with({kind: 'put'}, ({value, ifVersion}) => ({
			method: 'PUT' as const, path, body: value, headers: condition(ifVersion),
		}))
		.with({kind: 'delete'}, ({ifVersion}) => ({method: 'DELETE' as const, path, headers: condition(ifVersion)}))
		.exhaustive();
}

function condition(ifVersion: number): Record<string, string> {
	return ifVersion === 0 ? {'if-none-match': '*'} : {'if-match': String(ifVersion)};
}

function resultOf(reply: HttpReply): StoreResult {
	return match(reply)
		.returnType<StoreResult>()
		.with({kind: 'failed'}, ({error}) => resultOfError(error))
		.with({status: 200}, ({body}) => isVersioned(body)
			? {kind: 'ok', version: body.version, value: body.value ?? ''}
			: {kind: 'unknown'})
		.with({status: 404}, () => ({kind: 'absent'}))
		.with({status: 412}, () => ({kind: 'conflict'}))
		.otherwise(() => ({kind: 'unknown'}));
}

function resultOfError(error: PlatformError): StoreResult {
	return error.kind === 'unavailable' ? {kind: 'unavailable'} : {kind: 'unknown'};
}
