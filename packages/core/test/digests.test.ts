import fc from 'fast-check';
import type {Digest} from '../src/messages.ts';
import {isAlive} from '../src/systems/membership/quorum.ts';
import {heartbeatWindow} from '../src/systems/membership/heartbeat-entries.ts';
import {charge, getOrCreateServedTokens, setWaiting} from '../src/systems/fair-shares/served-tokens.ts';
import type {World} from '../src/world.ts';
import {createFleet, type Fleet} from './support/fleet.ts';

const domains = ['x', 'y', 'z'];

function getDomain(id: string): string {
	return domains[Number(id.slice(1)) % domains.length]!;
}

function startFleet(count: number): Fleet {
	const ids = Array.from({length: count}, (_, index) => `r${String(index).padStart(2, '0')}`);
	const fleet = createFleet({routers: Object.fromEntries(ids.map(id => [id, getDomain(id)]))});
	fleet.run(4000);
	return fleet;
}

function digestsSince(fleet: Fleet, at: number): Array<{from: string; to: string; digest: Digest}> {
	return fleet.outbox.flatMap(({at: sentAt, from, item}) =>
		sentAt > at && item.kind === 'send' && item.message.kind === 'digest' ? [{from, to: item.to, digest: item.message}] : []);
}

function seesAlive({worlds}: Fleet, observer: string, id: string): boolean {
	const world = worlds.get(observer)!;
	return isAlive(world, world.members.get(id)!);
}

describe('heartbeats of other members in a digest', () => {
	it.each([3, 17, 24])('are limited in number and echo the receiver in a fleet of %d', count => {
		const fleet = startFleet(count);
		const from = fleet.now;
		fleet.run(1000);
		const digests = digestsSince(fleet, from);
		expect(digests.length).toBeGreaterThan(0);
		for (const {from: sender, to, digest} of digests) {
			const reported = digest.heard.map(({member}) => member);
			expect(reported.length).toBeLessThanOrEqual(heartbeatWindow + 2);
			expect(new Set(reported).size).toBe(reported.length);
			expect(reported).toEqual(expect.arrayContaining([sender, to]));
		}
	});

	it('report every member in turn', () => {
		const fleet = startFleet(24);
		const from = fleet.now;
		fleet.run(1000);
		const reported = digestsSince(fleet, from).filter(({from: sender}) => sender === 'r00').flatMap(({digest}) => digest.heard);
		expect(new Set(reported.map(({member}) => member)).size).toBe(24);
	});

	it.each([
		{cut: 'one way', isCut: (from: string, to: string) => from === 'r01' && to === 'r00'},
		{cut: 'both ways', isCut: (from: string, to: string) => [from, to].toSorted().join(' ') === 'r00 r01'},
		{cut: 'with those between their domains', isCut: (from: string, to: string) => [getDomain(from), getDomain(to)].toSorted().join('') === 'xy'},
	])('keep two members alive to each other through the rest while their stream is cut $cut', ({isCut}) => {
		const fleet = startFleet(24);
		fleet.delay = (from, to) => from.startsWith('r') && to.startsWith('r') && isCut(from, to) ? undefined : 1;
		fleet.check = () => {
			if (fleet.now % 1000 === 0) {
				expect(seesAlive(fleet, 'r00', 'r01')).toBe(true);
			}
		};

		fleet.run(6000);
	});

	it('don\'t keep a member alive that is cut off from all others', () => {
		const fleet = startFleet(24);
		fleet.delay = (from, to) => from === 'r01' || to === 'r01' ? undefined : 1;
		fleet.run(2000);
		expect(seesAlive(fleet, 'r00', 'r01')).toBe(false);
		expect(seesAlive(fleet, 'r01', 'r00')).toBe(false);
	});
});

const entry = {pool: 'm', workspace: 'w'};

function getRemoteService(world: World): number {
	return world.servedTokens.get('m/w')?.remote ?? 0;
}

describe('service counters', () => {
	it('of an idle workspace are sent in every eighth digest, and in the next one when it has waiting tickets elsewhere', () => {
		const fleet = startFleet(3);
		const world = fleet.worlds.get('r00')!;
		charge(world, getOrCreateServedTokens(world, entry), 100);
		const from = fleet.now;
		fleet.run(4000);
		const idle = digestsSince(fleet, from).filter(({from: sender, to}) => sender === 'r00' && to === 'r01');
		expect(idle.filter(({digest}) => digest.services.length > 0)).toHaveLength(idle.length / 8);

		const other = fleet.worlds.get('r01')!;
		setWaiting(other, getOrCreateServedTokens(other, entry), 1, 0);
		charge(world, getOrCreateServedTokens(world, entry), 50);
		fleet.run((2 * world.limits.digestMs) + 50);
		expect(getRemoteService(other)).toBe(50);
	});

	it('reach the true sum whichever digests are lost, late or out of order, and never decrease', () => {
		fc.assert(fc.property(
			fc.array(fc.record({ms: fc.integer({min: 50, max: 1500}), amount: fc.integer({min: 1, max: 1000}), owner: fc.constantFrom('r00', 'r01')}), {minLength: 1, maxLength: 12}),
			fc.infiniteStream(fc.option(fc.integer({min: 1, max: 700}), {freq: 2, nil: undefined})),
			(charges, delays) => {
				const fleet = startFleet(3);
				const observer = fleet.worlds.get('r02')!;
				for (const owner of ['r00', 'r01']) {
					const world = fleet.worlds.get(owner)!;
					setWaiting(world, getOrCreateServedTokens(world, entry), 1, 0);
				}

				fleet.run(2500);
				fleet.delay = (_from, _to, item) => item.kind === 'send' && item.message.kind === 'digest' ? delays.next().value as number | undefined : 1;
				let last = getRemoteService(observer);
				fleet.check = () => {
					expect(getRemoteService(observer)).toBeGreaterThanOrEqual(last);
					last = getRemoteService(observer);
				};

				let sum = 0;
				for (const {ms, amount, owner} of charges) {
					const world = fleet.worlds.get(owner)!;
					charge(world, getOrCreateServedTokens(world, entry), amount);
					sum += amount;
					fleet.run(ms);
				}

				fleet.delay = () => 1;
				fleet.run(5000);
				expect(getRemoteService(observer)).toBe(sum);
			},
		), {seed: 11, numRuns: 20});
	});
});
