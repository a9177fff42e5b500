import {SendEnd} from '../../src/gateway/ports.ts';
import {TargetStanding} from '../../src/gateway/rows.ts';
import {
	createBench, createDigestFrom, createListedTarget, createPrompt, endSend, filterByKind,
} from '../support/gateways.ts';

const twoTargets = [createListedTarget('t1'), createListedTarget('t2')];

function getSentTargets(bench: ReturnType<typeof createBench>, calls = 6) {
	return new Set(Array.from({length: calls}, () => filterByKind(bench.call({}), 'send')[0]?.target));
}

test('a target that is leaving or no longer listed gets no new work', () => {
	const bench = createBench({targets: twoTargets});
	bench.step({kind: 'targets', targets: [createListedTarget('t1', {standing: TargetStanding.Leaving, revision: 2}), createListedTarget('t2')]});
	expect(getSentTargets(bench, 3)).toEqual(new Set(['t2']));
	bench.step({kind: 'targets', targets: [createListedTarget('t1', {revision: 3})]});
	expect(getSentTargets(bench, 3)).toEqual(new Set(['t1']));
});

test('a failure domain that is taken out gets no new work until it is taken back', () => {
	const bench = createBench({targets: [createListedTarget('t1'), createListedTarget('t2', {failureDomain: 'lautoka'})]});
	bench.step({kind: 'domainsOut', domains: ['suva']});
	expect(getSentTargets(bench, 3)).toEqual(new Set(['t2']));
	bench.step({kind: 'domainsOut', domains: []});
	expect(getSentTargets(bench)).toContain('t1');
});

test('after an outage of the platform a target that is not listed is kept until the relist timeout, and no longer', () => {
	const bench = createBench({targets: twoTargets});
	bench.step({kind: 'platformReach', isReached: false});
	bench.wait(5000);
	bench.step({kind: 'platformReach', isReached: true});
	bench.step({kind: 'targets', targets: [createListedTarget('t1')]});
	bench.wait(2100);
	expect(bench.gateway.targets.has('t2')).toBe(true);
	bench.wait(200);
	expect(bench.gateway.targets.has('t2')).toBe(false);
});

test.each([[2300, false], [2500, true]])('after %i ms without an answer of the platform a target that is not listed is kept: %s', (ms, isKept) => {
	const bench = createBench({targets: twoTargets});
	bench.step({kind: 'platformReach', isReached: true});
	bench.wait(ms - 100);
	bench.step({kind: 'platformReach', isReached: false});
	bench.wait(100);
	bench.step({kind: 'platformReach', isReached: true});
	bench.step({kind: 'targets', targets: [createListedTarget('t1')]});
	expect(bench.gateway.targets.has('t2')).toBe(isKept);
});

/**
Whether an instance keeps t2, which went while that instance couldn't reach the platform for 5 s.

@param platformReachedMs How long another instance then reports to have been connected to the platform.
@param platformAnsweredMs Age of the last answer that it reports, in milliseconds; 0 by default.
*/
function isKeptAfterOutage(platformReachedMs: number | undefined, platformAnsweredMs?: number) {
	const bench = createBench({targets: twoTargets, instances: ['self', 'other']});
	bench.step({kind: 'platformReach', isReached: true});
	bench.wait(2000);
	bench.step({kind: 'platformReach', isReached: false});
	bench.wait(5000);
	bench.step({kind: 'targets', targets: [createListedTarget('t1')]}, {kind: 'platformReach', isReached: true});
	bench.step(createDigestFrom('other', {platformReachedMs, ...(platformAnsweredMs !== undefined && {platformAnsweredMs})}));
	return bench.gateway.targets.has('t2');
}

test('a target that went while only this instance couldn\'t reach the platform is not kept', () => {
	expect(isKeptAfterOutage(60_000)).toBe(false);
});

test('a peer that couldn\'t reach the platform either is no reason to remove a target, nor is one that reconnected within the relist timeout', () => {
	expect(isKeptAfterOutage(undefined)).toBe(true);
	expect(isKeptAfterOutage(0)).toBe(true);
	expect(isKeptAfterOutage(2100)).toBe(true);
});

test('a target is not kept when a peer reconnected longer ago than the relist timeout', () => {
	expect(isKeptAfterOutage(2300)).toBe(false);
	// Its connection began before this instance noticed the outage, but after the platform's last answer to this instance.
	expect(isKeptAfterOutage(6000)).toBe(false);
});

