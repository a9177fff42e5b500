import * as fc from 'fast-check';
import {serviceOf, virtualTimeOf} from '../src/systems/fair-shares/services.ts';
import {
	ask, attachEngines, workspaceOf, type Engines,
} from './support/engines.ts';
import {createFleet, type Fleet, type FleetOptions} from './support/fleet.ts';

const routers = {a: 'x', b: 'y', c: 'z'};
const targets = {t1: 'x', t2: 'y', t3: 'z'};
const inputTokens = 10;
const maxOutputTokens = 90;
const maxCost = inputTokens + maxOutputTokens;
const serviceMs = 300;

/** Tokens that the three warm targets serve in the age of a counter: a digest period, a progress period and the way. */
const agedService = (3 * 4 * maxCost / serviceMs) * (250 + 500 + 50);

/** Two requests of each owner's choice, and what the fleet serves before its owners hear of it. */
const gapBound = (2 * 3 * maxCost) + agedService;

type Demand = Record<string, Record<string, number>>;

/** Sizes that depend on the request and the seed alone. */
function sizes(seed: number) {
	return (request: string) => 10 + ((Number(request.split('/')[1]) * 7919 * (seed + 1)) % (maxOutputTokens - 10));
}

function start(seed: number, limits: FleetOptions['limits'] = {}) {
	const fleet = createFleet({routers, targets, limits});
	const engines = attachEngines(fleet, Object.keys(targets), {serviceMs, outputTokens: sizes(seed)});
	fleet.runUntil(() => Object.keys(targets).every(target => fleet.getServingRouters(target).length === 1), 6000);
	return {fleet, engines};
}

/** Keeps as many requests open as the demand says, by router and workspace. */
function runWith(fleet: Fleet, ms: number, demand: Demand, watch: () => void = () => undefined) {
	const end = fleet.now + ms;
	while (fleet.now < end) {
		for (const [router, wanted] of Object.entries(demand)) {
			const open = [...fleet.worlds.get(router)!.requests.rows()];
			for (const [workspace, count] of Object.entries(wanted)) {
				ask(fleet, router, Math.max(0, count - open.filter(request => request.workspace === workspace).length), workspace);
			}
		}

		fleet.run(50);
		watch();
	}
}

function served(engines: Engines, workspace: string, from = 0): number {
	let sum = 0;
	for (const target of Object.keys(targets)) {
		for (const {at, request, outputTokens} of engines.of(target).answers) {
			sum += at >= from && workspaceOf(request) === workspace ? inputTokens + outputTokens : 0;
		}
	}

	return sum;
}

/** Largest difference in service between the two workspaces over any window. */
function gapUnder(seed: number, limits: FleetOptions['limits'], delayMs: number): number {
	const {fleet, engines} = start(seed, limits);
	fleet.delay = () => delayMs;
	// One workspace offers ten times as much through one router, the other enters elsewhere.
	const demand = {a: {w1: 60}, b: {w2: 8}, c: {w2: 8}};
	runWith(fleet, 12_000, demand);
	let lowest = Number.POSITIVE_INFINITY;
	let highest = Number.NEGATIVE_INFINITY;
	runWith(fleet, 20_000, demand, () => {
		const difference = served(engines, 'w1') - served(engines, 'w2');
		lowest = Math.min(lowest, difference);
		highest = Math.max(highest, difference);
	});
	return highest - lowest;
}

test('the gap between two backlogged workspaces stays within the bound, whatever the sizes and delays', () => {
	fc.assert(fc.property(fc.nat(100), fc.integer({min: 1, max: 60}), (seed, delayMs) => {
		expect(gapUnder(seed, {}, delayMs)).toBeLessThanOrEqual(gapBound);
	}), {seed: 17, numRuns: 6});
});

test('owners that don\'t exchange counters break the bound, so it is the exchange that keeps it', () => {
	expect(gapUnder(1, {exchange: false}, 1)).toBeGreaterThan(gapBound);
});

test('a workspace that returns from idleness brings no credit', () => {
	const {fleet, engines} = start(3);
	runWith(fleet, 15_000, {a: {w1: 30}, b: {w1: 30}});
	const from = fleet.now;
	runWith(fleet, 10_000, {a: {w1: 30, w2: 30}, b: {w1: 30, w2: 30}});
	expect(Math.abs(served(engines, 'w1', from) - served(engines, 'w2', from))).toBeLessThanOrEqual(gapBound);
});

test('a workspace that had the fleet to itself carries no penalty', () => {
	const {fleet, engines} = start(4);
	runWith(fleet, 15_000, {a: {w1: 30}});
	fleet.run(5000);
	runWith(fleet, 3000, {b: {w2: 30}});
	const from = fleet.now;
	runWith(fleet, 10_000, {a: {w1: 30}, b: {w2: 30}});
	expect(Math.abs(served(engines, 'w1', from) - served(engines, 'w2', from))).toBeLessThanOrEqual(gapBound);
});

test('an owner that restarts empty takes over the order of the others', () => {
	const {fleet} = start(5);
	const demand = {a: {w1: 20}, b: {w2: 20}};
	runWith(fleet, 10_000, demand);
	fleet.kill('c');
	runWith(fleet, 1000, demand);
	fleet.start('c');
	runWith(fleet, 3000, demand);
	const times = (router: string) => ['w1', 'w2'].map(workspace => virtualTimeOf(
		fleet.worlds.get(router)!,
		serviceOf(fleet.worlds.get(router)!, {pool: 'm', workspace}),
	));
	const [a1, a2] = times('a') as [number, number];
	const [c1, c2] = times('c') as [number, number];
	expect(Math.abs((a1 - a2) - (c1 - c2))).toBeLessThanOrEqual(gapBound);
	expect(c1).toBeGreaterThan(gapBound);
});
