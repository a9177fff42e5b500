import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import {AttemptEnd} from '../src/messages.ts';
import {Outcome} from '../src/refusal.ts';
import type {StoreOperation} from '../src/ports.ts';
import {hasValidLease} from '../src/systems/membership/lease.ts';
import {
	askOnce, createRunningFleet, endAttempt, seen, starts,
} from './support/calls.ts';
import {tickMs, type Fleet} from './support/fleet.ts';
import {StoreFault} from './support/store-map.ts';

const routers = ['a', 'b', 'c'];
const keys = ['k1', 'k2', 'k3', 'k4'];
const steps = 150;

type Run = {
	fleet: Fleet;
	pick: <Item>(items: readonly Item[]) => Item;
	chance: (percent: number) => boolean;
	/** Key of each request. */
	asked: Map<string, string>;
	/** How the attempt of each request that was let go ended, by request; undefined while it runs. */
	ends: Map<string, AttemptEnd[]>;
	/** Runs under way by request, with the router's incarnation. */
	incarnations: Map<string, string>;
};

const isOfRun = (action: StoreOperation) => action.kind !== 'list' && action.key.startsWith('run/');

function ask({fleet, pick, asked, incarnations}: Run) {
	const router = pick([...fleet.worlds.keys()]);
	const key = pick(keys);
	const request = askOnce(fleet, router, key, pick([500, 3000, 20_000]));
	asked.set(request, key);
	incarnations.set(request, fleet.worlds.get(router)!.self.incarnation);
}

/** Requests with an attempt that runs at a router that still lives. */
function runningOf({fleet, asked, ends, incarnations}: Run): string[] {
	return [...asked.keys()].filter(request => starts(fleet, request).length > (ends.get(request)?.length ?? 0)
		&& fleet.worlds.get(starts(fleet, request)[0]!.from)?.self.incarnation === incarnations.get(request));
}

function end({fleet, ends}: Run, request: string, how: AttemptEnd) {
	endAttempt(fleet, request, how, how === AttemptEnd.Whole ? {answer: `answer to ${request}`} : {});
	ends.set(request, [...ends.get(request) ?? [], how]);
}

function finish(run: Run) {
	const running = runningOf(run);
	if (running.length > 0) {
		end(run, run.pick(running), run.pick([AttemptEnd.Whole, AttemptEnd.Whole, AttemptEnd.NotSent, AttemptEnd.Broken]));
	}
}

function fail({fleet, pick, chance}: Run) {
	const router = pick(routers);
	// Routers that all restart within one lease time are a matter of membership.
	if (chance(20) && routers.every(other => other === router || hasValidLease(fleet.worlds.get(other)!))) {
		fleet.kill(router);
		fleet.start(router);
	}

	if (chance(20) && !fleet.paused.delete(router)) {
		fleet.paused.add(router);
	}

	const fault = pick([StoreFault.None, StoreFault.None, StoreFault.Down, StoreFault.AnswerLost, StoreFault.Cut]);
	const lateMs = pick([1, 1, 300, 2500]);
	fleet.storeFault = (_router, action) => isOfRun(action) && chance(60) ? fault : StoreFault.None;
	fleet.delay = (_from, to, item) => to === 'store' && item.kind === 'store' && isOfRun(item.action) && chance(50) ? lateMs : 1;
}

/** Attempts of a key that left for a target. */
function left({fleet, asked, ends}: Run, key: string): string[] {
	return [...asked].filter(([, of]) => of === key)
		.flatMap(([request]) => starts(fleet, request).map((_, index) => ({request, end: ends.get(request)?.[index]})))
		.filter(({end}) => end !== AttemptEnd.NotSent)
		.map(({request}) => request);
}

function expectTruth(run: Run) {
	for (const key of keys) {
		const runs = left(run, key);
		expect(runs.length).toBeLessThanOrEqual(1);
		for (const [request] of [...run.asked].filter(([, of]) => of === key)) {
			for (const {item} of seen(run.fleet, request, 'replay')) {
				expect(item.answer).toBe(`answer to ${runs[0]}`);
			}

			for (const {item} of seen(run.fleet, request, 'refuse')) {
				expect(item.refusal.outcome === Outcome.NotRun && runs.includes(request)).toBe(false);
			}
		}
	}
}

test.each(Array.from({length: 30}, (_, index) => index + 1))('random faults, seed %i: no key runs twice and no one is told an untruth', seed => {
	const generator = xoroshiro128plus(seed);
	const below = (count: number) => unsafeUniformIntDistribution(0, count - 1, generator);
	const run: Run = {
		fleet: createRunningFleet(),
		pick: items => items[below(items.length)]!,
		chance: percent => below(100) < percent,
		asked: new Map(),
		ends: new Map(),
		incarnations: new Map(),
	};
	for (let step = 0; step < steps; step++) {
		run.pick([ask, ask, finish, fail])(run);
		run.fleet.run(tickMs * (1 + below(10)));
	}

	const {fleet} = run;
	expectTruth(run);
	fleet.storeFault = () => StoreFault.None;
	fleet.delay = () => 1;
	fleet.paused.clear();
	for (let seconds = 0; seconds < 60; seconds++) {
		fleet.run(1000);
		for (const request of runningOf(run)) {
			end(run, request, AttemptEnd.Whole);
		}
	}

	for (const router of routers) {
		expect(fleet.worlds.get(router)!.runWrites.size).toBe(0);
	}

	// Every key is settled or can be used: no claim that was given up is in its way.
	for (const key of keys.filter(key => left(run, key).length === 0)) {
		const request = askOnce(fleet, 'a', key);
		run.asked.set(request, key);
		fleet.run(8000);
		const refused = seen(fleet, request, 'refuse')[0]?.item.refusal.outcome;
		expect(refused ?? starts(fleet, request).length).toBe(refused === undefined ? 1 : Outcome.Unknown);
		for (const running of runningOf(run)) {
			end(run, running, AttemptEnd.Whole);
		}
	}

	expectTruth(run);
});
