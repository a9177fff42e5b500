import type {Target} from '../src/configuration.ts';
import {AttemptEnd, Phase} from '../src/messages.ts';
import {
	attachEngines, sendRequests, runUnderLoad, type Engines, type EnginesOptions,
} from './support/engines.ts';
import {createFleet, tickMs, type Fleet} from './support/fleet.ts';

const routers = {a: 'x', b: 'x', c: 'x'};
const routerIds = Object.keys(routers);

function getBudget(fleet: Fleet, target = 't1') {
	for (const world of fleet.worlds.values()) {
		const budget = world.budgets.get(target);
		if (budget) {
			return budget;
		}
	}

	throw new Error(`no router owns ${target}`);
}

function startFleet(options: Partial<EnginesOptions> = {}) {
	const fleet = createFleet({routers, targets: {t1: 'x'}});
	const engines = attachEngines(fleet, ['t1'], options);
	fleet.runUntil(() => fleet.getServingRouters('t1').length === 1, 5000);
	return {fleet, engines};
}

function warmUp(fleet: Fleet, engines: Engines) {
	runUnderLoad(fleet, 15_000, routerIds);
	expect(getBudget(fleet).phase).toBe(Phase.Warm);
	expect(engines.overruns()).toBe(0);
}

const getOwner = (fleet: Fleet) => fleet.getServingRouters('t1')[0]!;

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
			sendRequests(fleet, 'a', 8);
		},
	},
	{
		name: 'two consecutive restarts', fault(fleet, engines) {
			engines.restart('t1');
			runUnderLoad(fleet, 700, routerIds);
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
			fleet.kill(getOwner(fleet));
		},
	},
	{
		name: 'the owner\'s crash with load reports that lag by 3 s', options: {reportLagMs: 3000}, fault(fleet) {
			fleet.kill(getOwner(fleet));
		},
	},
	{
		name: 'the owner\'s crash, with a restart of its target while it has no owner', fault(fleet, engines) {
			fleet.kill(getOwner(fleet));
			runUnderLoad(fleet, 5000, routerIds);
			engines.restart('t1');
		},
	},
	{
		name: 'the owner\'s crash while a router with running requests is cut off from its peers for 10 s', fault(fleet, engines) {
			const owner = getOwner(fleet);
			const silent = routerIds.find(id => id !== owner)!;
			engines.get('t1').slowFactor = 30;
			runUnderLoad(fleet, 1000, routerIds);
			fleet.kill(owner);
			fleet.delay = (from, to, item) => item.kind === 'send' && (from === silent || to === silent) ? undefined : 1;
			runUnderLoad(fleet, 10_000, routerIds);
			engines.get('t1').slowFactor = 1;
			fleet.delay = () => 1;
		},
	},
	{
		name: 'the crash of a router with running requests together with a restart of the target', fault(fleet, engines) {
			const owner = getOwner(fleet);
			engines.restart('t1');
			runUnderLoad(fleet, 500, routerIds);
			fleet.kill(routerIds.find(id => id !== owner)!);
		},
	},
	{
		name: 'the planned stop of the owner', fault(fleet) {
			fleet.deliver(getOwner(fleet), {kind: 'stopRequested'});
		},
	},
	{
		name: 'the planned stop of the owner while its target restarts', fault(fleet, engines) {
			fleet.deliver(getOwner(fleet), {kind: 'stopRequested'});
			engines.restart('t1');
		},
	},
];

test.each(faults)('a cold target never gets more requests than its cold capacity after $name', ({options, fault}) => {
	const {fleet, engines} = startFleet(options);
	warmUp(fleet, engines);
	fault(fleet, engines);
	runUnderLoad(fleet, 30_000, routerIds);
	expect(engines.overruns()).toBe(0);
	expect(getBudget(fleet).phase).toBe(Phase.Warm);
});

test('a budget rises in steps, and only by answers that began after the last reset to the cold budget', () => {
	const {fleet, engines} = startFleet();
	const budgets: number[] = [];
	for (let tick = 0; tick < 300; tick += 1) {
		runUnderLoad(fleet, 50, routerIds);
		const {budget} = getBudget(fleet);
		if (budgets.at(-1) !== budget) {
			budgets.push(budget);
		}
	}

	expect(budgets).toEqual([1, 2, 3, 4]);
	engines.restart('t1');
	fleet.run(100);
	expect(getBudget(fleet)).toMatchObject({phase: Phase.Cold, completions: 0});
});

test('a planned handover keeps the budget and the outstanding permits', () => {
	const {fleet, engines} = startFleet();
	warmUp(fleet, engines);
	const owner = getOwner(fleet);
	fleet.deliver(owner, {kind: 'stopRequested'});
	fleet.runUntil(() => fleet.getServingRouters('t1').some(id => id !== owner), 5000);
	const world = fleet.worlds.get(getOwner(fleet))!;
	expect(getBudget({...fleet, worlds: new Map([['', world]])}).phase).toBe(Phase.Warm);
	expect(world.permits.count('t1')).toBeGreaterThan(0);
});

