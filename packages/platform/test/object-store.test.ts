/*
Runs the client of the Object API against the stand-in platform: conditional writes, lost responses, outages and watches.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {StoredObject} from '@shallotloom/core/ports.ts';
import {createPlatformStandin, type PlatformStandin, type PlatformStandinOptions} from '@shallotloom/standin/platform-standin.ts';
import {createObjectStore, type ObjectStore} from '../src/object-store.ts';
import {pollInstanceList} from '../src/instance-list.ts';

let platform: PlatformStandin;
let store: ObjectStore;
let url: string;

async function startPlatform(options: PlatformStandinOptions = {}) {
	platform = createPlatformStandin(options);
	({url} = await platform.start());
	store = createObjectStore({url, callTimeoutMs: 500, pageSize: 2});
}

afterEach(async () => {
	await store.close();
	await platform.stop();
});

async function put(key: string, value: string, ifVersion: number) {
	const {result} = await store.run({
		kind: 'put', key, value, ifVersion,
	});
	return result;
}

async function get(key: string) {
	const {result} = await store.run({kind: 'get', key});
	return result;
}

async function waitUntil(condition: () => boolean) {
	for (let attempts = 0; attempts < 500 && !condition(); attempts++) {
		await sleep(10);
	}

	expect(condition()).toBe(true);
}

function watch(prefixes: string[]) {
	const seen: StoredObject[] = [];
	const errors: string[] = [];
	const calls: string[] = [];
	const handle = store.watch({
		prefixes,
		onObject(object) {
			seen.push(object);
		},
		onError(error) {
			errors.push(error.kind);
		},
		onCall(call) {
			calls.push(call);
		},
	});
	return {
		seen, errors, calls, handle,
	};
}

test('writes and deletes only when the version matches', async () => {
	await startPlatform();
	expect(await put('lease/a b/ü', 'one', 0)).toEqual({kind: 'ok', version: 1, value: ''});
	expect(await put('lease/a b/ü', 'two', 0)).toEqual({kind: 'conflict'});
	expect(await put('lease/a b/ü', 'two', 7)).toEqual({kind: 'conflict'});
	expect(await put('lease/a b/ü', 'two', 1)).toEqual({kind: 'ok', version: 2, value: ''});
	expect(await get('lease/a b/ü')).toEqual({kind: 'ok', version: 2, value: 'two'});

	const stale = await store.run({kind: 'delete', key: 'lease/a b/ü', ifVersion: 1});
	expect(stale.result).toEqual({kind: 'conflict'});
	const deleted = await store.run({kind: 'delete', key: 'lease/a b/ü', ifVersion: 2});
	expect(deleted.result).toEqual({kind: 'ok', version: 3, value: ''});
	expect(await get('lease/a b/ü')).toEqual({kind: 'absent'});
	expect(store.getCallCounts()).toEqual({reads: 2, writes: 6});
});

test('lists all pages in the order of keys', async () => {
	await startPlatform();
	for (const key of ['a/3', 'a/1', 'b/1', 'a/2', 'a/10', 'a/5']) {
		await put(key, key, 0);
	}

	const {result, objects} = await store.run({kind: 'list', prefix: 'a/'});
	expect(result).toEqual({kind: 'ok', version: 6, value: ''});
	expect(objects?.map(object => object.key)).toEqual(['a/1', 'a/10', 'a/2', 'a/3', 'a/5']);
});

test('reports a write whose response is lost as unknown, although it took effect', async () => {
	await startPlatform();
	platform.setFaults({loseAnswers: 1});
	expect(await put('key', 'value', 0)).toEqual({kind: 'unknown'});
	expect(await get('key')).toEqual({kind: 'ok', version: 1, value: 'value'});
	expect(await put('key', 'next', 1)).toEqual({kind: 'ok', version: 2, value: ''});
});

test('distinguishes a refused call from a missing response', async () => {
	await startPlatform({writesPerSecond: 1});
	platform.setFaults({down: true});
	expect(await put('key', 'value', 0)).toEqual({kind: 'unavailable'});
	platform.clearFaults();
	expect(await put('key', 'value', 0)).toEqual({kind: 'ok', version: 1, value: ''});
	// The limit is one write per second, and this is the second one within it.
	expect(await put('key', 'value', 1)).toEqual({kind: 'unavailable'});
	platform.setFaults({slowMs: 2000});
	expect(await get('key')).toEqual({kind: 'unknown'});
	await platform.stop();
	await store.close();
	// On the old client's open connection the request might have been sent; a new client fails before sending.
	store = createObjectStore({url});
	expect(await get('key')).toEqual({kind: 'unavailable'});
});

test('a watch delivers listed objects, changes and deletions, and continues after an outage', async () => {
	await startPlatform();
	await put('a/1', 'one', 0);
	const {
		seen, errors, calls, handle,
	} = watch(['a/', 'c/']);
	await waitUntil(() => seen.length === 1);
	await put('b/1', 'other', 0);
	await put('c/1', 'two', 0);
	await store.run({kind: 'delete', key: 'a/1', ifVersion: 1});
	await waitUntil(() => seen.length === 3);
	platform.setFaults({down: true});
	await waitUntil(() => errors.length > 0);
	platform.clearFaults();
	await put('a/2', 'three', 0);
	await waitUntil(() => seen.length === 4);
	handle.stop();
	expect(seen.map(({key, value}) => [key, value])).toEqual([['a/1', 'one'], ['c/1', 'two'], ['a/1', ''], ['a/2', 'three']]);
	expect(calls.slice(0, 3)).toEqual(['list', 'list', 'watch']);
});

test('delivers an object as deleted that was deleted while the history was lost', async () => {
	await startPlatform({historyLimit: 1});
	await put('a/1', 'one', 0);
	const {seen, errors, handle} = watch(['a/']);
	await waitUntil(() => seen.length === 1);
	platform.setFaults({down: true});
	await waitUntil(() => errors.length > 0);
	platform.clearFaults();
	await store.run({kind: 'delete', key: 'a/1', ifVersion: 1});
	for (let version = 0; version < 4; version++) {
		await put(`b/${version}`, '', 0);
	}

	await waitUntil(() => seen.length === 2);
	handle.stop();
	expect(seen.at(-1)).toMatchObject({key: 'a/1', value: ''});
});

test('delivers every change although watches lag and disconnect', async () => {
	await startPlatform({seed: 7});
	platform.setFaults({watchLagMs: 30, watchDropFraction: 0.5});
	const {seen, errors, handle} = watch(['a/']);
	const keys = Array.from({length: 20}, (_, index) => `a/${index}`);
	for (const key of keys) {
		await put(key, 'value', 0);
		await sleep(20);
	}

	await waitUntil(() => seen.length === keys.length);
	handle.stop();
	expect(seen.map(({key}) => key).toSorted()).toEqual(keys.toSorted());
	expect(errors).toContain('unanswered');
});

test('the stand-in responds with 410 to a watch older than its history', async () => {
	await startPlatform({historyLimit: 1});
	for (let version = 0; version < 4; version++) {
		await put(`a/${version}`, '', 0);
	}

	const {status} = await fetch(`${url}/watch?prefix=a/&since=1&timeoutMs=10`);
	expect(status).toBe(410);
});

test('the stand-in serves complete weights and counts their bytes', async () => {
	await startPlatform({weightBytes: 100_000, weightBytesPerSecond: 1_000_000});
	const response = await fetch(`${url}/weights/model-a`);
	const bytes = await response.arrayBuffer();
	expect(bytes.byteLength).toBe(100_000);
	const stats = await fetch(`${url}/standin/stats`);
	expect(await stats.json()).toMatchObject({weightBytes: 100_000, calls: {reads: 1, writes: 0}});
});

test('polls the instance list', async () => {
	await startPlatform();
	platform.setInstances([{id: 'router-1', state: 'leaving'}]);
	platform.setFaults({instanceListLagMs: 500});
	const seen: unknown[] = [];
	const poll = pollInstanceList({
		url,
		pollMs: 10,
		onInstances(instances) {
			seen.push(instances);
		},
		onError() {
			seen.push('error');
		},
	});
	await waitUntil(() => seen.some(instances => Array.isArray(instances) && instances.length > 0));
	await poll.stop();
	expect(seen[0]).toEqual([]);
	expect(seen.at(-1)).toEqual([{id: 'router-1', state: 'leaving'}]);
});
