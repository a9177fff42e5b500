import {
	createStopBudget, createTimeBudget, listPaths, listStopParts, type TimeBounds,
} from '../../src/gateway/time-budgets.ts';

const bounds: TimeBounds = {
	departureMs: 2000, configurationMs: 2000, domainOutMs: 5000, recoveryMs: 3000,
};

const cases: Array<[string, TimeBounds]> = [
	['as on the known platforms', bounds],
	['a short time for departures', {...bounds, departureMs: 1000}],
	['a long time for departures', {...bounds, departureMs: 8000}],
	['a short time for configurations', {...bounds, configurationMs: 1000}],
	['a short recovery', {...bounds, recoveryMs: 1500}],
	['a short time for failure domains', {...bounds, domainOutMs: 1500}],
	['all times short', {
		departureMs: 800, configurationMs: 800, domainOutMs: 800, recoveryMs: 1500,
	}],
];

test.each(cases)('the parts of every path add up to less than its bound: %s', (_name, givenBounds) => {
	for (const {name, boundMs, partsMs} of listPaths(givenBounds, createTimeBudget(givenBounds))) {
		const sumMs = Object.values(partsMs).reduce((sum, part) => sum + part, 0);
		expect([name, sumMs < boundMs]).toEqual([name, true]);
		expect(Math.min(...Object.values(partsMs))).toBeGreaterThanOrEqual(0);
	}
});

/** Longest delay between two steps of the core on a loaded machine. */
const delayMs = 80;

test.each([2000, 3000, 4000, 5000, 6000, 8000, 15_000, 30_000])('the parts of a planned stop add up to its grace period: %d ms', graceMs => {
	const stopBounds = {graceMs, addressTtlMs: 2000, digestMs: 500};
	const parts = listStopParts(stopBounds, createStopBudget(stopBounds));
	expect(Object.keys(parts)).toEqual(['linger', 'drain', 'flush', 'exit', 'margin']);
	expect(Object.values(parts).reduce((sum, part) => sum + part, 0)).toBeCloseTo(graceMs);
	expect(Math.min(...Object.values(parts))).toBeGreaterThanOrEqual(delayMs);
	expect(parts.linger! + parts.drain!).toBeGreaterThan(graceMs * 5 / 6);
	expect(parts.linger! + delayMs).toBeLessThan(3000);
});
