import {Standing} from '../src/configuration.ts';
import {Phase} from '../src/messages.ts';
import type {ReleaseNote} from '../src/release-note.ts';
import {RefusalKind} from '../src/refusal.ts';
import {AuditAction} from '../src/release.ts';
import {RequestState} from '../src/rows.ts';
import {getAddresses} from '../src/systems/requests/addresses.ts';
import {
	attachEngines, sendRequests, runUnderLoad, getWorkspace,
} from './support/engines.ts';
import {createFleet, tickMs, type Fleet} from './support/fleet.ts';

const routers = {
	a: 'x', b: 'x', c: 'y', d: 'y', e: 'z', f: 'z',
};
const targets = {t1: 'x', t2: 'y', t3: 'z'};
const routerIds = Object.keys(routers);

function startWarmFleet() {
	const fleet = createFleet({routers, targets});
	const engines = attachEngines(fleet, Object.keys(targets));
	fleet.runUntil(() => Object.keys(targets).every(target => fleet.getServingRouters(target).length === 1), 6000);
	runUnderLoad(fleet, 15_000, routerIds);
	expect(engines.overruns()).toBe(0);
	return {fleet, engines};
}

function applyRelease(fleet: Fleet, note: ReleaseNote, to = 'a') {
	fleet.deliver(to, {
		kind: 'releaseProposed', proposal: `${to}-${fleet.now}`, note, operator: 'op', action: AuditAction.ReleaseApply, reason: 'drill', at: '2026-01-01T00:00:00Z',
	});
	const revision = Math.max(...[...fleet.worlds.values()].map(world => world.configuration.revision));
	fleet.runUntil(() => [...fleet.worlds.values()].every(world => world.configuration.revision === revision + 1), 3000);
}

function createDomainNote(name: string, standing: Standing): ReleaseNote {
	return {changed: {failureDomains: [{name, standing}]}};
}

const removals: Array<{name: string; note: ReleaseNote}> = [
	{name: 'a failure domain that is taken out of service', note: createDomainNote('y', Standing.Out)},
	{name: 'a target that is drained', note: {changed: {targets: [{id: 't2', standing: Standing.Out}]}}},
	{name: 'a target that is withdrawn', note: {withdrawn: {targets: ['t2']}}},
];

test.each(removals)('$name gets no new work once the release is in force, and the others continue', ({note}) => {
	const {fleet, engines} = startWarmFleet();
	applyRelease(fleet, note);
	const inForce = fleet.now;
	const before = engines.get('t1').admissions.length;
	runUnderLoad(fleet, 5000, routerIds);
	expect(engines.get('t2').admissions.filter(({at}) => at > inForce)).toEqual([]);
	// Each of the two others serves 4 requests at once, 300 ms and two ticks each; requests that waited for y count too.
	expect(engines.get('t1').admissions.length - before).toBeGreaterThan(0.9 * 4 * 5000 / (300 + (3 * tickMs)));
	expect(getRefusals(fleet)).toEqual([]);
});

function getRefusals(fleet: Fleet, since = 0) {
	return fleet.outbox.filter(({at, item}) => at > since && item.kind === 'refuse')
		.map(({item}) => item.kind === 'refuse' ? item.refusal : undefined);
}

test('callers get no address of a failure domain that is out', () => {
	const {fleet} = startWarmFleet();
	applyRelease(fleet, createDomainNote('y', Standing.Out));
	for (const world of fleet.worlds.values()) {
		const domains = getAddresses(world, 'y').map(({failureDomain}) => failureDomain);
		expect(domains).toHaveLength(4);
		expect(domains).not.toContain('y');
	}
});

test('a permit granted by a router that hasn\'t received the release yet isn\'t used by a router that has it in force', () => {
	const {fleet, engines} = startWarmFleet();
	// Routers of y learn of the release last, so they still grant permits to routers at which it is in force.
	fleet.delay = (from, to, item) => (from === 'watch' && ['c', 'd'].includes(to))
		|| (item.kind === 'send' && ['releaseNotes'].includes(item.message.kind))
		? undefined
		: 1;
	const revision = fleet.worlds.get('a')!.configuration.revision + 1;
	fleet.deliver('a', {
		kind: 'releaseProposed', proposal: 'p', note: createDomainNote('y', Standing.Out), operator: 'op', action: AuditAction.ReleaseApply, reason: 'drill', at: '2026-01-01T00:00:00Z',
	});
	const others = ['a', 'b', 'e', 'f'];
	fleet.runUntil(() => others.every(id => fleet.worlds.get(id)!.configuration.revision === revision), 3000);
	const inForce = fleet.now;
	runUnderLoad(fleet, 500, others);
	const late = engines.get('t2').admissions.filter(({at, request}) => at > inForce && others.includes(request[0]!));
	expect(late).toEqual([]);
});

