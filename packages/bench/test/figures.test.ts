import {parseUsage} from '../src/deployment/process-usage.ts';
import {
	atLeast, atMost, fittedLine, percentile,
} from '../src/measure/figures.ts';
import {createLatency} from '../src/measure/latency.ts';
import {metricSum} from '../src/measure/prometheus.ts';

test('the percentile is the nearest rank', () => {
	const samples = Array.from({length: 100}, (_, index) => 100 - index);
	expect(percentile(samples, 95)).toBe(95);
	expect(percentile([7], 1)).toBe(7);
	expect(percentile([], 50)).toBeNaN();
});

test('the fitted line goes through points that lie on one', () => {
	const {slope, intercept} = fittedLine([{x: 3, y: 7}, {x: 6, y: 13}, {x: 9, y: 19}]);
	expect(slope).toBeCloseTo(2);
	expect(intercept).toBeCloseTo(1);
});

test('a figure that isn\'t a number meets no bound', () => {
	expect(atMost(Number.NaN, 1).met).toBe(false);
	expect(atLeast(Number.NaN, 1).met).toBe(false);
	expect(atMost(1, 1).met).toBe(true);
	expect(atLeast(1, 1).met).toBe(true);
});

test('latencies keep a resolution of three digits', () => {
	const latency = createLatency();
	for (let ms = 1; ms <= 1000; ms++) {
		latency.record(ms);
	}

	expect(latency.count()).toBe(1000);
	expect(Math.abs(latency.percentile(95) - 950)).toBeLessThan(2);
});

test('a metric is summed over its label sets, and not with one whose name only starts alike', () => {
	const text = [
		'# TYPE bytes_total counter',
		'bytes_total{direction="in"} 5',
		'bytes_total{direction="out"} 7',
		'bytes_total_created 99',
		'heap 3.5e+6',
	].join('\n');
	expect(metricSum(text, 'bytes_total')).toBe(12);
	expect(metricSum(text, 'bytes_total', ['direction="out"'])).toBe(7);
	expect(metricSum(text, 'heap')).toBe(3_500_000);
	expect(metricSum(text, 'absent')).toBeNaN();
});

test('the usage of a process is read past a name with spaces and brackets', () => {
	const stat = '42 (node (main) x) S 1 42 42 0 -1 4194304 100 0 0 0 250 50 0 0 20 0 11 0 1 1 1';
	expect(parseUsage(stat, 'Name:\tnode\nVmRSS:\t   2048 kB\n')).toEqual({cpuMs: 3000, residentBytes: 2_097_152});
});
