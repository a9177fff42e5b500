import fc from 'fast-check';
import {gapBound, largestGap} from '../src/measure/gap.ts';

const always = (length: number) => Array.from({length}, () => true);

test('the gap is the largest difference over any window, not only over the whole', () => {
	const one = {workspace: 'one', service: [5, 5, 0, 0, 0], backlogged: always(5)};
	const other = {workspace: 'other', service: [0, 0, 0, 5, 5], backlogged: always(5)};
	expect(largestGap([one, other])).toEqual({gap: 10, between: ['one', 'other']});
});

test('a window ends where one of the two has nothing waiting', () => {
	const one = {workspace: 'one', service: [5, 5, 5, 5], backlogged: [true, true, false, true]};
	const other = {workspace: 'other', service: [0, 0, 0, 0], backlogged: always(4)};
	expect(largestGap([one, other]).gap).toBe(10);
});

test('buckets before the start of the measurement don\'t count', () => {
	const one = {workspace: 'one', service: [100, 1, 1], backlogged: always(3)};
	const other = {workspace: 'other', service: [0, 1, 0], backlogged: always(3)};
	expect(largestGap([one, other], 1).gap).toBe(1);
});

test('workspaces that are never backlogged together have no gap', () => {
	const one = {workspace: 'one', service: [9, 0], backlogged: [true, false]};
	const other = {workspace: 'other', service: [0, 9], backlogged: [false, true]};
	expect(largestGap([one, other])).toEqual({gap: 0, between: []});
});

test('the gap equals that of a search over all windows', () => {
	const bucket = fc.record({
		one: fc.integer({min: 0, max: 9}), other: fc.integer({min: 0, max: 9}), together: fc.boolean(),
	});
	fc.assert(fc.property(fc.array(bucket, {maxLength: 15}), buckets => {
		const backlogged = buckets.map(({together}) => together);
		const gap = largestGap([
			{workspace: 'one', service: buckets.map(({one}) => one), backlogged},
			{workspace: 'other', service: buckets.map(({other}) => other), backlogged},
		]);
		expect(gap.gap).toBe(searchedGap(buckets));
	}));
});

test('the bound grows with the cost of a request and with the age of the counters', () => {
	const base = {
		maxRequestCost: 400, minWeight: 1, serviceRate: 9000, counterAgeMs: 0,
	};
	expect(gapBound(base)).toBe(800);
	expect(gapBound({...base, counterAgeMs: 500})).toBe(5300);
	expect(gapBound({...base, minWeight: 2})).toBe(400);
});

function searchedGap(buckets: Array<{one: number; other: number; together: boolean}>): number {
	let largest = 0;
	for (let from = 0; from < buckets.length; from++) {
		for (let to = from + 1; to <= buckets.length; to++) {
			const window = buckets.slice(from, to);
			if (window.every(({together}) => together)) {
				largest = Math.max(largest, Math.abs(window.reduce((sum, {one, other}) => sum + one - other, 0)));
			}
		}
	}

	return largest;
}
