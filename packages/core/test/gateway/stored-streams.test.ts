import type {
	GatewayInbound, GatewayInboundOf, GatewayOutbound, GatewayOutboundOf,
} from '../../src/gateway/ports.ts';
import {Outcome} from '../../src/refusal.ts';
import {
	createBench, createListedTarget, createPrompt, createRegistration, filterByKind, type Bench,
} from '../support/gateways.ts';

function createEngines(softwareVersions: string[], revision = 1) {
	return softwareVersions.map((softwareVersion, index) => createListedTarget(`t${index}`, {
		pool: 'engines', slots: 64, softwareVersion, revision,
	}));
}

const oneVersion = createEngines(['v1', 'v1']);
const twoVersions = createEngines(['v1', 'v2']);
const nothingStored: GatewayInboundOf<'storedStreams'> = {
	kind: 'storedStreams', groups: [], own: [], versions: undefined, era: 0,
};

/** Longer than a stream may be resumed after it began: twice the longest time-out. */
const memoryMs = 2000;

function startStream(bench: Bench) {
	const [send] = filterByKind(bench.call({path: '/chat/x', prompt: createPrompt('p', 100)}), 'send');
	bench.step({
		kind: 'answerStarted', call: send!.call, send: send!.send, load: undefined,
	}, {kind: 'answerDelivered', call: send!.call});
	return send!;
}

/** Lets a caller resume its stream; returns what comes of that within a second. */
function resume(bench: Bench, firstRequestId: string): GatewayOutbound[] {
	const outbox = bench.call({
		path: '/chat/x', prompt: createPrompt('p', 100), resumption: {firstRequestId}, remainingMs: 5000,
	});
	for (let waitedMs = 0; waitedMs < 1000; waitedMs += 100) {
		outbox.push(...bench.wait(100));
	}

	return outbox;
}

/** Passes on what an instance receives, and runs it for some time; returns its writes. */
function collectWrites(bench: Bench, ms: number, {inbox = [], isSuccessful = true}: {inbox?: GatewayInbound[]; isSuccessful?: boolean} = {}) {
	const writes: Array<GatewayOutboundOf<'storeStreams'>> = [];
	const versions: Array<GatewayOutboundOf<'storeVersions'>> = [];
	for (let waitedMs = 0; waitedMs < ms; waitedMs += 50) {
		const outbox = waitedMs === 0 ? bench.step(...inbox) : bench.wait(50);
		for (const write of filterByKind(outbox, 'storeStreams')) {
			writes.push(write);
			bench.step({kind: 'streamsWritten', isSuccessful});
		}

		for (const write of filterByKind(outbox, 'storeVersions')) {
			versions.push(write);
			bench.step({kind: 'versionsWritten', isSuccessful});
		}
	}

	return {writes, versions};
}

test('streams that began before the end of all instances go on at their version, also in a pool of several', () => {
	const before = createBench({targets: twoVersions});
	const begun = startStream(before);
	const {writes} = collectWrites(before, 600);
	const after = createBench({targets: twoVersions});
	after.step({...nothingStored, own: writes.at(-1)!.groups});
	expect(filterByKind(resume(after, 'c1'), 'send')).toMatchObject([{target: begun.target}]);
});

test('what the process before wrote is written again, so that it outlasts another end of all', () => {
	const groups = [{pool: 'engines', softwareVersion: 'v1', streams: [17]}];
	const after = createBench({targets: twoVersions, hasReadStore: false});
	expect(collectWrites(after, 600, {inbox: [{...nothingStored, own: groups}]}).writes.at(-1)!.groups).toEqual(groups);
});

test('an attempt that arrives before the store has answered waits for it', () => {
	const before = createBench({targets: twoVersions});
	const begun = startStream(before);
	const {groups} = collectWrites(before, 600).writes.at(-1)!;
	const after = createBench({targets: twoVersions, hasReadStore: false});
	const outbox = after.call({
		path: '/chat/x', prompt: createPrompt('p', 100), resumption: {firstRequestId: 'c1'}, remainingMs: 5000,
	});
	outbox.push(...after.wait(300));
	expect(filterByKind(outbox, 'refuse')).toEqual([]);
	expect(filterByKind(after.step({...nothingStored, groups}), 'send')).toMatchObject([{target: begun.target}]);
});

