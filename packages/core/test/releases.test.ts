import fc from 'fast-check';
import {AuditAction} from '../src/release.ts';
import {Standing} from '../src/configuration.ts';
import type {ReleaseAnswer, StoreOperation} from '../src/ports.ts';
import {maxStoredBytes} from '../src/release-codec.ts';
import type {ReleaseNote} from '../src/release-note.ts';
import {createFleet, type Fleet} from './support/fleet.ts';
import {StoreFault} from './support/store-map.ts';

const routers = {a: 'x', b: 'y', c: 'z'};
const targets = {t1: 'x', t2: 'y'};

function createOutNote(name: string): ReleaseNote {
	return {changed: {failureDomains: [{name, standing: Standing.Out}]}};
}

function propose(fleet: Fleet, to: string, note: unknown, ifRevision?: number, more: {action?: AuditAction; reason?: string} = {}) {
	fleet.deliver(to, {
		kind: 'releaseProposed',
		proposal: `${to}-${fleet.now}`,
		note,
		operator: 'op',
		action: AuditAction.ReleaseApply,
		reason: 'drill',
		at: '2026-01-01T00:00:00Z',
		...(ifRevision !== undefined && {ifRevision}),
		...more,
	});
}

function getAnswers(fleet: Fleet): Array<ReleaseAnswer & {from: string}> {
	return fleet.outbox.flatMap(({from, item}) => item.kind === 'releaseAnswered' ? [{from, ...item.answer}] : []);
}

function getRevisions(fleet: Fleet): number[] {
	return [...fleet.worlds.values()].map(world => world.configuration.revision);
}

test('an accepted release is in force everywhere, also at a router that restarts later', () => {
	const fleet = createFleet({routers, targets});
	fleet.run(1000);
	propose(fleet, 'a', createOutNote('x'), 1);
	fleet.run(500);
	expect(getAnswers(fleet)).toEqual([{from: 'a', kind: 'accepted', revision: 2}]);
	expect(getRevisions(fleet)).toEqual([2, 2, 2]);
	fleet.kill('b');
	fleet.start('b');
	fleet.run(500);
	expect(fleet.worlds.get('b')!.configuration.failureDomains.get('x')!.standing).toBe(Standing.Out);
});

const lostWrites = [
	{fault: StoreFault.AnswerLost, kind: 'accepted', revision: 2},
	{fault: StoreFault.Cut, kind: 'accepted', revision: 2},
	{fault: StoreFault.Down, kind: 'unavailable', revision: 1},
];

test.each(lostWrites)('a release whose write fails once with fault $fault is $kind and takes effect at most once', ({fault, kind, revision}) => {
	const fleet = createFleet({routers, targets});
	fleet.run(1000);
	let left = 1;
	fleet.storeFault = (_id, action) => {
		if (left === 0 || action.kind !== 'put' || !action.key.startsWith('release/')) {
			return StoreFault.None;
		}

		left -= 1;
		return fault;
	};

	propose(fleet, 'a', createOutNote('x'));
	fleet.run(5000);
	expect(getAnswers(fleet).map(answer => answer.kind)).toEqual([kind]);
	expect(getRevisions(fleet)).toEqual([revision, revision, revision]);
});

const unconfirmedWrites: Array<{name: string; writes: StoreFault[]; reads: StoreFault; kind: ReleaseAnswer['kind']}> = [
	{
		name: 'the write is lost and then the store is down', writes: [StoreFault.Cut, StoreFault.Down], reads: StoreFault.None, kind: 'unknown',
	},
	{
		name: 'the answer is lost and the release can\'t be read back', writes: [StoreFault.AnswerLost], reads: StoreFault.Down, kind: 'unknown',
	},
	{
		name: 'no write is ever answered', writes: Array.from({length: 9}, () => StoreFault.Cut), reads: StoreFault.None, kind: 'unknown',
	},
	{
		name: 'the store is down from the start', writes: [StoreFault.Down], reads: StoreFault.Down, kind: 'unavailable',
	},
];

test.each(unconfirmedWrites)('the operator gets the answer $kind when $name', ({writes, reads, kind}) => {
	const fleet = createFleet({routers, targets});
	fleet.run(1000);
	const left = [...writes];
	const isWrite = (action: StoreOperation) => action.kind === 'put' && action.key.startsWith('release/');
	const isRead = (action: StoreOperation) => action.kind === 'get' && action.key.startsWith('release/');
	fleet.storeFault = (_id, action) => isWrite(action) ? left.shift() ?? StoreFault.None : (isRead(action) ? reads : StoreFault.None);
	propose(fleet, 'a', createOutNote('x'));
	fleet.run(30_000);
	expect(getAnswers(fleet).map(answer => answer.kind)).toEqual([kind]);
});

