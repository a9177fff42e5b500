import {parseUsage} from '../src/deployment/process-usage.ts';
import {
	atLeast, atMost, fitLine, computePercentile,
} from '../src/measure/figures.ts';
import {createLatencyHistogram} from '../src/measure/latency.ts';
import {sumMetric} from '../src/measure/prometheus.ts';

test('the percentile is the nearest rank', () => {
	const samples = Array.from({length: 100}, (_, index) => 100 - index);
	expect(computePercentile(samples, 95)).toBe(95);
	expect(computePercentile([7], 1)).toBe(7);
	expect(computePercentile([], 50)).toBeNaN();
});

test('points on a line give that line as the fit', () => {
	const {slope, intercept} = fitLine([{x: 3, y: 7}, {x: 6, y: 13}, {x: 9, y: 19}]);
	expect(slope).toBeCloseTo(2);
	expect(intercept).toBeCloseTo(1);
});

test('a figure that isn\'t a number meets no bound', () => {
	expect(atMost(Number.NaN, 1).met).toBe(false);
	expect(atLeast(Number.NaN, 1).met).toBe(false);
	expect(atMost(1, 1).met).toBe(true);
	expect(atLeast(1, 1).met).toBe(true);
});

test('the latency histogram has three significant digits', () => {
	const latency = createLatencyHistogram();
	for (let ms = 1; ms <= 1000; ms++) {
		latency.record(ms);
	}

	expect(latency.getCount()).toBe(1000);
	expect(Math.abs(latency.getPercentile(95) - 950)).toBeLessThan(2);
});

test('a metric is summed over its series, without other metrics whose names have the same prefix', () => {
	const text = [
		'# TYPE bytes_total counter',
		'bytes_total{direction="in"} 5',
		'bytes_total{direction="out"} 7',
		'bytes_total_created 99',
		'heap 3.5e+6',
	].join('\n');
	expect(sumMetric(text, 'bytes_total')).toBe(12);
	expect(sumMetric(text, 'bytes_total', ['direction="out"'])).toBe(7);
	expect(sumMetric(text, 'heap')).toBe(3_500_000);
	expect(sumMetric(text, 'absent')).toBeNaN();
});

test('process usage is parsed when the process name contains spaces and brackets', () => {
	const stat = '42 (node (main) x) S 1 42 42 0 -1 4194304 100 0 0 0 250 50 0 0 20 0 11 0 1 1 1';
	expect(parseUsage(stat, 'Name:\tnode\nVmRSS:\t   2048 kB\n')).toEqual({cpuMs: 3000, residentBytes: 2_097_152});
});
