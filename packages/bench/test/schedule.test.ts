import {createRandom, heavyTailedMean} from '../src/load/random.ts';
import {schedule, sizesDefaults} from '../src/load/schedule.ts';

const loads = [
	{
		workspace: 'one', ratePerSecond: 50, burst: 3, entries: ['a', 'b'],
	},
	{
		workspace: 'other', ratePerSecond: 5, burst: 0, entries: ['c'], fromMs: 2000, untilMs: 4000,
	},
];

test('the same seed gives the same schedule, another seed another', () => {
	const arrivals = schedule({seed: 7, durationMs: 5000, loads});
	expect(schedule({seed: 7, durationMs: 5000, loads})).toEqual(arrivals);
	expect(schedule({seed: 8, durationMs: 5000, loads})).not.toEqual(arrivals);
});

test('another workspace changes nothing for the first', () => {
	const alone = schedule({seed: 7, durationMs: 5000, loads: loads.slice(0, 1)});
	const together = schedule({seed: 7, durationMs: 5000, loads});
	expect(together.filter(({workspace}) => workspace === 'one')).toEqual(alone);
});

test('arrivals are in order, within their times, entries and sizes', () => {
	const arrivals = schedule({seed: 1, durationMs: 20_000, loads});
	expect(arrivals.map(({atMs}) => atMs)).toEqual(arrivals.map(({atMs}) => atMs).toSorted((one, other) => one - other));
	expect(arrivals.filter(({atMs}) => atMs === 0)).toHaveLength(3);
	for (const {atMs, entry} of arrivals.filter(({workspace}) => workspace === 'other')) {
		expect(entry).toBe('c');
		expect(atMs).toBeGreaterThanOrEqual(2000);
		expect(atMs).toBeLessThan(4000);
	}

	for (const {outputTokens, inputTokens, costHint} of arrivals) {
		expect(outputTokens).toBeGreaterThanOrEqual(sizesDefaults.output.least);
		expect(outputTokens).toBeLessThanOrEqual(sizesDefaults.output.most);
		expect(inputTokens).toBeLessThanOrEqual(sizesDefaults.input.most);
		expect(costHint).toBeGreaterThanOrEqual(Math.floor(outputTokens / 10));
		expect(costHint).toBeLessThanOrEqual(outputTokens * 10);
	}
});

test('the rate and the mean size come out as asked', () => {
	const arrivals = schedule({seed: 3, durationMs: 200_000, loads: loads.slice(0, 1)});
	expect(arrivals.length / 200 / 50).toBeCloseTo(1, 1);
	const random = createRandom(3);
	const sizes = Array.from({length: 50_000}, () => random.heavyTailed(20, 200));
	const mean = sizes.reduce((sum, size) => sum + size, 0) / sizes.length;
	expect(mean / heavyTailedMean(20, 200)).toBeCloseTo(1, 1);
});
