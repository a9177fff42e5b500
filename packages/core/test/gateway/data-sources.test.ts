import {DataKind, getWatchRole, WatchRole} from '../../src/gateway/data-sources.ts';
import {
	createBench, createDigestFrom, createListedTarget, createRegistration, filterByKind, type Bench,
} from '../support/gateways.ts';

function setVersion(bench: Bench, {era = 1, revision, coveredRevision = revision}: {era?: number; revision: number; coveredRevision?: number}) {
	return bench.step({kind: 'dataVersion', version: {kind: DataKind.Targets, era, revision}, coveredRevision});
}

function report(bench: Bench, revision: number, era = 1) {
	return bench.step(createDigestFrom('other', {dataVersions: [{kind: DataKind.Targets, era, revision}]}));
}

const getRefreshed = (outbox: ReturnType<Bench['step']>) => filterByKind(outbox, 'refreshData').map(({data}) => data);

test('a change that another instance has had for some time is asked for, and once more only after a while', () => {
	const bench = createBench({instances: ['self', 'other']});
	setVersion(bench, {revision: 5});
	expect(getRefreshed(report(bench, 7))).toEqual([]);
	expect(getRefreshed(bench.wait(350))).toEqual([DataKind.Targets]);
	expect(getRefreshed(report(bench, 7))).toEqual([]);
	expect(getRefreshed(bench.wait(1900))).toEqual([]);
	expect(getRefreshed(bench.wait(500))).toEqual([DataKind.Targets]);
	setVersion(bench, {revision: 7});
	expect(getRefreshed(bench.wait(3000))).toEqual([]);
});

test('a change that is missed after an answer of the platform is asked for as soon as the one before it', () => {
	const bench = createBench({instances: ['self', 'other']});
	setVersion(bench, {revision: 5});
	report(bench, 7);
	expect(getRefreshed(bench.wait(350))).toEqual([DataKind.Targets]);
	report(bench, 9);
	setVersion(bench, {revision: 7});
	expect(getRefreshed(bench.wait(350))).toEqual([DataKind.Targets]);
});

test('a change that arrives in time, or that this instance covers without an object that shows it, is not asked for', () => {
	const bench = createBench({instances: ['self', 'other']});
	setVersion(bench, {revision: 5});
	report(bench, 7);
	bench.wait(100);
	setVersion(bench, {revision: 7});
	expect(getRefreshed(bench.wait(1000))).toEqual([]);
	setVersion(bench, {revision: 7, coveredRevision: 20});
	report(bench, 19);
	expect(getRefreshed(bench.wait(1000))).toEqual([]);
});

test('a later era counts as a change though its revisions are lower, an earlier one doesn\'t', () => {
	const bench = createBench({instances: ['self', 'other']});
	setVersion(bench, {revision: 50, era: 2});
	report(bench, 90, 1);
	expect(getRefreshed(bench.wait(1000))).toEqual([]);
	report(bench, 20, 3);
	expect(getRefreshed(bench.wait(350))).toEqual([DataKind.Targets]);
});

test('an instance that is alone, or whose list of instances is missing, watches all data closely', () => {
	const alone = createBench({instances: ['self']});
	alone.wait(600);
	expect(Object.values(DataKind).every(kind => getWatchRole(alone.gateway, kind) === WatchRole.Only)).toBe(true);
	alone.gateway.instances.delete('self');
	alone.wait(600);
	expect(Object.values(DataKind).every(kind => getWatchRole(alone.gateway, kind) === WatchRole.Only)).toBe(true);
});

test('an instance whose fellow watchers are silent watches the data as the only one', () => {
	const bench = createBench({instances: ['self', 'other']});
	expect(getWatchRole(bench.gateway, DataKind.Targets)).toBe(WatchRole.Only);
	bench.step(createDigestFrom('other'));
	expect(getWatchRole(bench.gateway, DataKind.Targets)).toBe(WatchRole.Shared);
	bench.wait(2500);
	expect(getWatchRole(bench.gateway, DataKind.Targets)).toBe(WatchRole.Only);
});

test('in a large fleet two instances of a failure domain watch all data closely, primary ones the targets, and others none', () => {
	const ids = Array.from({length: 100}, (_, index) => `i${index}`);
	const watching = new Map<DataKind, number>();
	for (const self of ids) {
		const bench = createBench({instances: [self]});
		bench.step({kind: 'registrations', registrations: ids.map(id => createRegistration(id))});
		for (const kind of Object.values(DataKind)) {
			watching.set(kind, (watching.get(kind) ?? 0) + (getWatchRole(bench.gateway, kind) === WatchRole.Standby ? 0 : 1));
		}

		expect(getWatchRole(bench.gateway, DataKind.Targets) !== WatchRole.Standby).toBe(bench.gateway.primaryInstances.has(self));
	}

	expect(watching.get(DataKind.Configuration)).toBe(2);
	expect(watching.get(DataKind.Targets)).toBe(25);
});

