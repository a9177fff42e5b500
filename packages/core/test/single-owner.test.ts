import fc from 'fast-check';
import {createFleet, type Fleet} from './support/fleet.ts';
import {StoreFault} from './support/store-map.ts';

const routers = {
	a: 'x', b: 'x', c: 'y', d: 'y', e: 'y',
};
const targets = {t1: 'x', t2: 'x', t3: 'y'};
const targetIds = Object.keys(targets);
const ids = Object.keys(routers);

const router = fc.constantFrom(...ids);
const routerGroup = fc.subarray(ids, {minLength: 1});
const fault = fc.oneof(
	fc.record({kind: fc.constant('cut' as const), from: routerGroup, to: routerGroup}),
	fc.record({kind: fc.constant('store' as const), from: routerGroup, fault: fc.constantFrom(StoreFault.Down, StoreFault.Cut, StoreFault.AnswerLost)}),
	fc.record({kind: fc.constant('pause' as const), router}),
	fc.record({kind: fc.constantFrom('restart' as const, 'stop' as const), router}),
	fc.record({kind: fc.constant('loss' as const), fraction: fc.double({min: 0.05, max: 0.5, noNaN: true})}),
	fc.record({kind: fc.constant('slow' as const), maxDelayMs: fc.integer({min: 100, max: 6000})}),
);
const event = fc.record({
	at: fc.integer({min: 0, max: 25_000}),
	ms: fc.integer({min: 200, max: 25_000}),
	fault,
});

/** A group of routers is cut off from the Object API for long; its messages to and from the others are delayed or lost. */
const split = fc.record({
	at: fc.integer({min: 0, max: 3000}),
	ms: fc.integer({min: 8000, max: 30_000}),
	fault: fc.record({
		kind: fc.constant('split' as const),
		group: routerGroup,
		inward: fc.constantFrom(1, 800, 1500, 5000, undefined),
		outward: fc.constantFrom(1, 800, 1500, 5000, undefined),
	}),
});
type Split = typeof split extends fc.Arbitrary<infer Value> ? Value : never;
type Event = Split | (typeof event extends fc.Arbitrary<infer Value> ? Value : never);

function isActive(fleet: Fleet, start: number, {at, ms}: Event): boolean {
	return fleet.now >= start + at && fleet.now < start + at + ms;
}

/** Delay of a message under the active faults; undefined when it is lost. */
function computeDelay(active: Event[], from: string, to: string, random: () => number): number | undefined {
	let delay = 1;
	for (const {fault} of active) {
		if (fault.kind === 'cut' && fault.from.includes(from) && fault.to.includes(to)) {
			return undefined;
		}

		if (fault.kind === 'split' && from !== 'watch' && fault.group.includes(from) !== fault.group.includes(to) && from !== 'store' && to !== 'store') {
			const splitDelay = fault.group.includes(from) ? fault.outward : fault.inward;
			if (splitDelay === undefined) {
				return undefined;
			}

			delay = Math.max(delay, splitDelay);
		}

		if (fault.kind === 'loss' && random() < fault.fraction) {
			return undefined;
		}

		if (fault.kind === 'slow' && random() < 0.5) {
			delay = Math.max(delay, random() * fault.maxDelayMs);
		}
	}

	return delay;
}

function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = ((state * 1_103_515_245) + 12_345) % 2_147_483_648;
		return state / 2_147_483_648;
	};
}

function getStoreFault(fault: Event['fault'], id: string): StoreFault {
	if (fault.kind === 'store' && fault.from.includes(id)) {
		return fault.fault;
	}

	return fault.kind === 'split' && fault.group.includes(id) ? StoreFault.Cut : StoreFault.None;
}

/** Runs a fleet with the fault events; throws when two routers would serve one target at the same time. */
function runWithFaults(events: Event[], seed: number) {
	const fleet = createFleet({routers, targets});
	fleet.run(6000);
	const start = fleet.now;
	const random = createRandom(seed);
	fleet.delay = (from, to) => computeDelay(events.filter(event => isActive(fleet, start, event)), from, to, random);
	fleet.storeFault = id => events.filter(event => isActive(fleet, start, event))
		.map(({fault}) => getStoreFault(fault, id)).find(found => found !== StoreFault.None) ?? StoreFault.None;
	fleet.check = () => {
		for (const target of targetIds) {
			const servers = fleet.getServingRouters(target);
			if (servers.length > 1) {
				throw new Error(`${target} is served by ${servers.join(' and ')} at ${fleet.now - start} ms`);
			}
		}
	};

	const applied = new Set<Event>();
	for (let elapsedMs = 0; elapsedMs < 45_000; elapsedMs += 50) {
		fleet.paused = new Set(events.flatMap(event => event.fault.kind === 'pause' && isActive(fleet, start, event) ? [event.fault.router] : []));
		for (const event of events) {
			const {fault} = event;
			if ((fault.kind === 'restart' || fault.kind === 'stop') && isActive(fleet, start, event) && !applied.has(event)) {
				applied.add(event);
				(fault.kind === 'restart' ? fleet.start : fleet.stop)(fault.router);
			}
		}

		fleet.run(50);
	}

	fleet.delay = () => 1;
	fleet.storeFault = () => StoreFault.None;
	fleet.paused.clear();
	if (events.every(({fault}) => fault.kind !== 'stop')) {
		fleet.runUntil(() => targetIds.every(target => fleet.getServingRouters(target).length === 1), 20_000);
	}
}

const suites = [
	{name: 'any faults', events: fc.array<Event>(event, {minLength: 1, maxLength: 6})},
	{name: 'a group without the Object API', events: fc.tuple(split, fc.array(event, {maxLength: 1})).map(([first, rest]): Event[] => [first, ...rest])},
];
const cases = suites.flatMap(suite => [1, 2].map(seed => ({...suite, seed})));

test.each(cases)('no target is ever served by two routers, and each is served again after the faults: $name (seed $seed)', ({events, seed}) => {
	fc.assert(fc.property(events, fc.integer({min: 1, max: 1_000_000}), (generated, randomSeed) => {
		runWithFaults(generated, randomSeed);
	}), {seed, numRuns: 20});
});
