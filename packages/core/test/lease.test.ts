import {canDispatch} from '../src/systems/membership/lease.ts';
import {getAvailableMembers} from '../src/systems/membership/membership.ts';
import {MemberState} from '../src/messages.ts';
import type {LeaseRecord} from '../src/records.ts';
import type {World} from '../src/world.ts';
import {createFleet, type Fleet} from './support/fleet.ts';
import {StoreFault} from './support/store-map.ts';

const routers = {
	a: 'x', b: 'x', c: 'y', d: 'y', e: 'y',
};
const ids = Object.keys(routers);

function startFleet(): Fleet {
	const fleet = createFleet({routers, targets: {t1: 'x', t2: 'x', t3: 'y'}});
	fleet.run(8000);
	return fleet;
}

function getDispatching(fleet: Fleet): string {
	return [...fleet.worlds].filter(([, world]) => world.now === fleet.now && canDispatch(world)).map(([id]) => id).toSorted().join('');
}

/** Drops all messages from one group of routers to another. */
function cut(fleet: Fleet, from: string, to: string) {
	const before = fleet.delay;
	fleet.delay = (sender, receiver, item) => from.includes(sender) && to.includes(receiver) ? undefined : before(sender, receiver, item);
}

function getTenure(fleet: Fleet, id: string): string {
	return fleet.worlds.get(id)!.lease.tenure;
}

test.each([StoreFault.AnswerLost, StoreFault.Cut, StoreFault.Down])('a renewal under fault %s leaves the tenure as it is', fault => {
	const fleet = startFleet();
	const before = getTenure(fleet, 'a');
	fleet.storeFault = (id, action) => id === 'a' && action.kind === 'put' ? fault : StoreFault.None;
	cut(fleet, 'a', 'bcde');
	fleet.run(2500);
	fleet.storeFault = () => StoreFault.None;
	fleet.run(3000);
	expect(getTenure(fleet, 'a')).toBe(before);
	expect(getDispatching(fleet)).toBe('abcde');
});

test('a new tenure doesn\'t wait for a first lease whose write got no answer', () => {
	const fleet = createFleet({routers});
	fleet.delay = (from, to) => to === 'a' && from === 'store' && fleet.storeMap.objects.has('lease/a') ? undefined : 1;
	fleet.run(3500);
	fleet.delay = () => 1;
	fleet.runUntil(() => getDispatching(fleet) === 'abcde', 3000);
});

test('no two writes of a lease have the same sequence, whatever the result of the first', () => {
	const fleet = startFleet();
	let turn = 0;
	fleet.storeFault = (id, action) => {
		turn += 1;
		return id === 'a' && action.kind !== 'list' ? [StoreFault.AnswerLost, StoreFault.Cut, StoreFault.Down, StoreFault.None][turn % 4]! : StoreFault.None;
	};

	fleet.run(20_000);
	const writes = fleet.outbox.flatMap(({item}) => item.kind === 'store' && item.action.kind === 'put' && item.action.key === 'lease/a' ? [item.action.value] : []);
	const nonces = new Map(writes.map(value => JSON.parse(value) as LeaseRecord).map(({sequence, nonce}) => [sequence, nonce]));
	expect(nonces.size).toBe(new Set(nonces.values()).size);
	expect(nonces.size).toBe(new Set(writes).size);
	expect(getDispatching(fleet)).toBe('abcde');
});

test('a lease whose writes never get an answer is confirmed by reading it', () => {
	const fleet = startFleet();
	fleet.storeFault = (id, action) => id === 'a' && action.kind === 'put' ? StoreFault.AnswerLost : StoreFault.None;
	cut(fleet, 'a', 'bcde');
	fleet.run(15_000);
	expect(getDispatching(fleet)).toBe('abcde');
});

test('a router that is cut off only from the Object API keeps its lease, since peers relay its renewals', () => {
	const fleet = startFleet();
	const before = getTenure(fleet, 'a');
	fleet.storeFault = id => id === 'a' ? StoreFault.Cut : StoreFault.None;
	fleet.run(30_000);
	expect(getDispatching(fleet)).toBe('abcde');
	expect(getTenure(fleet, 'a')).toBe(before);
});

test('a router paused past its lease finds it expired in its first step, and its tenure ended', () => {
	const fleet = startFleet();
	const before = getTenure(fleet, 'a');
	fleet.paused.add('a');
	fleet.run(10_000);
	fleet.paused.clear();
	fleet.run(50);
	expect(getDispatching(fleet)).toBe('bcde');
	fleet.runUntil(() => getDispatching(fleet) === 'abcde', 8000);
	expect(getTenure(fleet, 'a')).not.toBe(before);
});

