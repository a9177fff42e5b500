import type {Target} from '../src/configuration.ts';
import {AttemptEnd, Phase} from '../src/messages.ts';
import {
	attachEngines, ask, runLoaded, type Engines, type EnginesOptions,
} from './support/engines.ts';
import {createFleet, tickMs, type Fleet} from './support/fleet.ts';

const routers = {a: 'x', b: 'x', c: 'x'};
const entries = Object.keys(routers);

function budgetOf(fleet: Fleet, target = 't1') {
	for (const world of fleet.worlds.values()) {
		const budget = world.budgets.get(target);
		if (budget) {
			return budget;
		}
	}

	throw new Error(`nobody owns ${target}`);
}

function start(options: Partial<EnginesOptions> = {}) {
	const fleet = createFleet({routers, targets: {t1: 'x'}});
	const engines = attachEngines(fleet, ['t1'], options);
	fleet.runUntil(() => fleet.getServingRouters('t1').length === 1, 5000);
	return {fleet, engines};
}

function warm(fleet: Fleet, engines: Engines) {
	runLoaded(fleet, 15_000, entries);
	expect(budgetOf(fleet).phase).toBe(Phase.Warm);
	expect(engines.overruns()).toBe(0);
}

const ownerOf = (fleet: Fleet) => fleet.getServingRouters('t1')[0]!;

const faults: Array<{name: string; options?: Partial<EnginesOptions>; fault: (fleet: Fleet, engines: Engines) => void}> = [
	{
		name: 'a restart without warning', fault(_fleet, engines) {
			engines.restart('t1');
		},
	},
	{
		name: 'a restart while nothing runs', fault(fleet, engines) {
			fleet.run(4000);
			engines.restart('t1');
			ask(fleet, 'a', 8);
		},
	},
	{
		name: 'two restarts in a row', fault(fleet, engines) {
			engines.restart('t1');
			runLoaded(fleet, 700, entries);
			engines.restart('t1');
		},
	},
	{
		name: 'a restart with load reports that lag by 3 s', options: {reportLagMs: 3000}, fault(_fleet, engines) {
			engines.restart('t1');
		},
	},
	{
		name: 'the owner\'s crash', fault(fleet) {
			fleet.kill(ownerOf(fleet));
		},
	},
	{
		name: 'the owner\'s crash with load reports that lag by 3 s', options: {reportLagMs: 3000}, fault(fleet) {
			fleet.kill(ownerOf(fleet));
		},
	},
	{
		name: 'the owner\'s crash, its target restarting while it has none', fault(fleet, engines) {
			fleet.kill(ownerOf(fleet));
			runLoaded(fleet, 5000, entries);
			engines.restart('t1');
		},
	},
	{
		name: 'the owner\'s crash, a holder being cut off from its peers for a while', fault(fleet, engines) {
			const owner = ownerOf(fleet);
			const silent = entries.find(id => id !== owner)!;
			engines.of('t1').slowFactor = 30;
			runLoaded(fleet, 1000, entries);
			fleet.kill(owner);
			fleet.delay = (from, to, item) => item.kind === 'send' && (from === silent || to === silent) ? undefined : 1;
			runLoaded(fleet, 10_000, entries);
			engines.of('t1').slowFactor = 1;
			fleet.delay = () => 1;
		},
	},
	{
		name: 'a holder\'s crash together with the target\'s restart', fault(fleet, engines) {
			const owner = ownerOf(fleet);
			engines.restart('t1');
			runLoaded(fleet, 500, entries);
			fleet.kill(entries.find(id => id !== owner)!);
		},
	},
	{
		name: 'the planned stop of the owner', fault(fleet) {
			fleet.deliver(ownerOf(fleet), {kind: 'stopRequested'});
		},
	},
	{
		name: 'the planned stop of the owner while its target restarts', fault(fleet, engines) {
			fleet.deliver(ownerOf(fleet), {kind: 'stopRequested'});
			engines.restart('t1');
		},
	},
];

test.each(faults)('a cold target gets no more than it carries after $name', ({options, fault}) => {
	const {fleet, engines} = start(options);
	warm(fleet, engines);
	fault(fleet, engines);
	runLoaded(fleet, 30_000, entries);
	expect(engines.overruns()).toBe(0);
	expect(budgetOf(fleet).phase).toBe(Phase.Warm);
});

test('a budget rises in steps, and only by answers that began since the last fall-back', () => {
	const {fleet, engines} = start();
	const budgets: number[] = [];
	for (let tick = 0; tick < 300; tick += 1) {
		runLoaded(fleet, 50, entries);
		const {budget} = budgetOf(fleet);
		if (budgets.at(-1) !== budget) {
			budgets.push(budget);
		}
	}

	expect(budgets).toEqual([1, 2, 3, 4]);
	engines.restart('t1');
	fleet.run(100);
	expect(budgetOf(fleet)).toMatchObject({phase: Phase.Cold, completions: 0});
});