test('a standby instance keeps missing targets while the others report an outage that it hasn\'t noticed', () => {
	const ids = Array.from({length: 100}, (_, index) => `i${index}`);
	const bench = createBench({instances: ['i0']});
	bench.step({kind: 'registrations', registrations: ids.map(id => createRegistration(id))});
	const {gateway} = bench;
	const standby = ids.find(id => !gateway.primaryInstances.has(id))!;
	const other = createBench({instances: [standby], targets: [createListedTarget('t1'), createListedTarget('t2')]});
	other.step({kind: 'registrations', registrations: ids.map(id => createRegistration(id))});
	const primary = [...gateway.primaryInstances];
	other.step(...primary.map(id => createDigestFrom(id, {platformReachedMs: undefined})));
	other.step({kind: 'targets', targets: [createListedTarget('t1')]});
	expect(other.gateway.targets.has('t2')).toBe(true);
	other.step(...primary.map(id => createDigestFrom(id, {platformReachedMs: 60_000})));
	expect(other.gateway.targets.has('t2')).toBe(false);
});

test('a standby instance, which can\'t notice an outage soon, is no evidence that the platform was reached', () => {
	const ids = Array.from({length: 100}, (_, index) => `i${index}`);
	const registrations = {kind: 'registrations', registrations: ids.map(id => createRegistration(id))} as const;
	const {primaryInstances: primary} = createBench({instances: ids}).gateway;
	const bench = createBench({instances: [[...primary][0]!], targets: [createListedTarget('t1'), createListedTarget('t2')]});
	bench.step(registrations, {kind: 'platformReach', isReached: true});
	bench.wait(2000);
	bench.step({kind: 'platformReach', isReached: false});
	bench.wait(5000);
	bench.step({kind: 'targets', targets: [createListedTarget('t1')]}, {kind: 'platformReach', isReached: true});
	bench.step(...ids.filter(id => !primary.has(id)).map(id => createDigestFrom(id, {platformReachedMs: 60_000, platformAnsweredMs: 0})));
	expect(bench.gateway.targets.has('t2')).toBe(true);
});

test('instances that can\'t notice an outage soon don\'t outvote those that report one', () => {
	const ids = Array.from({length: 100}, (_, index) => `i${index}`);
	const {primaryInstances: primary} = createBench({instances: ids}).gateway;
	const [self, ...others] = ids.filter(id => !primary.has(id));
	const bench = createBench({instances: [self!], targets: [createListedTarget('t1'), createListedTarget('t2')]});
	bench.step({kind: 'registrations', registrations: ids.map(id => createRegistration(id))});
	bench.step(
		...others.map(id => createDigestFrom(id, {platformReachedMs: 60_000})),
		...[...primary].map(id => createDigestFrom(id, {platformReachedMs: 500})),
	);
	bench.step({kind: 'targets', targets: [createListedTarget('t1')]});
	expect(bench.gateway.targets.has('t2')).toBe(true);
});

describe('a standby instance', () => {
	const ids = Array.from({length: 100}, (_, index) => `i${index}`);
	const allKinds = Object.values(DataKind);
	const {primaryInstances: primary, watchers} = createBench({instances: ids}).gateway;
	let bench: Bench;

	function reportFrom(senders: Iterable<string>) {
		bench.step(...[...senders].map(id => createDigestFrom(id)));
	}

	beforeEach(() => {
		bench = createBench({instances: [ids.find(id => !primary.has(id))!]});
		bench.step({kind: 'registrations', registrations: ids.map(id => createRegistration(id))});
		for (let periods = 0; periods < 4; periods += 1) {
			bench.wait(1000);
			reportFrom(primary);
		}
	});

	// Guards against a silent watch on an instance that waits for reports of instances which are gone.
	test('asks for all data and watches them closely soon after the last watcher was lost', () => {
		expect(allKinds.map(kind => getWatchRole(bench.gateway, kind))).toEqual(allKinds.map(() => WatchRole.Standby));
		expect(getRefreshed(bench.wait(1400))).toEqual([]);
		expect(getRefreshed([...bench.wait(150), ...bench.wait(100)])).toEqual(allKinds);
		expect(allKinds.map(kind => getWatchRole(bench.gateway, kind))).toEqual(allKinds.map(() => WatchRole.Only));
		expect(getRefreshed(bench.wait(1000))).toEqual([]);
	});

	test('doesn\'t rely on digests of instances that learn of changes late themselves', () => {
		bench.wait(1000);
		reportFrom([...primary].filter(id => !watchers.has(id)));
		expect(getRefreshed([...bench.wait(600), ...bench.wait(100)])).toEqual(allKinds.filter(kind => kind !== DataKind.Targets));
	});

	test('stands by again once digests arrive', () => {
		bench.wait(1700);
		reportFrom(primary);
		expect(allKinds.map(kind => getWatchRole(bench.gateway, kind))).toEqual(allKinds.map(() => WatchRole.Standby));
	});

	test('doesn\'t take its own stalls for the silence of others', () => {
		bench.wait(1700);
		expect(getRefreshed(bench.step({kind: 'stalled', ms: 1600}))).toEqual([]);
	});
});