test('a peer whose last answer dates from before the outage is no reason to remove a target', () => {
	expect(isKeptAfterOutage(60_000, 4000)).toBe(true);
	expect(isKeptAfterOutage(60_000, 1500)).toBe(false);
});

test('a target that was leaving is not kept during an outage', () => {
	const bench = createBench({targets: [createListedTarget('t1'), createListedTarget('t2', {standing: TargetStanding.Leaving})]});
	bench.step({kind: 'platformReach', isReached: false});
	bench.step({kind: 'targets', targets: [createListedTarget('t1')]});
	expect(bench.gateway.targets.has('t2')).toBe(false);
});

test('a target that restarts under its id is treated as a new one', () => {
	const bench = createBench({targets: [createListedTarget('t1', {pool: 'engines', slots: 64})]});
	Object.assign(bench.gateway.targets.get('t1')!, {consecutiveFailures: 7, setAsideUntil: 1e9, cachedSegments: new Map([['p', 1]])});
	bench.step({
		kind: 'targets', targets: [createListedTarget('t1', {
			pool: 'engines', slots: 64, startId: '2', revision: 2, coldForMs: 3000,
		})],
	});
	expect(bench.gateway.targets.get('t1')).toMatchObject({consecutiveFailures: 0, setAsideUntil: Number.NEGATIVE_INFINITY, cachedSegments: new Map()});
	expect(bench.gateway.targets.get('t1')!.coldUntil).toBe(bench.gateway.now + 3000);
});

test('an unchanged entry in a later list doesn\'t make its target cold again', () => {
	const cold = createListedTarget('t1', {coldForMs: 3000});
	const bench = createBench({targets: [cold]});
	const {coldUntil} = bench.gateway.targets.get('t1')!;
	bench.wait(1000);
	bench.step({kind: 'targets', targets: [cold]});
	expect(bench.gateway.targets.get('t1')!.coldUntil).toBe(coldUntil);
});

test.each([
	['removed and listed again', [[], [createListedTarget('t1', {pool: 'engines', coldForMs: 6000, revision: 2})]]],
	['replaced by another process', [[createListedTarget('t1', {
		pool: 'engines', coldForMs: 6000, startId: '2', revision: 2,
	})]]],
])('the requests in flight at a target that is %s are counted, and none are once they have ended', (_case, lists) => {
	const bench = createBench({targets: [createListedTarget('t1', {pool: 'engines'})], instances: ['self', 'other']});
	const [sent] = filterByKind(bench.call({path: '/chat/x', prompt: createPrompt('p', 1000)}), 'send');
	const {prefillBacklogTokens} = bench.gateway.targets.get('t1')!;
	expect(prefillBacklogTokens).toBeGreaterThan(0);
	for (const targets of lists) {
		bench.step({kind: 'targets', targets});
	}

	expect(bench.gateway.targets.get('t1')).toMatchObject({running: 1, prefillBacklogTokens});
	endSend(bench, sent!, SendEnd.Complete);
	expect(bench.gateway.targets.get('t1')).toMatchObject({running: 0, prefillBacklogTokens: 0});
	const [digest] = filterByKind(bench.wait(1000), 'sendDigest');
	expect(digest!.digest.targets).toMatchObject([{target: 't1', running: 0}]);
});

test('connections to a target that is listed at another address are closed', () => {
	const bench = createBench({targets: [createListedTarget('t1', {address: '10.0.0.1:1'})]});
	const outbox = bench.step({kind: 'targets', targets: [createListedTarget('t1', {address: '10.0.0.2:1', startId: '2', revision: 2})]});
	expect(filterByKind(outbox, 'targetGone')).toEqual([{kind: 'targetGone', address: '10.0.0.1:1'}]);
	expect(filterByKind(bench.step({kind: 'targets', targets: [createListedTarget('t1', {address: '10.0.0.2:1', startId: '3', revision: 3})]}), 'targetGone')).toEqual([]);
});

test('prompt segments that have left the cache of their target are forgotten', () => {
	const bench = createBench({targets: [createListedTarget('t1', {pool: 'engines'})]});
	const callWith = (segment: string) => {
		const [sent] = filterByKind(bench.call({path: '/chat/x', prompt: createPrompt(segment, 1000)}), 'send');
		endSend(bench, sent!, SendEnd.Complete);
	};

	for (let calls = 0; calls < 5; calls += 1) {
		callWith(`p${calls}`);
	}

	bench.wait(31_000);
	callWith('last');
	expect([...bench.gateway.targets.get('t1')!.cachedSegments.keys()]).toEqual(['last', 'last-own']);
});