test('a planned handover goes on with the budget and the permits that are out', () => {
	const {fleet, engines} = start();
	warm(fleet, engines);
	const owner = ownerOf(fleet);
	fleet.deliver(owner, {kind: 'stopRequested'});
	fleet.runUntil(() => fleet.getServingRouters('t1').some(id => id !== owner), 5000);
	const world = fleet.worlds.get(ownerOf(fleet))!;
	expect(budgetOf({...fleet, worlds: new Map([['', world]])}).phase).toBe(Phase.Warm);
	expect(world.permits.count('t1')).toBeGreaterThan(0);
});

test('a target that turns slow goes back to its cold budget', () => {
	const {fleet, engines} = start();
	warm(fleet, engines);
	engines.of('t1').slowFactor = 6;
	runLoaded(fleet, 5000, entries);
	expect(budgetOf(fleet).phase).not.toBe(Phase.Warm);
});

test('a target that stops to answer gets no more work', () => {
	const {fleet, engines} = start();
	warm(fleet, engines);
	engines.of('t1').slowFactor = 1000;
	fleet.runUntil(() => budgetOf(fleet).phase === Phase.Cold, 5000);
	const {length} = engines.of('t1').admissions;
	runLoaded(fleet, 10_000, entries);
	expect(engines.of('t1').admissions).toHaveLength(length);
});

test('without load reports a target stays at its cold budget, and a report from before the fall-back raises nothing', () => {
	let reported = true;
	const {fleet, engines} = start({reports: () => reported});
	warm(fleet, engines);
	reported = false;
	engines.restart('t1');
	runLoaded(fleet, 10_000, entries);
	const owner = ownerOf(fleet);
	expect(budgetOf(fleet).phase).toBe(Phase.Cold);
	fleet.deliver(owner, {
		kind: 'loadReport', target: 't1', startId: 't1.0', running: 0, ageMs: 11_000, reachable: true, cold: false,
	});
	runLoaded(fleet, 1000, entries);
	expect(budgetOf(fleet).phase).toBe(Phase.Cold);
	reported = true;
	runLoaded(fleet, 10_000, entries);
	expect(budgetOf(fleet).phase).toBe(Phase.Warm);
	expect(engines.overruns()).toBe(0);
});

test('a load report that doesn\'t come sets a target aside only when nothing else shows that it lives', () => {
	const {fleet, engines} = start();
	warm(fleet, engines);
	const lost = {
		kind: 'loadReport', target: 't1', startId: '', running: 0, ageMs: 0, roundTripMs: 2000, reachable: false,
	} as const;
	fleet.deliver(ownerOf(fleet), lost);
	fleet.run(50);
	expect(budgetOf(fleet).phase).toBe(Phase.Warm);
	fleet.run(5000);
	fleet.deliver(ownerOf(fleet), lost);
	fleet.run(50);
	expect(budgetOf(fleet).phase).toBe(Phase.SetAside);
});

test('a failing target is set aside for times that double, and probed with one request after each', () => {
	const {fleet, engines} = start();
	warm(fleet, engines);
	const owner = ownerOf(fleet);
	fleet.run(3000);
	const pauses: number[] = [];
	let probes = 0;
	for (let failure = 0; failure < 4; failure += 1) {
		ask(fleet, owner, 4);
		fleet.runUntil(() => fleet.worlds.get(owner)!.permits.count('t1') > 0, 10_000);
		probes = Math.max(probes, failure === 0 ? 0 : fleet.worlds.get(owner)!.permits.count('t1'));
		for (const permit of fleet.worlds.get(owner)!.permits.group('t1')) {
			fleet.deliver(owner, {
				kind: 'peerMessage', from: owner, incarnation: '', message: {
					kind: 'permitReturn', ticket: permit.ticket, target: 't1', epoch: 1, end: AttemptEnd.NotSent, outputTokens: 0, firstByteMs: 0, betweenTokensMs: 0,
				},
			});
		}

		fleet.run(50);
		pauses.push(Math.round(budgetOf(fleet).setAsideUntil - fleet.now));
		engines.of('t1').running = [];
	}

	expect(pauses).toEqual([500, 1000, 2000, 4000]);
	expect(probes).toBe(1);
});

test('a permit whose return was lost is free again within seconds', () => {
	const {fleet, engines} = start();
	warm(fleet, engines);
	const owner = ownerOf(fleet);
	fleet.run(5000);
	fleet.delay = (_from, _to, item) => item.kind === 'send' && item.message.kind === 'permitReturn' ? undefined : 1;
	ask(fleet, entries.find(id => id !== owner)!, 1);
	const {permits} = fleet.worlds.get(owner)!;
	fleet.runUntil(() => permits.count('t1') === 1, 1000);
	fleet.run(3000);
	expect(permits.count('t1')).toBe(1);
	expect(fleet.runUntil(() => permits.count('t1') === 0, 8000)).toBeLessThanOrEqual(3000);
});

const crashes = [
	{name: 'its load report shows that they have ended', options: {}, withinMs: 5000},
	{name: 'its lease has lapsed, without load reports', options: {reportLagMs: 60_000}, withinMs: 8000},
];