test('a target that becomes slow is reset to its cold budget', () => {
	const {fleet, engines} = startFleet();
	warmUp(fleet, engines);
	engines.get('t1').slowFactor = 6;
	runUnderLoad(fleet, 5000, routerIds);
	expect(getBudget(fleet).phase).not.toBe(Phase.Warm);
});

test('a target that stops answering gets no more work', () => {
	const {fleet, engines} = startFleet();
	warmUp(fleet, engines);
	engines.get('t1').slowFactor = 1000;
	fleet.runUntil(() => getBudget(fleet).phase === Phase.Cold, 5000);
	const {length} = engines.get('t1').admissions;
	runUnderLoad(fleet, 10_000, routerIds);
	expect(engines.get('t1').admissions).toHaveLength(length);
});

test('without load reports a target stays at its cold budget, and a report from before the reset raises nothing', () => {
	let sendsReports = true;
	const {fleet, engines} = startFleet({sendsReports: () => sendsReports});
	warmUp(fleet, engines);
	sendsReports = false;
	engines.restart('t1');
	runUnderLoad(fleet, 10_000, routerIds);
	const owner = getOwner(fleet);
	expect(getBudget(fleet).phase).toBe(Phase.Cold);
	fleet.deliver(owner, {
		kind: 'loadReport', target: 't1', startId: 't1.0', running: 0, ageMs: 11_000, reachable: true, cold: false,
	});
	runUnderLoad(fleet, 1000, routerIds);
	expect(getBudget(fleet).phase).toBe(Phase.Cold);
	sendsReports = true;
	runUnderLoad(fleet, 10_000, routerIds);
	expect(getBudget(fleet).phase).toBe(Phase.Warm);
	expect(engines.overruns()).toBe(0);
});

test('a missing load report sets a target aside only when no answer since shows that it is up', () => {
	const {fleet, engines} = startFleet();
	warmUp(fleet, engines);
	const lostReport = {
		kind: 'loadReport', target: 't1', startId: '', running: 0, ageMs: 0, roundTripMs: 2000, reachable: false,
	} as const;
	fleet.deliver(getOwner(fleet), lostReport);
	fleet.run(50);
	expect(getBudget(fleet).phase).toBe(Phase.Warm);
	fleet.run(5000);
	fleet.deliver(getOwner(fleet), lostReport);
	fleet.run(50);
	expect(getBudget(fleet).phase).toBe(Phase.SetAside);
});

test('a failing target is set aside for durations that double, and probed with one request after each', () => {
	const {fleet, engines} = startFleet();
	warmUp(fleet, engines);
	const owner = getOwner(fleet);
	fleet.run(3000);
	const durations: number[] = [];
	let probes = 0;
	for (let failure = 0; failure < 4; failure += 1) {
		sendRequests(fleet, owner, 4);
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
		durations.push(Math.round(getBudget(fleet).setAsideUntil - fleet.now));
		engines.get('t1').running = [];
	}

	expect(durations).toEqual([500, 1000, 2000, 4000]);
	expect(probes).toBe(1);
});

test('a permit whose return was lost ends within 6 s', () => {
	const {fleet, engines} = startFleet();
	warmUp(fleet, engines);
	const owner = getOwner(fleet);
	fleet.run(5000);
	fleet.delay = (_from, _to, item) => item.kind === 'send' && item.message.kind === 'permitReturn' ? undefined : 1;
	sendRequests(fleet, routerIds.find(id => id !== owner)!, 1);
	const {permits} = fleet.worlds.get(owner)!;
	fleet.runUntil(() => permits.count('t1') === 1, 1000);
	fleet.run(3000);
	expect(permits.count('t1')).toBe(1);
	expect(fleet.runUntil(() => permits.count('t1') === 0, 8000)).toBeLessThanOrEqual(3000);
});

const crashes = [
	{name: 'its load report shows that they have ended', options: {}, withinMs: 5000},
	{name: 'its lease has expired, without load reports', options: {reportLagMs: 60_000}, withinMs: 8000},
];

test.each(crashes)('the permits of a crashed router end once $name, and its tickets get no permit', ({options, withinMs}) => {
	const {fleet, engines} = startFleet();
	warmUp(fleet, engines);
	Object.assign(engines.settings, options);
	const owner = getOwner(fleet);
	const crashed = routerIds.find(id => id !== owner)!;
	const world = fleet.worlds.get(owner)!;
	const countHeldPermits = () => [...world.permits.rows()].filter(({origin}) => origin === crashed).length;
	fleet.runUntil(() => [...world.requests.rows()].length === 0, 30_000);
	fleet.run(5000);
	engines.get('t1').slowFactor = 3;
	sendRequests(fleet, crashed, 12);
	fleet.runUntil(() => countHeldPermits() > 0, 2000);
	fleet.kill(crashed);
	expect(fleet.runUntil(() => countHeldPermits() === 0, 20_000)).toBeLessThanOrEqual(withinMs);
	fleet.run(2000);
	expect(countHeldPermits()).toBe(0);
	expect([...world.tickets.rows()]).toHaveLength(0);
});

