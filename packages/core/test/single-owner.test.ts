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
const some = fc.subarray(ids, {minLength: 1});
const fault = fc.oneof(
	fc.record({kind: fc.constant('cut' as const), from: some, to: some}),
	fc.record({kind: fc.constant('store' as const), from: some, fault: fc.constantFrom(StoreFault.Down, StoreFault.Cut, StoreFault.AnswerLost)}),
	fc.record({kind: fc.constant('pause' as const), router}),
	fc.record({kind: fc.constant('restart' as const), router}),
	fc.record({kind: fc.constant('loss' as const), share: fc.double({min: 0.05, max: 0.5, noNaN: true})}),
	fc.record({kind: fc.constant('slow' as const), upToMs: fc.integer({min: 100, max: 6000})}),
);
const event = fc.record({
	at: fc.integer({min: 0, max: 25_000}),
	ms: fc.integer({min: 200, max: 25_000}),
	fault,
});
type Event = typeof event extends fc.Arbitrary<infer Value> ? Value : never;

function isOn(fleet: Fleet, start: number, {at, ms}: Event): boolean {
	return fleet.now >= start + at && fleet.now < start + at + ms;
}

/** Delay under the faults that are on now; undefined for a loss. */
function delayUnder(on: Event[], from: string, to: string, draw: () => number): number | undefined {
	let delay = 1;
	for (const {fault} of on) {
		if (fault.kind === 'cut' && fault.from.includes(from) && fault.to.includes(to)) {
			return undefined;
		}

		if (fault.kind === 'loss' && draw() < fault.share) {
			return undefined;
		}

		if (fault.kind === 'slow' && draw() < 0.5) {
			delay = Math.max(delay, draw() * fault.upToMs);
		}
	}

	return delay;
}

function createDraw(seed: number): () => number {
	let state = seed;
	return () => {
		state = ((state * 1_103_515_245) + 12_345) % 2_147_483_648;
		return state / 2_147_483_648;
	};
}

/** Runs a fleet under the events and fails when two routers may serve one target. */
function runUnder(events: Event[], seed: number) {
	const fleet = createFleet({routers, targets});
	fleet.run(6000);
	const start = fleet.now;
	const draw = createDraw(seed);
	fleet.delay = (from, to) => delayUnder(events.filter(event => isOn(fleet, start, event)), from, to, draw);
	fleet.storeFault = id => events.filter(event => isOn(fleet, start, event))
		.flatMap(({fault}) => fault.kind === 'store' && fault.from.includes(id) ? [fault.fault] : [])[0] ?? StoreFault.None;
	fleet.check = () => {
		for (const target of targetIds) {
			const servers = fleet.servers(target);
			if (servers.length > 1) {
				throw new Error(`${target} is served by ${servers.join(' and ')} at ${fleet.now - start} ms`);
			}
		}
	};

	const restarted = new Set<Event>();
	for (let passed = 0; passed < 45_000; passed += 50) {
		fleet.paused = new Set(events.flatMap(event => event.fault.kind === 'pause' && isOn(fleet, start, event) ? [event.fault.router] : []));
		for (const event of events) {
			if (event.fault.kind === 'restart' && isOn(fleet, start, event) && !restarted.has(event)) {
				restarted.add(event);
				fleet.kill(event.fault.router);
				fleet.start(event.fault.router);
			}
		}

		fleet.run(50);
	}
}

test.each([1, 2, 3, 4])('no two routers may ever serve one target, whatever fails (seed %i)', seed => {
	fc.assert(fc.property(fc.array(event, {minLength: 1, maxLength: 6}), fc.integer({min: 1, max: 1_000_000}), (events, drawSeed) => {
		runUnder(events, drawSeed);
	}), {seed, numRuns: 20});
});
