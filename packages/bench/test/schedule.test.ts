import {createRandom, computeHeavyTailedMean} from '../src/load/random.ts';
import {createSchedule, defaultSizes} from '../src/load/schedule.ts';

const loads = [
	{
		workspace: 'one', ratePerSecond: 50, burst: 3, entries: ['a', 'b'],
	},
	{
		workspace: 'other', ratePerSecond: 5, burst: 0, entries: ['c'], fromMs: 2000, untilMs: 4000,
	},
];

test('the same seed gives the same schedule, another seed a different one', () => {
	const arrivals = createSchedule({seed: 7, durationMs: 5000, loads});
	expect(createSchedule({seed: 7, durationMs: 5000, loads})).toEqual(arrivals);
	expect(createSchedule({seed: 8, durationMs: 5000, loads})).not.toEqual(arrivals);
});

test('adding a workspace leaves the arrivals of the first unchanged', () => {
	const alone = createSchedule({seed: 7, durationMs: 5000, loads: loads.slice(0, 1)});
	const together = createSchedule({seed: 7, durationMs: 5000, loads});
	expect(together.filter(({workspace}) => workspace === 'one')).toEqual(alone);
});

test('arrivals are sorted by time and within the bounds of their times, entries and sizes', () => {
	const arrivals = createSchedule({seed: 1, durationMs: 20_000, loads});
	expect(arrivals.map(({atMs}) => atMs)).toEqual(arrivals.map(({atMs}) => atMs).toSorted((one, other) => one - other));
	expect(arrivals.filter(({atMs}) => atMs === 0)).toHaveLength(3);
	for (const {atMs, entry} of arrivals.filter(({workspace}) => workspace === 'other')) {
		expect(entry).toBe('c');
		expect(atMs).toBeGreaterThanOrEqual(2000);
		expect(atMs).toBeLessThan(4000);
	}

	for (const {outputTokens, inputTokens, costHint} of arrivals) {
		expect(outputTokens).toBeGreaterThanOrEqual(defaultSizes.output.min);
		expect(outputTokens).toBeLessThanOrEqual(defaultSizes.output.max);
		expect(inputTokens).toBeLessThanOrEqual(defaultSizes.input.max);
		expect(costHint).toBeGreaterThanOrEqual(Math.floor(outputTokens / 10));
		expect(costHint).toBeLessThanOrEqual(outputTokens * 10);
	}
});

test('the arrival rate and the mean size match the settings', () => {
	const arrivals = createSchedule({seed: 3, durationMs: 200_000, loads: loads.slice(0, 1)});
	expect(arrivals.length / 200 / 50).toBeCloseTo(1, 1);
	const random = createRandom(3);
	const sizes = Array.from({length: 50_000}, () => random.heavyTailed(20, 200));
	const mean = sizes.reduce((sum, size) => sum + size, 0) / sizes.length;
	expect(mean / computeHeavyTailedMean(20, 200)).toBeCloseTo(1, 1);
});
