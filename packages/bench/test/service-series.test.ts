import {computeGoodputFraction, computeTimeToGoodput, Total} from '../src/measure/goodput.ts';
import {findBackloggedBuckets, bucketMs, createServiceSeries} from '../src/measure/service-series.ts';

test('tokens are added to the bucket of their time, and tokens after the end are ignored', () => {
	const series = createServiceSeries(3 * bucketMs);
	series.add('one', 0, 1);
	series.add('one', bucketMs - 1, 2);
	series.add('one', 2 * bucketMs, 4);
	series.add('one', 3 * bucketMs, 8);
	expect([...series.get('one')]).toEqual([3, 0, 4]);
	expect([...series.get('other')]).toEqual([0, 0, 0]);
});

test('a bucket is backlogged when a request waits through the whole of it', () => {
	const waits = [{fromMs: bucketMs / 2, toMs: 3.5 * bucketMs}, {fromMs: 4.2 * bucketMs, toMs: 4.8 * bucketMs}];
	expect(findBackloggedBuckets(waits, 5)).toEqual([false, true, true, false, false]);
});

test('a wait that exceeds the load counts up to the end of the load', () => {
	expect(findBackloggedBuckets([{fromMs: 0, toMs: 100 * bucketMs}], 2)).toEqual([true, true]);
});

test('goodput is the fraction of engine time that was used', () => {
	const totals = createServiceSeries(4000);
	// One slot is busy from 2 s on: the first token takes 100 ms, each further one 50 ms.
	totals.add(Total.FirstBytes, 2000, 1);
	for (let atMs = 2000; atMs < 3950; atMs += 50) {
		totals.add(Total.Tokens, atMs, 1);
	}

	const options = {
		totals, firstTokenMs: 100, betweenTokensMs: 50, slots: 1,
	};
	expect(computeGoodputFraction(options, 0, 2000)).toBe(0);
	expect(computeGoodputFraction(options, 2000, 4000)).toBeCloseTo(1);
	// The second that starts at 1.9 s contains the first token and 17 more: 950 ms.
	expect(computeTimeToGoodput(options, 0.95, 1000, 4000)).toBe(900);
	expect(computeTimeToGoodput(options, 1.5, 1000, 4000)).toBeNaN();
});
