import {getCallerAddresses} from '../../src/gateway/instances.ts';
import {TargetStanding, type ListedTarget} from '../../src/gateway/rows.ts';
import {
	createBench, createDigestFrom, createListedTarget, createRegistration, createTestCatalogue, filterByKind, type Bench,
} from '../support/gateways.ts';

const restored = (id: string, options: Partial<ListedTarget> = {}) => createListedTarget(id, {isRestored: true, ...options});
const returned = {kind: 'platformDataReturned', source: 'targets', era: undefined} as const;

function getSentTargets(bench: Bench, calls = 6) {
	return new Set(Array.from({length: calls}, () => filterByKind(bench.call({}), 'send')[0]?.target));
}

test('targets that registered after the copy are kept until the relist timeout, and no longer', () => {
	const bench = createBench({targets: [createListedTarget('t1'), createListedTarget('t2')], instances: ['self', 'other']});
	bench.wait(1000);
	bench.step(createDigestFrom('other', {platformReachedMs: 60_000}));
	bench.step(returned, {kind: 'targets', targets: [restored('t1')]});
	bench.wait(2100);
	expect(bench.gateway.targets.has('t2')).toBe(true);
	bench.wait(200);
	expect(bench.gateway.targets.has('t2')).toBe(false);
});

test('a return that shows in another kind of data later is no second one', () => {
	const bench = createBench({targets: [createListedTarget('t1'), createListedTarget('t2')]});
	bench.wait(1000);
	bench.step({...returned, era: 2});
	bench.wait(2500);
	bench.step({...returned, source: 'instances', era: 2}, {kind: 'targets', targets: [createListedTarget('t1')]});
	expect(bench.gateway.targets.has('t2')).toBe(false);
	bench.step({kind: 'targets', targets: [createListedTarget('t1'), createListedTarget('t2', {startId: '2'})]});
	bench.step({...returned, era: 3}, {kind: 'targets', targets: [createListedTarget('t1')]});
	expect(bench.gateway.targets.has('t2')).toBe(true);
});

test('an older entry makes no leaving target ready, a new one of another process does', () => {
	const bench = createBench({targets: [createListedTarget('t1', {standing: TargetStanding.Leaving, revision: 9}), createListedTarget('t2')]});
	bench.step(returned, {kind: 'targets', targets: [restored('t1', {revision: 4}), restored('t2')]});
	expect(getSentTargets(bench)).toEqual(new Set(['t2']));
	bench.step({kind: 'targets', targets: [createListedTarget('t1', {revision: 5, startId: '2'}), restored('t2')]});
	expect(getSentTargets(bench)).toContain('t1');
});

test('a target that was removed before is not used again because an older copy lists it', () => {
	const bench = createBench({targets: [createListedTarget('t1'), createListedTarget('t2')]});
	bench.step({kind: 'targets', targets: [createListedTarget('t2')]});
	bench.step(returned, {kind: 'targets', targets: [restored('t1'), restored('t2')]});
	expect(bench.gateway.targets.has('t1')).toBe(false);
	bench.step({kind: 'targets', targets: [createListedTarget('t1', {revision: 8}), restored('t2')]});
	expect(bench.gateway.targets.has('t1')).toBe(true);
});

test('a target that started again since the copy is not taken for its earlier process', () => {
	const bench = createBench({targets: [createListedTarget('t1')]});
	bench.step({kind: 'targets', targets: [createListedTarget('t1', {startId: '2', revision: 2, address: '10.0.0.9:1'})]});
	bench.step(returned, {kind: 'targets', targets: [restored('t1')]});
	expect(bench.gateway.targets.get('t1')).toMatchObject({startId: '2', address: '10.0.0.9:1'});
});

test('an entry whose revision was given out again is applied', () => {
	const bench = createBench({targets: [createListedTarget('t1', {revision: 7}), createListedTarget('t2', {revision: 8})]});
	bench.step(returned, {kind: 'targets', targets: [createListedTarget('t1', {revision: 7, standing: TargetStanding.Leaving}), createListedTarget('t2', {revision: 8})]});
	expect(getSentTargets(bench)).toEqual(new Set(['t2']));
});

test('a failure domain stays out until it is listed again or the rewrite timeout has passed', () => {
	const bench = createBench({targets: [createListedTarget('t1'), createListedTarget('t2', {failureDomain: 'lautoka'})]});
	bench.step({kind: 'domainsOut', domains: ['suva']});
	bench.step(returned, {kind: 'domainsOut', domains: []});
	expect(getSentTargets(bench)).toEqual(new Set(['t2']));
	bench.wait(9900);
	expect(getSentTargets(bench)).toEqual(new Set(['t2']));
	bench.wait(200);
	expect(getSentTargets(bench)).toContain('t1');
});

test('a failure domain that is taken out again and then taken back is back at once', () => {
	const bench = createBench({targets: [createListedTarget('t1'), createListedTarget('t2', {failureDomain: 'lautoka'})]});
	bench.step({kind: 'domainsOut', domains: ['suva']});
	bench.step(returned, {kind: 'domainsOut', domains: []});
	bench.step({kind: 'domainsOut', domains: ['suva']});
	bench.step({kind: 'domainsOut', domains: []});
	expect(getSentTargets(bench)).toContain('t1');
});

test('an older catalogue doesn\'t take effect', () => {
	const bench = createBench({catalogue: createTestCatalogue({version: 6})});
	bench.step(returned, {kind: 'catalogue', catalogue: createTestCatalogue({version: 4, keys: new Map()})});
	expect(bench.gateway.catalogue!.version).toBe(6);
	expect(filterByKind(bench.call({}), 'send')).toHaveLength(1);
});

describe('instances', () => {
	const listed = (...ids: string[]) => ({kind: 'registrations', registrations: ids.map(id => createRegistration(id))} as const);

	test('an instance whose own registration is gone registers again, and keeps the others meanwhile', () => {
		const bench = createBench({instances: ['self', 'b', 'c']});
		bench.wait(5000);
		bench.step(createDigestFrom('b'), createDigestFrom('c'));
		const outbox = bench.step(returned, listed('b'));
		expect(filterByKind(outbox, 'register')).toMatchObject([{registration: {id: 'self'}}]);
		expect(bench.gateway.instances.size).toBe(3);
		expect(getCallerAddresses(bench.gateway, undefined)).toContain('c:80');
		bench.wait(10_100);
		expect([...bench.gateway.instances.rows()].map(({id}) => id)).toEqual(['b']);
	});

	test('an instance that ended before is neither advertised nor counted as alive because an older copy lists it', () => {
		const bench = createBench({instances: ['self', 'b']});
		bench.step(listed('self'));
		bench.step(returned, listed('self', 'b'));
		expect(getCallerAddresses(bench.gateway, undefined)).toEqual(['self:80']);
	});

	test('an instance that started again since the copy is not taken for its earlier process', () => {
		const bench = createBench({instances: ['self', 'b']});
		const current = createRegistration('b', {incarnation: 'b-2'});
		bench.step({kind: 'registrations', registrations: [createRegistration('self'), current]});
		bench.step(returned, listed('self', 'b'));
		expect(bench.gateway.instances.get('b')!.incarnation).toBe('b-2');
	});
});
