import {goodputFraction, timeToGoodput, Total} from '../src/measure/goodput.ts';
import {backloggedBuckets, bucketMs, createServiceSeries} from '../src/measure/service-series.ts';

test('service goes to the bucket of its time, and later service is dropped', () => {
	const series = createServiceSeries(3 * bucketMs);
	series.add('one', 0, 1);
	series.add('one', bucketMs - 1, 2);
	series.add('one', 2 * bucketMs, 4);
	series.add('one', 3 * bucketMs, 8);
	expect([...series.of('one')]).toEqual([3, 0, 4]);
	expect([...series.of('other')]).toEqual([0, 0, 0]);
});

test('a bucket is backlogged when a request waits through the whole of it', () => {
	const waits = [{fromMs: bucketMs / 2, toMs: 3.5 * bucketMs}, {fromMs: 4.2 * bucketMs, toMs: 4.8 * bucketMs}];
	expect(backloggedBuckets(waits, 5)).toEqual([false, true, true, false, false]);
});

test('a wait beyond the load counts up to its end', () => {
	expect(backloggedBuckets([{fromMs: 0, toMs: 100 * bucketMs}], 2)).toEqual([true, true]);
});

test('goodput is the engine time that was used', () => {
	const totals = createServiceSeries(4000);
	// One slot busy from 2 s on: a first token after 100 ms, then one each 50 ms.
	totals.add(Total.FirstBytes, 2000, 1);
	for (let atMs = 2000; atMs < 3950; atMs += 50) {
		totals.add(Total.Tokens, atMs, 1);
	}

	const options = {
		totals, firstTokenMs: 100, betweenTokensMs: 50, slots: 1,
	};
	expect(goodputFraction(options, 0, 2000)).toBe(0);
	expect(goodputFraction(options, 2000, 4000)).toBeCloseTo(1);
	// The second from 1.9 s on holds a first token and 17 more: 950 ms.
	expect(timeToGoodput(options, 0.95, 1000, 4000)).toBe(900);
	expect(timeToGoodput(options, 1.5, 1000, 4000)).toBeNaN();
});
