import fc from 'fast-check';
import {waterLevel} from '../../src/gateway/shares.ts';
import type {ServiceEntry} from '../../src/messages.ts';
import {
	benchOf, heardFrom, itemsOf, promptOf, registrationOf, targetOf,
} from '../support/gateways.ts';

test('the level meets all demands when it can, and fills the capacity when it can\'t', () => {
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

/** What another instance tells of the engines' pool. */
function digestOf(entries: Array<Partial<ServiceEntry> & {workspace: string}>) {
	return heardFrom('other', {
		services: entries.map(entry => ({
			pool: 'engines', service: 0, waiting: 0, virtualTime: 0, asked: 0, ...entry,
		})),
	});
}

/** A call of 800 weighted tokens. */
const arrival = {path: '/chat/x', prompt: promptOf('p', 100)};

test('a workspace above its share starts nothing while another, at another instance, lacks its own', () => {
	const bench = benchOf({
		instances: ['self', 'other'], targets: [targetOf('e1', {pool: 'engines', slots: 64})], limits: {heardMs: 60_000},
	});
	bench.step(digestOf([
		{
			workspace: 'a', service: 100_000, started: 100_000, asked: 200_000,
		}, {
			workspace: 'b', service: 10_000, started: 10_000, asked: 200_000,
		},
	]));
	bench.wait(600);
	bench.wait(200);
	// Its share of 60,500 is 3,025 above what its past use counts.
	const sent = Array.from({length: 10}, () => itemsOf(bench.call({...arrival, key: 'key-a'}), 'send').length);
	expect(sent).toEqual([1, 1, 1, 1, 0, 0, 0, 0, 0, 0]);
	expect(itemsOf(bench.call({...arrival, key: 'key-b'}), 'send')).toHaveLength(1);
});

test('what a workspace used while there was enough for all doesn\'t keep it from its share', () => {
	const bench = benchOf({
		instances: ['self', 'other'], targets: [targetOf('e1', {pool: 'engines', slots: 64})], limits: {heardMs: 60_000},
	});
	bench.gateway.usages.set({
		pool: 'engines', workspace: 'a', own: 1_300_000, remote: 0, ownStarted: 1_300_000, remoteStarted: 0, ownAsked: 1_300_000, remoteAsked: 0, at: bench.gateway.now,
	});
	const others = digestOf(['b', 'c', 'd'].map(workspace => ({workspace, service: 300_000, asked: 600_000})));
	bench.step(others);
	bench.wait(600);
	bench.wait(100);
	const sent = Array.from({length: 12}, () => {
		bench.step(others);
		return [...bench.wait(100), ...bench.call({...arrival, key: 'key-a'})];
	});
	expect(sent.map(outbox => itemsOf(outbox, 'send').length)).toEqual(Array.from({length: 12}, () => 1));
});

/** Levels at an instance, every 100 ms for two seconds, for two workspaces that go on asking for more than they get. */
function levelsWhile(slots: number): number[] {
	const bench = benchOf({
		instances: ['self', 'other'], targets: [targetOf('e1', {pool: 'engines', slots})], limits: {heardMs: 60_000},
	});
	return Array.from({length: 20}, () => {
		bench.step(digestOf(['b', 'c'].map(workspace => ({
			workspace, service: 100_000, started: 100_000, asked: 400_000,
		}))));
		bench.wait(100);
		bench.call({...arrival, key: 'key-a'});
		return bench.gateway.levels.get('engines') ?? Number.POSITIVE_INFINITY;
	});
}

test('the level falls while engines are full, and rises while they have places', () => {
	expect(levelsWhile(64).at(-1)! / levelsWhile(1).at(-1)!).toBeGreaterThan(1.2);
});

test('nothing is withheld while there is enough for all', () => {
	const bench = benchOf({
		instances: ['self', 'other'], targets: [targetOf('e1', {pool: 'engines', slots: 64})], limits: {heardMs: 60_000},
	});
	bench.step(digestOf([{workspace: 'a', service: 100_000, asked: 100_000}, {workspace: 'b', service: 1000, asked: 1000}]));
	bench.wait(600);
	bench.wait(200);
	expect(itemsOf(bench.call({...arrival, key: 'key-a'}), 'send')).toHaveLength(1);
});

test('a workspace that asks alone is never held back', () => {
	const bench = benchOf({targets: [targetOf('e1', {pool: 'engines', slots: 64})]});
	const sent = Array.from({length: 20}, () => [...bench.wait(50), ...bench.call(arrival)]).flat();
	expect(itemsOf(sent, 'send')).toHaveLength(20);
});

test('a digest of an earlier start of an instance is not taken', () => {
	const bench = benchOf({instances: ['self', 'other']});
	bench.step({kind: 'registrations', registrations: [registrationOf('self'), registrationOf('other', {incarnation: 'other-2'})]});
	bench.step(digestOf([{workspace: 'a', service: 5}]));
	expect(bench.gateway.instances.get('other')!.services).toEqual([]);
});
