import fc from 'fast-check';
import {waterLevel} from '../../src/gateway/shares.ts';
import type {ServiceEntry} from '../../src/messages.ts';
import {
	createBench, createDigestFrom, filterByKind, createPrompt, createRegistration, createListedTarget,
} from '../support/gateways.ts';

test('the fair level meets all demands if the capacity suffices, and otherwise uses up the capacity', () => {
	expect(waterLevel([1, 2, 3], 6)).toBe(Number.POSITIVE_INFINITY);
	expect(waterLevel([10, 1, 10], 11)).toBe(5);
	expect(waterLevel([], 5)).toBe(Number.POSITIVE_INFINITY);
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 1000}), {minLength: 1}), fc.integer({min: 1, max: 5000}), (demands, capacity) => {
		const level = waterLevel(demands, capacity);
		const served = demands.reduce((sum, demand) => sum + Math.min(demand, level), 0);
		const total = demands.reduce((sum, demand) => sum + demand, 0);
		expect(served).toBeCloseTo(Math.min(total, capacity));
	}), {seed: 3});
});

/** Creates a digest of another instance with usage of the engine pool. */
function createUsageDigest(entries: Array<Partial<ServiceEntry> & {workspace: string}>) {
	return createDigestFrom('other', {
		services: entries.map(entry => ({
			pool: 'engines', service: 0, waiting: 0, virtualTime: 0, asked: 0, ...entry,
		})),
	});
}

/** A call of 800 weighted tokens. */
const arrival = {path: '/chat/x', prompt: createPrompt('p', 100)};

test('a workspace above the fair level starts no call while another one, at another instance, is below it', () => {
	const bench = createBench({
		instances: ['self', 'other'], targets: [createListedTarget('e1', {pool: 'engines', slots: 64})], limits: {heartbeatTimeoutMs: 60_000},
	});
	bench.step(createUsageDigest([
		{
			workspace: 'a', service: 100_000, started: 100_000, asked: 200_000,
		}, {
			workspace: 'b', service: 10_000, started: 10_000, asked: 200_000,
		},
	]));
	bench.wait(600);
	bench.wait(200);
	// Its served tokens are lowered to 95 % of the fair level of 60,500, which leaves 3,025 for calls of 800.
	const sent = Array.from({length: 10}, () => filterByKind(bench.call({...arrival, key: 'key-a'}), 'send').length);
	expect(sent).toEqual([1, 1, 1, 1, 0, 0, 0, 0, 0, 0]);
	expect(filterByKind(bench.call({...arrival, key: 'key-b'}), 'send')).toHaveLength(1);
});

test('usage from a time with enough capacity for all doesn\'t keep a workspace from its share', () => {
	const bench = createBench({
		instances: ['self', 'other'], targets: [createListedTarget('e1', {pool: 'engines', slots: 64})], limits: {heartbeatTimeoutMs: 60_000},
	});
	bench.gateway.usages.set({
		pool: 'engines', workspace: 'a', localServed: 1_300_000, remoteServed: 0, localStarted: 1_300_000, remoteStarted: 0, localDemand: 1_300_000, remoteDemand: 0, updatedAt: bench.gateway.now,
	});
	const others = createUsageDigest(['b', 'c', 'd'].map(workspace => ({workspace, service: 300_000, asked: 600_000})));
	bench.step(others);
	bench.wait(600);
	bench.wait(100);
	const sent = Array.from({length: 12}, () => {
		bench.step(others);
		return [...bench.wait(100), ...bench.call({...arrival, key: 'key-a'})];
	});
	expect(sent.map(outbox => filterByKind(outbox, 'send').length)).toEqual(Array.from({length: 12}, () => 1));
});

/** Fair levels at an instance, every 100 ms for 2 s, while two workspaces have more demand than they are served. */
function measureFairLevels(slots: number): number[] {
	const bench = createBench({
		instances: ['self', 'other'], targets: [createListedTarget('e1', {pool: 'engines', slots})], limits: {heartbeatTimeoutMs: 60_000},
	});
	return Array.from({length: 20}, () => {
		bench.step(createUsageDigest(['b', 'c'].map(workspace => ({
			workspace, service: 100_000, started: 100_000, asked: 400_000,
		}))));
		bench.wait(100);
		bench.call({...arrival, key: 'key-a'});
		return bench.gateway.fairLevels.get('engines') ?? Number.POSITIVE_INFINITY;
	});
}

test('the fair level falls while engines are full, and rises while they have free slots', () => {
	expect(measureFairLevels(64).at(-1)! / measureFairLevels(1).at(-1)!).toBeGreaterThan(1.2);
});

test('no call is held back while the capacity meets all demands', () => {
	const bench = createBench({
		instances: ['self', 'other'], targets: [createListedTarget('e1', {pool: 'engines', slots: 64})], limits: {heartbeatTimeoutMs: 60_000},
	});
	bench.step(createUsageDigest([{workspace: 'a', service: 100_000, asked: 100_000}, {workspace: 'b', service: 1000, asked: 1000}]));
	bench.wait(600);
	bench.wait(200);
	expect(filterByKind(bench.call({...arrival, key: 'key-a'}), 'send')).toHaveLength(1);
});

test('a workspace is never held back while no other has demand', () => {
	const bench = createBench({targets: [createListedTarget('e1', {pool: 'engines', slots: 64})]});
	const sent = Array.from({length: 20}, () => [...bench.wait(50), ...bench.call(arrival)]).flat();
	expect(filterByKind(sent, 'send')).toHaveLength(20);
});

test('a digest of an earlier incarnation of an instance is ignored', () => {
	const bench = createBench({instances: ['self', 'other']});
	bench.step({kind: 'registrations', registrations: [createRegistration('self'), createRegistration('other', {incarnation: 'other-2'})]});
	bench.step(createUsageDigest([{workspace: 'a', service: 5}]));
	expect(bench.gateway.instances.get('other')!.services).toEqual([]);
});
