/*
The batch of the engine stand-in, driven by a simulated clock.
*/
import {createBatch, type Batch} from '../src/batch.ts';
import {defaultEngineSettings, type EngineSettings} from '../src/engine-settings.ts';

function createTestBatch(settings: Partial<EngineSettings>) {
	const emitted = new Map<string, number>();
	const batch = createBatch({
		settings: {
			...defaultEngineSettings, warm: true, firstTokenMs: 10, betweenTokensMs: 10, slope: 0, promptTokenMs: 1, ...settings,
		},
		startId: 's',
		slowFactor: () => 1,
		onTokens(stream) {
			emitted.set(stream.id, stream.emitted);
		},
		onRestart() {
			emitted.clear();
		},
	});
	return {batch, emitted};
}

function admitRequest(batch: Batch, id: string, now: number, overrides: {outputTokens?: number; promptTokens?: number; prefix?: string} = {}) {
	return batch.admit({
		id, outputTokens: 100, promptTokens: 0, prefix: '', ...overrides,
	}, now);
}

function runTicks(batch: Batch, from: number, to: number) {
	for (let now = from; now <= to; now += 5) {
		batch.tick(now);
	}
}

test('slows all streams down when the load exceeds the warm capacity', () => {
	const atCapacity = createTestBatch({warmCapacity: 2});
	const aboveCapacity = createTestBatch({warmCapacity: 2});
	for (const id of ['a', 'b']) {
		admitRequest(atCapacity.batch, id, 0);
	}

	for (const id of ['a', 'b', 'c', 'd']) {
		admitRequest(aboveCapacity.batch, id, 0);
	}

	runTicks(atCapacity.batch, 0, 210);
	runTicks(aboveCapacity.batch, 0, 210);
	expect([...atCapacity.emitted.values()]).toEqual([21, 21]);
	expect([...aboveCapacity.emitted.values()]).toEqual([11, 11, 11, 11]);
});

test('shortens the prefill on a prefix cache hit, until the prefix is evicted', () => {
	const {batch} = createTestBatch({prefixCacheSize: 1, prefixSaving: 0.5});
	const getFirstTokenAt = (id: string, prefix: string) => admitRequest(batch, id, 0, {promptTokens: 100, prefix})?.nextTokenAt;
	expect(getFirstTokenAt('a', 'p')).toBe(110);
	expect(getFirstTokenAt('b', 'p')).toBe(60);
	expect(getFirstTokenAt('c', 'q')).toBe(110);
	expect(getFirstTokenAt('d', 'p')).toBe(110);
	expect(batch.prefixCache.getEventsSince(1).map(({kind, prefix}) => `${kind} ${prefix}`))
		.toEqual(['stored q', 'evicted p', 'stored p', 'evicted q']);
});

test('becomes warm after a time with running requests; idle time does not count', () => {
	const {batch} = createTestBatch({warm: false, coldCompletions: 0, coldSeconds: 0.1});
	runTicks(batch, 0, 1000);
	expect(batch.cold).toBe(true);
	admitRequest(batch, 'a', 1000);
	runTicks(batch, 1005, 1050);
	expect(batch.cold).toBe(true);
	runTicks(batch, 1055, 1110);
	expect(batch.cold).toBe(false);
});

test('restarts cold, without its streams and cached prefixes, on request and when the cold capacity is exceeded', () => {
	const {batch, emitted} = createTestBatch({coldCapacity: 1, prefixCacheSize: 4});
	admitRequest(batch, 'a', 0, {prefix: 'p'});
	admitRequest(batch, 'b', 0);
	batch.restart();
	runTicks(batch, 0, 100);
	expect(batch).toMatchObject({
		running: 0, cold: true, startId: 's.1', coldOverruns: 0,
	});
	expect(emitted.size).toBe(0);
	expect(admitRequest(batch, 'c', 100, {prefix: 'p', promptTokens: 10})?.nextTokenAt).toBe(120);
	expect(admitRequest(batch, 'd', 100)).toBeUndefined();
	expect(batch).toMatchObject({running: 0, coldOverruns: 1, startId: 's.2'});
});
