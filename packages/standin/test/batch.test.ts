/*
The batch of the engine stand-in under a hand-driven clock.
*/
import {createBatch, type Batch} from '../src/batch.ts';
import {engineDefaults, type EngineSettings} from '../src/engine-settings.ts';

function open(settings: Partial<EngineSettings>) {
	const emitted = new Map<string, number>();
	const batch = createBatch({
		settings: {
			...engineDefaults, warm: true, firstTokenMs: 10, betweenTokensMs: 10, slope: 0, promptTokenMs: 1, ...settings,
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

function admit(batch: Batch, id: string, now: number, more: {outputTokens?: number; promptTokens?: number; prefix?: string} = {}) {
	return batch.admit({
		id, outputTokens: 100, promptTokens: 0, prefix: '', ...more,
	}, now);
}

function run(batch: Batch, from: number, to: number) {
	for (let now = from; now <= to; now += 5) {
		batch.tick(now);
	}
}

test('slows all streams down above the warm capacity', () => {
	const fit = open({warmCapacity: 2});
	const over = open({warmCapacity: 2});
	for (const id of ['a', 'b']) {
		admit(fit.batch, id, 0);
	}

	for (const id of ['a', 'b', 'c', 'd']) {
		admit(over.batch, id, 0);
	}

	run(fit.batch, 0, 210);
	run(over.batch, 0, 210);
	expect([...fit.emitted.values()]).toEqual([21, 21]);
	expect([...over.emitted.values()]).toEqual([11, 11, 11, 11]);
});

test('shortens the prompt part on a prefix hit, until the prefix is evicted', () => {
	const {batch} = open({prefixCacheSize: 1, prefixSaving: 0.5});
	const firstTokenAt = (id: string, prefix: string) => admit(batch, id, 0, {promptTokens: 100, prefix})?.nextTokenAt;
	expect(firstTokenAt('a', 'p')).toBe(110);
	expect(firstTokenAt('b', 'p')).toBe(60);
	expect(firstTokenAt('c', 'q')).toBe(110);
	expect(firstTokenAt('d', 'p')).toBe(110);
	expect(batch.prefixes.eventsSince(1).map(({kind, prefix}) => `${kind} ${prefix}`))
		.toEqual(['stored q', 'evicted p', 'stored p', 'evicted q']);
});

test('is warm after its time of service, which idle time does not count to', () => {
	const {batch} = open({warm: false, coldCompletions: 0, coldSeconds: 0.1});
	run(batch, 0, 1000);
	expect(batch.cold).toBe(true);
	admit(batch, 'a', 1000);
	run(batch, 1005, 1050);
	expect(batch.cold).toBe(true);
	run(batch, 1055, 1110);
	expect(batch.cold).toBe(false);
});

test('loses its streams and its warmth in a restart', () => {
	const {batch, emitted} = open({coldCapacity: 1, prefixCacheSize: 4});
	admit(batch, 'a', 0, {prefix: 'p'});
	admit(batch, 'b', 0);
	batch.restart();
	run(batch, 0, 100);
	expect(batch).toMatchObject({
		running: 0, cold: true, startId: 's.1', coldOverruns: 0,
	});
	expect(emitted.size).toBe(0);
	expect(admit(batch, 'c', 100, {prefix: 'p', promptTokens: 10})?.nextTokenAt).toBe(120);
	expect(admit(batch, 'd', 100)).toBeUndefined();
	expect(batch).toMatchObject({running: 0, coldOverruns: 1, startId: 's.2'});
});
