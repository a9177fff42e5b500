import fc from 'fast-check';
import {computeGapBound, computeLargestGap} from '../src/measure/gap.ts';

const alwaysBacklogged = (length: number) => Array.from({length}, () => true);

test('the gap is the largest difference over any window, not only over the whole load', () => {
	const one = {workspace: 'one', service: [5, 5, 0, 0, 0], backlogged: alwaysBacklogged(5)};
	const other = {workspace: 'other', service: [0, 0, 0, 5, 5], backlogged: alwaysBacklogged(5)};
	expect(computeLargestGap([one, other])).toEqual({gap: 10, between: ['one', 'other']});
});

test('a window ends where one of the two is not backlogged', () => {
	const one = {workspace: 'one', service: [5, 5, 5, 5], backlogged: [true, true, false, true]};
	const other = {workspace: 'other', service: [0, 0, 0, 0], backlogged: alwaysBacklogged(4)};
	expect(computeLargestGap([one, other]).gap).toBe(10);
});

test('buckets before the start of the measurement don\'t count', () => {
	const one = {workspace: 'one', service: [100, 1, 1], backlogged: alwaysBacklogged(3)};
	const other = {workspace: 'other', service: [0, 1, 0], backlogged: alwaysBacklogged(3)};
	expect(computeLargestGap([one, other], 1).gap).toBe(1);
});

test('workspaces that are never backlogged at the same time have no gap', () => {
	const one = {workspace: 'one', service: [9, 0], backlogged: [true, false]};
	const other = {workspace: 'other', service: [0, 9], backlogged: [false, true]};
	expect(computeLargestGap([one, other])).toEqual({gap: 0, between: []});
});

test('the gap equals the result of a search over all windows', () => {
	const bucket = fc.record({
		one: fc.integer({min: 0, max: 9}), other: fc.integer({min: 0, max: 9}), areBothBacklogged: fc.boolean(),
	});
	fc.assert(fc.property(fc.array(bucket, {maxLength: 15}), buckets => {
		const backlogged = buckets.map(({areBothBacklogged}) => areBothBacklogged);
		const gap = computeLargestGap([
			{workspace: 'one', service: buckets.map(({one}) => one), backlogged},
			{workspace: 'other', service: buckets.map(({other}) => other), backlogged},
		]);
		expect(gap.gap).toBe(findGapByExhaustiveSearch(buckets));
	}));
});

test('the bound grows with the cost of a request and with the age of the counters', () => {
	const base = {
		maxRequestCost: 400, minWeight: 1, tokensPerSecond: 9000, maxCounterAgeMs: 0,
	};
	expect(computeGapBound(base)).toBe(800);
	expect(computeGapBound({...base, maxCounterAgeMs: 500})).toBe(5300);
	expect(computeGapBound({...base, minWeight: 2})).toBe(400);
});

function findGapByExhaustiveSearch(buckets: Array<{one: number; other: number; areBothBacklogged: boolean}>): number {
	let largest = 0;
	for (let from = 0; from < buckets.length; from++) {
		for (let to = from + 1; to <= buckets.length; to++) {
			const window = buckets.slice(from, to);
			if (window.every(({areBothBacklogged}) => areBothBacklogged)) {
				largest = Math.max(largest, Math.abs(window.reduce((sum, {one, other}) => sum + one - other, 0)));
			}
		}
	}

	return largest;
}