const outages = [
	{
		name: 'all routers reach each other', sides: ['abcde', ''], store: '', goOn: 'abcde',
	},
	{
		name: 'a majority of routers reach each other', sides: ['abc', 'de'], store: '', goOn: 'abc',
	},
	{
		name: 'the minority reaches the Object API', sides: ['abc', 'de'], store: 'de', goOn: 'abcde',
	},
	{
		name: 'the majority reaches the Object API', sides: ['abc', 'de'], store: 'abc', goOn: 'abc',
	},
];

test.each(outages)('in a long outage $goOn continue to dispatch when $name', ({sides: [one, other], store, goOn}) => {
	const fleet = startFleet();
	cut(fleet, one!, other!);
	cut(fleet, other!, one!);
	fleet.storeFault = id => store.includes(id) ? StoreFault.None : StoreFault.Down;
	fleet.run(600_000);
	expect(getDispatching(fleet)).toBe(goOn);
});

test('a router that sends digests but receives none stops dispatching in an outage', () => {
	const fleet = startFleet();
	cut(fleet, 'bcde', 'a');
	fleet.storeFault = () => StoreFault.Down;
	fleet.run(10_000);
	expect(getDispatching(fleet)).toBe('bcde');
});

test('after an outage all go on with the tenures that they had', () => {
	const fleet = startFleet();
	const before = ids.map(id => getTenure(fleet, id));
	fleet.storeFault = () => StoreFault.Down;
	fleet.run(60_000);
	fleet.storeFault = () => StoreFault.None;
	fleet.run(5000);
	expect(ids.map(id => getTenure(fleet, id))).toEqual(before);
	expect(getDispatching(fleet)).toBe('abcde');
});

test('a restart with an empty memory waits until the lease of the earlier start has expired', () => {
	const fleet = startFleet();
	fleet.kill('a');
	fleet.start('a');
	fleet.run(4000);
	expect(getDispatching(fleet)).toBe('bcde');
	fleet.runUntil(() => getDispatching(fleet) === 'abcde', 8000);
});

test('a new start has no full vote, since the earlier start may continue with the other half of the fleet', () => {
	const fleet = startFleet();
	cut(fleet, 'bc', 'ade');
	cut(fleet, 'ade', 'bc');
	fleet.storeFault = id => 'bc'.includes(id) ? StoreFault.Cut : StoreFault.None;
	fleet.start('a');
	fleet.run(30_000);
	expect(getDispatching(fleet)).toBe('de');
});

test.each(['a', 'ab', 'abcd'])('a new start takes over from the earlier one when nothing else fails (fleet of %s)', members => {
	const fleet = createFleet({routers: Object.fromEntries([...members].map(id => [id, 'x']))});
	fleet.run(8000);
	fleet.start('a');
	fleet.runUntil(() => getDispatching(fleet) === members, 12_000);
});

test('a router that was replaced under its own id never dispatches again', () => {
	const fleet = startFleet();
	const replaced: World = fleet.worlds.get('a')!;
	fleet.start('a');
	fleet.runUntil(() => getDispatching(fleet) === 'abcde', 12_000);
	replaced.now = fleet.now;
	expect(canDispatch(replaced)).toBe(false);
});

test('a stopping router hands over all targets, deletes its lease and is no longer a member', () => {
	const fleet = startFleet();
	fleet.stop('a');
	fleet.run(200);
	expect(getAvailableMembers(fleet.worlds.get('b')!).map(member => member.id)).toEqual(['b', 'c', 'd', 'e']);
	fleet.runUntil(() => !fleet.storeMap.objects.has('lease/a'), 12_000);
	expect(fleet.worlds.get('a')!.state).toBe(MemberState.Leaving);
	fleet.kill('a');
	fleet.runUntil(() => fleet.worlds.get('b')!.peerLiveness.get('a')?.tenure === '', 5000);
	for (const target of ['t1', 't2', 't3']) {
		expect(fleet.getServingRouters(target)).toHaveLength(1);
	}
});

test.each([3, 9])('a fleet of %d routers that all restart at once serves its targets again', count => {
	const names = Array.from({length: count}, (_, index) => `r${index}`);
	const fleet = createFleet({
		routers: Object.fromEntries(names.map(name => [name, 'x'])), targets: {t1: 'x', t2: 'x'}, bindsAddress: true,
	});
	const isServed = () => ['t1', 't2'].every(target => fleet.getServingRouters(target).length === 1);
	fleet.runUntil(isServed, 6000);
	for (const name of names) {
		fleet.kill(name);
	}

	fleet.run(1000);
	for (const name of names) {
		fleet.start(name);
	}

	fleet.runUntil(isServed, 10_000);
});
