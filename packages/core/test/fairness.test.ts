import * as fc from 'fast-check';
import {getOrCreateServedTokens, computeVirtualTime} from '../src/systems/fair-shares/served-tokens.ts';
import {
	sendRequests, attachEngines, getWorkspace, type Engines,
} from './support/engines.ts';
import {createFleet, type Fleet, type FleetOptions} from './support/fleet.ts';

const routers = {a: 'x', b: 'y', c: 'z'};
const targets = {t1: 'x', t2: 'y', t3: 'z'};
const inputTokens = 10;
const maxOutputTokens = 90;
const maxCost = inputTokens + maxOutputTokens;
const processingMs = 300;

/** Tokens that the three warm targets serve until a counter is reported: a digest period, a progress period and the delay. */
const unreportedTokens = (3 * 4 * maxCost / processingMs) * (250 + 500 + 50);

/** Two requests of maximum cost per owner, plus the tokens that the fleet serves before its owners receive the counters. */
const gapBound = (2 * 3 * maxCost) + unreportedTokens;

type Demand = Record<string, Record<string, number>>;

/** Creates a function that gives the output tokens of a request; they depend only on the request and the seed. */
function createOutputSizes(seed: number) {
	return (request: string) => 10 + ((Number(request.split('/')[1]) * 7919 * (seed + 1)) % (maxOutputTokens - 10));
}

function start(seed: number, limits: FleetOptions['limits'] = {}) {
	const fleet = createFleet({routers, targets, limits});
	const engines = attachEngines(fleet, Object.keys(targets), {processingMs, outputTokens: createOutputSizes(seed)});
	fleet.runUntil(() => Object.keys(targets).every(target => fleet.getServingRouters(target).length === 1), 6000);
	return {fleet, engines};
}

/** Runs the fleet and keeps the demanded number of requests open, by router and workspace. */
function runWith(fleet: Fleet, ms: number, demand: Demand, watch: () => void = () => undefined) {
	const end = fleet.now + ms;
	while (fleet.now < end) {
		for (const [router, wanted] of Object.entries(demand)) {
			const open = [...fleet.worlds.get(router)!.requests.rows()];
			for (const [workspace, count] of Object.entries(wanted)) {
				sendRequests(fleet, router, Math.max(0, count - open.filter(request => request.workspace === workspace).length), workspace);
			}
		}

		fleet.run(50);
		watch();
	}
}

function sumServedTokens(engines: Engines, workspace: string, from = 0): number {
	let sum = 0;
	for (const target of Object.keys(targets)) {
		for (const {at, request, outputTokens} of engines.get(target).answers) {
			sum += at >= from && getWorkspace(request) === workspace ? inputTokens + outputTokens : 0;
		}
	}

	return sum;
}

/** Measures the largest difference in served tokens between the two workspaces over any window. */
function measureGap(seed: number, limits: FleetOptions['limits'], delayMs: number): number {
	const {fleet, engines} = start(seed, limits);
	fleet.delay = () => delayMs;
	// w1 keeps 60 requests open through one router, w2 only 16 through the other two.
	const demand = {a: {w1: 60}, b: {w2: 8}, c: {w2: 8}};
	runWith(fleet, 12_000, demand);
	let lowest = Number.POSITIVE_INFINITY;
	let highest = Number.NEGATIVE_INFINITY;
	runWith(fleet, 20_000, demand, () => {
		const difference = sumServedTokens(engines, 'w1') - sumServedTokens(engines, 'w2');
		lowest = Math.min(lowest, difference);
		highest = Math.max(highest, difference);
	});
	return highest - lowest;
}

test('the gap between two backlogged workspaces stays within the bound, whatever the sizes and delays', () => {
	fc.assert(fc.property(fc.nat(100), fc.integer({min: 1, max: 60}), (seed, delayMs) => {
		expect(measureGap(seed, {}, delayMs)).toBeLessThanOrEqual(gapBound);
	}), {seed: 17, numRuns: 6});
});

test('owners that don\'t exchange counters exceed the bound, so the exchange is what keeps it', () => {
	expect(measureGap(1, {exchange: false}, 1)).toBeGreaterThan(gapBound);
});

test('a workspace that returns after being idle has gained no credit', () => {
	const {fleet, engines} = start(3);
	runWith(fleet, 15_000, {a: {w1: 30}, b: {w1: 30}});
	const from = fleet.now;
	runWith(fleet, 10_000, {a: {w1: 30, w2: 30}, b: {w1: 30, w2: 30}});
	expect(Math.abs(sumServedTokens(engines, 'w1', from) - sumServedTokens(engines, 'w2', from))).toBeLessThanOrEqual(gapBound);
});

test('a workspace that had the fleet to itself has no penalty afterwards', () => {
	const {fleet, engines} = start(4);
	runWith(fleet, 15_000, {a: {w1: 30}});
	fleet.run(5000);
	runWith(fleet, 3000, {b: {w2: 30}});
	const from = fleet.now;
	runWith(fleet, 10_000, {a: {w1: 30}, b: {w2: 30}});
	expect(Math.abs(sumServedTokens(engines, 'w1', from) - sumServedTokens(engines, 'w2', from))).toBeLessThanOrEqual(gapBound);
});

test('an owner that restarts without state takes over the virtual times of the others', () => {
	const {fleet} = start(5);
	const demand = {a: {w1: 20}, b: {w2: 20}};
	runWith(fleet, 10_000, demand);
	fleet.kill('c');
	runWith(fleet, 1000, demand);
	fleet.start('c');
	runWith(fleet, 3000, demand);
	const times = (router: string) => ['w1', 'w2'].map(workspace => computeVirtualTime(
		fleet.worlds.get(router)!,
		getOrCreateServedTokens(fleet.worlds.get(router)!, {pool: 'm', workspace}),
	));
	const [a1, a2] = times('a') as [number, number];
	const [c1, c2] = times('c') as [number, number];
	expect(Math.abs((a1 - a2) - (c1 - c2))).toBeLessThanOrEqual(gapBound);
	expect(c1).toBeGreaterThan(gapBound);
});
