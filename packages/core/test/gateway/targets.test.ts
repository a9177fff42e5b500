import {TargetStanding} from '../../src/gateway/rows.ts';
import {
	benchOf, heardFrom, itemsOf, targetOf,
} from '../support/gateways.ts';

const both = [targetOf('t1'), targetOf('t2')];

function targetsSent(bench: ReturnType<typeof benchOf>, calls = 6) {
	return new Set(Array.from({length: calls}, () => itemsOf(bench.call({}), 'send')[0]?.target));
}

test('a target that is leaving or gone gets no new work', () => {
	const bench = benchOf({targets: both});
	bench.step({kind: 'targets', targets: [targetOf('t1', {standing: TargetStanding.Leaving, revision: 2}), targetOf('t2')]});
	expect(targetsSent(bench, 3)).toEqual(new Set(['t2']));
	bench.step({kind: 'targets', targets: [targetOf('t1', {revision: 3})]});
	expect(targetsSent(bench, 3)).toEqual(new Set(['t1']));
});

test('a failure domain that is taken out gets no new work until it is taken back', () => {
	const bench = benchOf({targets: [targetOf('t1'), targetOf('t2', {failureDomain: 'lautoka'})]});
	bench.step({kind: 'domainsOut', domains: ['suva']});
	expect(targetsSent(bench, 3)).toEqual(new Set(['t2']));
	bench.step({kind: 'domainsOut', domains: []});
	expect(targetsSent(bench)).toContain('t1');
});

test('after an outage of the platform a target that lapsed is kept until it had time to come back, and no longer', () => {
	const bench = benchOf({targets: both});
	bench.step({kind: 'platformReach', isReached: false});
	bench.step({kind: 'platformReach', isReached: true});
	bench.step({kind: 'targets', targets: [targetOf('t1')]});
	bench.wait(2100);
	expect(bench.gateway.targets.has('t2')).toBe(true);
	bench.wait(200);
	expect(bench.gateway.targets.has('t2')).toBe(false);
});

/** An instance that missed the platform for 5 s, in which t2 went, and then hears of another that tells its own reach. */
function afterLoss(platformReachedMs: number | undefined) {
	const bench = benchOf({targets: both, instances: ['self', 'other']});
	bench.step({kind: 'platformReach', isReached: true});
	bench.wait(2000);
	bench.step({kind: 'platformReach', isReached: false});
	bench.wait(5000);
	bench.step({kind: 'targets', targets: [targetOf('t1')]}, {kind: 'platformReach', isReached: true});
	bench.step(heardFrom('other', {platformReachedMs}));
	return bench.gateway.targets.has('t2');
}

test('a target that went while only this instance missed the platform is not kept', () => {
	expect(afterLoss(60_000)).toBe(false);
});

test('a peer that lost the platform too, or reached it again since, is no reason to drop a target', () => {
	expect(afterLoss(undefined)).toBe(true);
	expect(afterLoss(4000)).toBe(true);
	// It reached the platform before this instance noticed, but after its last answer.
	expect(afterLoss(6000)).toBe(true);
});

test('a target that was leaving is not kept over an outage', () => {
	const bench = benchOf({targets: [targetOf('t1'), targetOf('t2', {standing: TargetStanding.Leaving})]});
	bench.step({kind: 'platformReach', isReached: false});
	bench.step({kind: 'targets', targets: [targetOf('t1')]});
	expect(bench.gateway.targets.has('t2')).toBe(false);
});

test('a target that starts again under its id is known as a new one', () => {
	const bench = benchOf({targets: [targetOf('t1', {pool: 'engines', slots: 64})]});
	Object.assign(bench.gateway.targets.get('t1')!, {failuresInRow: 7, setAsideUntil: 1e9, parts: new Map([['p', 1]])});
	bench.step({
		kind: 'targets', targets: [targetOf('t1', {
			pool: 'engines', slots: 64, start: '2', revision: 2, coldForMs: 3000,
		})],
	});
	expect(bench.gateway.targets.get('t1')).toMatchObject({failuresInRow: 0, setAsideUntil: Number.NEGATIVE_INFINITY, parts: new Map()});
	expect(bench.gateway.targets.get('t1')!.coldUntil).toBe(bench.gateway.now + 3000);
});

test('a list that repeats an entry doesn\'t make its target cold again', () => {
	const cold = targetOf('t1', {coldForMs: 3000});
	const bench = benchOf({targets: [cold]});
	const {coldUntil} = bench.gateway.targets.get('t1')!;
	bench.wait(1000);
	bench.step({kind: 'targets', targets: [cold]});
	expect(bench.gateway.targets.get('t1')!.coldUntil).toBe(coldUntil);
});