test('while the store is away no stream goes on that it may know, and its caller is told that the attempt has not run', () => {
	const after = createBench({targets: twoVersions, hasReadStore: false});
	expect(filterByKind(resume(after, 'c1'), 'refuse')).toMatchObject([{refusal: {outcome: Outcome.NotRun}}]);
	expect(collectWrites(after, 1000)).toEqual({writes: [], versions: []});
});

describe('versions in the store', () => {
	const stored = (softwareVersions: string[], era = 1) => ({era, pools: [{pool: 'engines', softwareVersions}]});

	test('prove to a new process that only one version can have begun a stream', () => {
		const after = createBench({targets: oneVersion});
		after.step({...nothingStored, versions: stored(['v1']), era: 1});
		expect(filterByKind(resume(after, 'c1'), 'send')).toHaveLength(1);
	});

	test('prove nothing when another version served before the end of all', () => {
		const after = createBench({targets: oneVersion});
		after.step({...nothingStored, versions: stored(['v1', 'v0']), era: 1});
		expect(filterByKind(resume(after, 'c1'), 'send')).toEqual([]);
	});

	test('prove nothing when the store returned from an older copy after they were written', () => {
		const after = createBench({targets: oneVersion});
		after.step({...nothingStored, versions: stored(['v1'], 1), era: 2});
		expect(filterByKind(resume(after, 'c1'), 'send')).toEqual([]);
	});

	test('are written when they change, again after a failure, and not by a process that doesn\'t know all', () => {
		const bench = createBench({targets: oneVersion, isFirstStart: true, hasReadStore: false});
		expect(collectWrites(bench, 1000, {inbox: [nothingStored]}).versions).toMatchObject([{versions: {pools: [{pool: 'engines', softwareVersions: ['v1']}]}}]);
		expect(collectWrites(bench, 1200, {inbox: [{kind: 'targets', targets: createEngines(['v1', 'v2'], 2)}], isSuccessful: false}).versions).toHaveLength(2);
		expect(collectWrites(bench, 2000).versions).toHaveLength(1);
		const {versions} = collectWrites(bench, 2 * memoryMs, {inbox: [{kind: 'targets', targets: createEngines(['v1', 'v1'], 3)}]});
		expect(versions).toMatchObject([{versions: {pools: [{softwareVersions: ['v1']}]}}]);

		const fresh = createBench({targets: oneVersion, hasReadStore: false});
		expect(collectWrites(fresh, memoryMs - 200, {inbox: [nothingStored]}).versions).toEqual([]);
	});
});

test.each([1, 9, 195])('in a fleet of %i, records are written at the rate that is shared, while a pool has several versions', instances => {
	const ids = Array.from({length: instances}, (_, index) => `i${index}`);
	const bench = createBench({instances: ['i0'], targets: oneVersion, limits: {storedStreamsPerSecond: 20}});
	bench.step({kind: 'registrations', registrations: ids.map(id => createRegistration(id))});
	startStream(bench);
	expect(collectWrites(bench, 900).writes).toEqual([]);
	bench.step({kind: 'targets', targets: createEngines(['v1', 'v2'], 2)});
	let writes = 0;
	const seconds = 20;
	for (let second = 0; second < seconds; second += 1) {
		startStream(bench);
		writes += collectWrites(bench, 1000).writes.length;
	}

	const candidates = new Set([...bench.gateway.primaryInstances, ...bench.gateway.servingInstances]).size;
	expect(writes).toBeGreaterThan(0);
	expect(writes * candidates).toBeLessThanOrEqual(Math.max(20 * seconds, 4 * seconds * candidates) + candidates);
});