test('a request whose grant was lost is queued again and served', () => {
	const {fleet, engines} = startFleet();
	warmUp(fleet, engines);
	fleet.run(3000);
	const owner = getOwner(fleet);
	const other = routerIds.find(id => id !== owner)!;
	fleet.delay = (_from, _to, item) => item.kind === 'send' && item.message.kind === 'permitGrant' ? undefined : 1;
	sendRequests(fleet, other, 1);
	fleet.run(500);
	fleet.delay = () => 1;
	fleet.runUntil(() => [...fleet.worlds.get(other)!.requests.rows()].length === 0, 8000);
});

/** Changes the configured target at all routers, as a release does. */
function configureTarget(fleet: Fleet, change: Partial<Target>) {
	for (const world of fleet.worlds.values()) {
		Object.assign(world.configuration.targets.get('t1')!, change);
	}
}

test('two pools share the budget of one target', () => {
	const {fleet, engines} = startFleet();
	configureTarget(fleet, {pools: ['m', 'n']});
	sendRequests(fleet, 'a', 5);
	sendRequests(fleet, 'b', 5, 'w2', 'n');
	fleet.run(20_000);
	expect(engines.overruns()).toBe(0);
	expect(engines.get('t1').completions).toBe(10);
});

test('a target whose address a release changes is cold at the new one', () => {
	const {fleet, engines} = startFleet();
	warmUp(fleet, engines);
	configureTarget(fleet, {url: 'http://10.0.0.2'});
	fleet.run(tickMs);
	expect(getBudget(fleet).phase).toBe(Phase.Cold);
	runUnderLoad(fleet, 15_000, routerIds);
	expect(engines.overruns()).toBe(0);
});

test('a warm budget that a release raises is reached in steps, and a lowered one applies at once', () => {
	const {fleet, engines} = startFleet();
	warmUp(fleet, engines);
	configureTarget(fleet, {warmBudget: 6});
	runUnderLoad(fleet, 5000, routerIds);
	expect(getBudget(fleet).budget).toBe(6);
	configureTarget(fleet, {warmBudget: 2});
	runUnderLoad(fleet, 2000, routerIds);
	expect(engines.get('t1').running.length).toBeLessThanOrEqual(2);
});

test('a request whose answer broke off at its pool\'s only target is sent to it again', () => {
	const {fleet, engines} = startFleet();
	warmUp(fleet, engines);
	fleet.run(3000);
	sendRequests(fleet, 'a', 1);
	fleet.runUntil(() => engines.get('t1').running.length === 1, 1000);
	engines.restart('t1');
	fleet.runUntil(() => [...fleet.worlds.get('a')!.requests.rows()].length === 0, 5000);
	expect(fleet.outbox.filter(({item}) => item.kind === 'refuse')).toEqual([]);
});

test('a permit that has expired when the run record is written isn\'t used, and the request runs once with a new permit', () => {
	const {fleet, engines} = startFleet();
	warmUp(fleet, engines);
	fleet.run(3000);
	const {length} = engines.get('t1').admissions;
	const grantedAt = fleet.now;
	fleet.delay = (from, _to, item) => from === 'store' && item.kind === 'store' && item.action.kind === 'put' && item.action.key.startsWith('run/') ? 1500 : 1;
	fleet.deliver('a', {
		kind: 'callerRequest', request: {
			id: 'a/once', workspace: 'w1', pool: 'm', inputTokens: 10, costHint: 10, prefixHash: 0, deadline: fleet.now + 60_000, once: true, idempotencyKey: 'k',
		},
	});
	fleet.run(tickMs);
	fleet.runUntil(() => [...fleet.worlds.get('a')!.requests.rows()].length === 0, 8000);
	expect(engines.get('t1').admissions.slice(length).map(({request}) => request)).toEqual(['a/once']);
	expect(engines.get('t1').admissions[length]!.at - grantedAt).toBeGreaterThan(1500);
	const returns = fleet.outbox.flatMap(({at, item}) => at > grantedAt && item.kind === 'send' && item.message.kind === 'permitReturn' ? [item.message.end] : []);
	// A router that owns the target returns its own permits without a message.
	expect(returns).toEqual(getOwner(fleet) === 'a' ? [] : [AttemptEnd.Unused, AttemptEnd.Whole]);
});