test('the operator\'s action reaches the audit entry, and a note that is too large is refused', () => {
	const fleet = createFleet({routers, targets});
	fleet.run(1000);
	propose(fleet, 'a', createOutNote('x'), undefined, {action: AuditAction.DomainOut});
	fleet.run(500);
	expect(JSON.parse(fleet.storeMap.objects.get('release/00000002')!.value)).toMatchObject({audit: {action: 'domain out'}});
	propose(fleet, 'a', createOutNote('y'), undefined, {reason: 'r'.repeat(maxStoredBytes)});
	fleet.run(500);
	expect(getAnswers(fleet).at(-1)).toMatchObject({kind: 'invalid', problems: [{kind: 'tooLarge'}]});
});

test('a stored release that can\'t be decoded is logged and changes nothing', () => {
	const fleet = createFleet({routers, targets});
	fleet.run(1000);
	fleet.deliver('b', {kind: 'storeEvent', object: {key: 'release/00000002', version: 99, value: '{"revision":2}'}});
	fleet.run(100);
	expect(fleet.outbox.filter(({from, item}) => from === 'b' && item.kind === 'log' && item.level === 'error')).toHaveLength(1);
	expect(getRevisions(fleet)).toEqual([1, 1, 1]);
});

const races = [
	{
		name: 'both are applied when neither named a revision', ifRevision: undefined, kinds: ['accepted', 'accepted'], revision: 3,
	},
	{
		name: 'one gets the other\'s revision and audit entry when both named the same revision', ifRevision: 1, kinds: ['accepted', 'superseded'], revision: 2,
	},
];

test.each(races)('of two operators that race $name', ({ifRevision, kinds, revision}) => {
	const fleet = createFleet({routers, targets});
	fleet.run(1000);
	propose(fleet, 'a', createOutNote('x'), ifRevision);
	propose(fleet, 'b', createOutNote('y'), ifRevision);
	fleet.run(2000);
	expect(getAnswers(fleet).map(answer => answer.kind).toSorted()).toEqual(kinds);
	expect(getRevisions(fleet)).toEqual([revision, revision, revision]);
	const superseded = getAnswers(fleet).find(answer => answer.kind === 'superseded');
	expect(superseded).toEqual(ifRevision === undefined ? undefined : expect.objectContaining({revision: 2, audit: expect.objectContaining({operator: 'op'})}));
});

test('a note that can\'t be applied is refused with its problems', () => {
	const fleet = createFleet({routers, targets});
	fleet.run(1000);
	propose(fleet, 'a', createOutNote('nowhere'));
	propose(fleet, 'a', {changed: 1});
	fleet.run(1000);
	expect(getAnswers(fleet).map(answer => answer.kind)).toEqual(['invalid', 'invalid']);
});

test('a router without the Object API and without watch events receives releases from a peer', () => {
	const fleet = createFleet({routers, targets});
	fleet.run(5000);
	fleet.storeFault = id => id === 'c' ? StoreFault.Cut : StoreFault.None;
	propose(fleet, 'a', createOutNote('x'));
	propose(fleet, 'a', createOutNote('y'));
	fleet.run(3000);
	expect(getRevisions(fleet)).toEqual([3, 3, 3]);
});

test('duplicate, late, reordered and missing watch events never lower a revision, and all routers reach the same one', () => {
	fc.assert(fc.property(fc.array(fc.option(fc.integer({min: 1, max: 6000})), {minLength: 30, maxLength: 30}), delays => {
		const fleet = createFleet({routers, targets});
		fleet.run(2000);
		const seen = new Map<string, number>();
		let draws = 0;
		fleet.delay = from => {
			draws += 1;
			return from === 'watch' ? delays[draws % delays.length] ?? undefined : 1;
		};

		fleet.check = () => {
			for (const [id, world] of fleet.worlds) {
				expect(world.configuration.revision).toBeGreaterThanOrEqual(seen.get(id) ?? 0);
				seen.set(id, world.configuration.revision);
			}
		};

		for (const name of ['x', 'y', 'x', 'y']) {
			propose(fleet, 'a', createOutNote(name));
			fleet.run(400);
			const old = fleet.storeMap.objects.get('release/00000002');
			fleet.deliver('b', {kind: 'storeEvent', object: old!});
			fleet.deliver('c', {kind: 'storeEvent', object: {...old!, value: ''}});
		}

		fleet.run(4000);
		expect(getRevisions(fleet)).toEqual([5, 5, 5]);
	}), {seed: 7, numRuns: 30});
});

test('a router that starts after a hundred releases loads a snapshot and the releases after it', () => {
	const fleet = createFleet({routers, targets});
	fleet.run(1000);
	for (let revision = 2; revision <= 103; revision += 1) {
		propose(fleet, 'a', createOutNote('x'));
		fleet.run(200);
	}

	expect(fleet.storeMap.objects.has('snapshot/00000100')).toBe(true);
	fleet.kill('c');
	fleet.start('c');
	fleet.run(1000);
	expect(getRevisions(fleet)).toEqual([103, 103, 103]);
	expect(fleet.worlds.get('c')!.releases.encoded.has(100)).toBe(false);
});