test.each(crashes)('the permits of a crashed router are free again once $name, and its tickets get none', ({options, withinMs}) => {
	const {fleet, engines} = start();
	warm(fleet, engines);
	Object.assign(engines.settings, options);
	const owner = ownerOf(fleet);
	const holder = entries.find(id => id !== owner)!;
	const world = fleet.worlds.get(owner)!;
	const ofHolder = () => [...world.permits.rows()].filter(({origin}) => origin === holder).length;
	fleet.runUntil(() => [...world.requests.rows()].length === 0, 30_000);
	fleet.run(5000);
	engines.of('t1').slowFactor = 3;
	ask(fleet, holder, 12);
	fleet.runUntil(() => ofHolder() > 0, 2000);
	fleet.kill(holder);
	expect(fleet.runUntil(() => ofHolder() === 0, 20_000)).toBeLessThanOrEqual(withinMs);
	fleet.run(2000);
	expect(ofHolder()).toBe(0);
	expect([...world.tickets.rows()]).toHaveLength(0);
});

test('a request whose grant was lost is placed again', () => {
	const {fleet, engines} = start();
	warm(fleet, engines);
	fleet.run(3000);
	const owner = ownerOf(fleet);
	const other = entries.find(id => id !== owner)!;
	fleet.delay = (_from, _to, item) => item.kind === 'send' && item.message.kind === 'permitGrant' ? undefined : 1;
	ask(fleet, other, 1);
	fleet.run(500);
	fleet.delay = () => 1;
	fleet.runUntil(() => [...fleet.worlds.get(other)!.requests.rows()].length === 0, 8000);
});

/** Changes the configured target everywhere, as a release does. */
function configure(fleet: Fleet, change: Partial<Target>) {
	for (const world of fleet.worlds.values()) {
		Object.assign(world.configuration.targets.get('t1')!, change);
	}
}

test('two pools share the budget of one target', () => {
	const {fleet, engines} = start();
	configure(fleet, {pools: ['m', 'n']});
	ask(fleet, 'a', 5);
	ask(fleet, 'b', 5, 'w2', 'n');
	fleet.run(20_000);
	expect(engines.overruns()).toBe(0);
	expect(engines.of('t1').completions).toBe(10);
});

test('a target whose address a release changes is cold at the new one', () => {
	const {fleet, engines} = start();
	warm(fleet, engines);
	configure(fleet, {url: 'http://10.0.0.2'});
	fleet.run(tickMs);
	expect(budgetOf(fleet).phase).toBe(Phase.Cold);
	runLoaded(fleet, 15_000, entries);
	expect(engines.overruns()).toBe(0);
});

test('a warm budget that a release raises is reached in steps, and one that it lowers holds at once', () => {
	const {fleet, engines} = start();
	warm(fleet, engines);
	configure(fleet, {warmBudget: 6});
	runLoaded(fleet, 5000, entries);
	expect(budgetOf(fleet).budget).toBe(6);
	configure(fleet, {warmBudget: 2});
	runLoaded(fleet, 2000, entries);
	expect(engines.of('t1').running.length).toBeLessThanOrEqual(2);
});

test('a request that its pool\'s only target broke off is tried there again', () => {
	const {fleet, engines} = start();
	warm(fleet, engines);
	fleet.run(3000);
	ask(fleet, 'a', 1);
	fleet.runUntil(() => engines.of('t1').running.length === 1, 1000);
	engines.restart('t1');
	fleet.runUntil(() => [...fleet.worlds.get('a')!.requests.rows()].length === 0, 5000);
	expect(fleet.outbox.filter(({item}) => item.kind === 'refuse')).toEqual([]);
});

test('a permit that is too old when the run record is written isn\'t used, and the request runs once with another', () => {
	const {fleet, engines} = start();
	warm(fleet, engines);
	fleet.run(3000);
	const {length} = engines.of('t1').admissions;
	const granted = fleet.now;
	fleet.delay = (from, _to, item) => from === 'store' && item.kind === 'store' && item.action.kind === 'put' && item.action.key.startsWith('run/') ? 1500 : 1;
	fleet.deliver('a', {
		kind: 'callerRequest', request: {
			id: 'a/once', workspace: 'w1', pool: 'm', inputTokens: 10, costHint: 10, prefixHash: 0, deadline: fleet.now + 60_000, once: true, idempotencyKey: 'k',
		},
	});
	fleet.run(tickMs);
	fleet.runUntil(() => [...fleet.worlds.get('a')!.requests.rows()].length === 0, 8000);
	expect(engines.of('t1').admissions.slice(length).map(({request}) => request)).toEqual(['a/once']);
	expect(engines.of('t1').admissions[length]!.at - granted).toBeGreaterThan(1500);
	const returns = fleet.outbox.flatMap(({at, item}) => at > granted && item.kind === 'send' && item.message.kind === 'permitReturn' ? [item.message.end] : []);
	// A router that owns the target itself sends no message for it.
	expect(returns).toEqual(ownerOf(fleet) === 'a' ? [] : [AttemptEnd.Unused, AttemptEnd.Whole]);
});