test('new and waiting requests of a pool are refused at once when all of its targets are out', () => {
	const {fleet} = startWarmFleet();
	sendRequests(fleet, 'a', 20);
	fleet.run(tickMs);
	applyRelease(fleet, {changed: {failureDomains: ['x', 'y', 'z'].map(name => ({name, standing: Standing.Out}))}});
	const inForce = fleet.now;
	fleet.run(1000);
	sendRequests(fleet, 'c', 1);
	fleet.run(tickMs);
	const refusals = getRefusals(fleet);
	expect(refusals.length).toBeGreaterThan(1);
	for (const refusal of refusals) {
		expect(refusal).toMatchObject({kind: RefusalKind.NoCapacity, outcome: 'not-run', retryAfterMs: expect.any(Number)});
	}

	expect(Math.max(...fleet.outbox.filter(({item}) => item.kind === 'refuse').map(({at}) => at))).toBeLessThanOrEqual(inForce + 1100);
	expect([...fleet.worlds.values()].flatMap(world => [...world.requests.rows()]).filter(({state}) => state === RequestState.Queued)).toEqual([]);
});

test('a failure domain that returns starts cold and ramps up, and no workspace gets more than its share', () => {
	const {fleet, engines} = startWarmFleet();
	applyRelease(fleet, createDomainNote('y', Standing.Out));
	runUnderLoad(fleet, 5000, routerIds);
	engines.restart('t2');
	sendRequests(fleet, 'a', 400, 'w2');
	runUnderLoad(fleet, 5000, routerIds);

	applyRelease(fleet, createDomainNote('y', Standing.In));
	const returned = fleet.now;
	const cold = [...fleet.worlds.values()].find(world => world.budgets.has('t2'))!.budgets.get('t2')!;
	expect(cold.phase).toBe(Phase.Cold);
	runUnderLoad(fleet, 15_000, routerIds);
	expect(cold.phase).toBe(Phase.Warm);
	expect(engines.overruns()).toBe(0);
	const admitted = Object.keys(targets).flatMap(target => engines.get(target).admissions.filter(({at}) => at > returned));
	const flooding = admitted.filter(({request}) => getWorkspace(request) === 'w2').length;
	expect(engines.get('t2').admissions.filter(({at}) => at > returned).length).toBeGreaterThan(60);
	expect(flooding / admitted.length).toBeGreaterThan(0.4);
	expect(flooding / admitted.length).toBeLessThan(0.6);
});

test('a failure domain that crashes and returns doesn\'t disturb the others, and starts cold', () => {
	const {fleet, engines} = startWarmFleet();
	const rest = ['a', 'b', 'e', 'f'];
	fleet.kill('c');
	fleet.kill('d');
	engines.restart('t2');
	const died = fleet.now;
	engines.settings.sendsReports = target => target !== 't2';
	engines.settings.unreachable.add('t2');
	runUnderLoad(fleet, 2500, rest);
	expect(getAddresses(fleet.worlds.get('a')!).map(({failureDomain}) => failureDomain)).toEqual(['x', 'x', 'z', 'z']);
	runUnderLoad(fleet, 12_500, rest);
	expect(getAddresses(fleet.worlds.get('a')!).map(({failureDomain}) => failureDomain)).toEqual(['x', 'x', 'z', 'z']);
	const after = engines.get('t1').admissions.filter(({at}) => at > died + 5000).length;
	expect(after).toBeGreaterThan(0.9 * 4 * 10_000 / (300 + (3 * tickMs)));
	engines.settings.unreachable.clear();
	engines.settings.sendsReports = () => true;
	fleet.start('c');
	fleet.start('d');
	runUnderLoad(fleet, 40_000, rest);
	expect(engines.overruns()).toBe(0);
	expect([...fleet.worlds.values()].find(world => world.budgets.has('t2'))!.budgets.get('t2')!.phase).toBe(Phase.Warm);
});
