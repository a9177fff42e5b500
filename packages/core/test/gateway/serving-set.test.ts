/*
A fleet of many instances in which only some serve: two failure domains with one large and 30 small instances each.
*/
import {computeColdShare} from '../../src/gateway/cold-limits.ts';
import {type Gateway, createGateway} from '../../src/gateway/gateway.ts';
import {getCallerAddresses} from '../../src/gateway/instances.ts';
import type {GatewayInbound, GatewayOutboundOf, Registration} from '../../src/gateway/ports.ts';
import {runGatewayStep} from '../../src/gateway/step.ts';
import {
	createListedTarget, createRegistration, createTestCatalogue, filterByKind,
} from '../support/gateways.ts';

const domains = ['suva', 'nadi'];
const smallCount = 30;
const stepMs = 100;

function createRegistrations(): Registration[] {
	return domains.flatMap(failureDomain => [
		createRegistration(`${failureDomain}-large`, {failureDomain, capacity: 1.4}),
		...Array.from({length: smallCount}, (_, index) => createRegistration(`${failureDomain}-${index}`, {failureDomain, capacity: 0.3})),
	]);
}

/** Instances that exchange their digests without delay; stepped by the test. */
function createFleet() {
	const registrations = createRegistrations();
	const gateways = new Map<string, Gateway>();
	const cut = new Set<string>();
	const processorUse = new Map<string, number>();
	let now = 10_000;
	let inboxes = new Map<string, GatewayInbound[]>();
	let digestCounts = new Map<string, {sent: number; received: number}>();

	function start(registration: Registration) {
		const gateway = createGateway({self: registration, seed: 1, now});
		gateways.set(registration.id, gateway);
		inboxes.set(registration.id, [
			{kind: 'catalogue', catalogue: createTestCatalogue()},
			{kind: 'targets', targets: [createListedTarget('t1', {pool: 'engines', coldForMs: 60_000})]},
			{kind: 'registrations', registrations},
		]);
	}

	function deliver(from: string, {to, digest}: GatewayOutboundOf<'sendDigest'>) {
		digestCounts.get(from)!.sent += 1;
		if (!cut.has(from) && !cut.has(to) && gateways.has(to)) {
			digestCounts.get(to)!.received += 1;
			inboxes.set(to, [...inboxes.get(to) ?? [], {
				kind: 'digest', from, incarnation: gateways.get(from)!.self.incarnation, digest,
			}]);
		}
	}

	for (const registration of registrations) {
		start(registration);
	}

	return {
		gateways,
		cut,
		processorUse,
		run(ms: number) {
			digestCounts = new Map([...gateways.keys()].map(id => [id, {sent: 0, received: 0}]));
			for (const end = now + ms; now < end; now += stepMs) {
				const current = inboxes;
				inboxes = new Map();
				for (const [id, gateway] of gateways) {
					const use: GatewayInbound = {kind: 'processorUse', fraction: processorUse.get(id) ?? 0};
					for (const digest of filterByKind(runGatewayStep(gateway, now, [...current.get(id) ?? [], use]), 'sendDigest')) {
						deliver(id, digest);
					}
				}
			}

			return digestCounts;
		},
		stop(id: string) {
			gateways.delete(id);
		},
		getServing: (id: string) => [...gateways.get(id)!.servingInstances].toSorted(),
		getAddresses(id: string) {
			// Small instances are in some of the answers only.
			return new Set(Array.from({length: 100}, () => getCallerAddresses(gateways.get(id)!, undefined)).flat());
		},
	};
}

test('all instances agree on a small serving set with the largest ones, and advertise just that', () => {
	const fleet = createFleet();
	fleet.run(5000);
	const serving = fleet.getServing('suva-0');
	expect(serving).toContain('suva-large');
	expect(serving.length).toBeLessThan(16);
	for (const id of fleet.gateways.keys()) {
		expect(fleet.getServing(id)).toEqual(serving);
		expect(fleet.getAddresses(id)).toEqual(new Set(serving.map(member => `${member}:80`)));
	}
});

test('digests of a standby instance don\'t grow with the fleet, and those of a serving one with its failure domain only', () => {
	const fleet = createFleet();
	fleet.run(5000);
	const counts = fleet.run(10_000);
	const serving = fleet.getServing('suva-0');
	for (const [id, {sent, received}] of counts) {
		const isServing = serving.includes(id);
		const perSecond = isServing ? (2 * (serving.length - 1)) + smallCount + 1 : serving.length;
		expect(sent / 10).toBeLessThanOrEqual(perSecond);
		expect(received / 10).toBeLessThanOrEqual(perSecond);
	}
});

test('a small instance is in fewer answers than a large one', () => {
	const fleet = createFleet();
	fleet.run(5000);
	const gateway = fleet.gateways.get('suva-0')!;
	const answers = Array.from({length: 400}, () => getCallerAddresses(gateway, undefined));
	const count = (id: string) => answers.filter(addresses => addresses.includes(`${id}:80`)).length;
	expect(count('suva-large')).toBe(400);
	const small = fleet.getServing('suva-0').find(id => id.startsWith('suva') && id !== 'suva-large')!;
	expect(count(small)).toBeLessThan(160);
	expect(count(small)).toBeGreaterThan(30);
});

test('the set grows at once with the processor use of its members, and shrinks slowly', () => {
	const fleet = createFleet();
	fleet.run(5000);
	const before = fleet.getServing('suva-0').length;
	for (const id of fleet.getServing('suva-0')) {
		fleet.processorUse.set(id, 0.8);
	}

	fleet.run(2000);
	const during = fleet.getServing('suva-0').length;
	expect(during).toBeGreaterThan(before * 1.5);
	fleet.processorUse.clear();
	fleet.run(5000);
	expect(fleet.getServing('suva-0').length).toBeGreaterThan(before);
	fleet.run(60_000);
	expect(fleet.getServing('suva-0')).toHaveLength(before);
});

test('members that die at once are replaced, and none of them is advertised 4 s later', () => {
	const fleet = createFleet();
	fleet.run(5000);
	const dead = fleet.getServing('suva-0').filter(id => id.startsWith('suva'));
	for (const id of dead) {
		fleet.stop(id);
	}

	fleet.run(4000);
	for (const id of fleet.gateways.keys()) {
		const addresses = fleet.getAddresses(id);
		expect(dead.filter(member => addresses.has(`${member}:80`))).toEqual([]);
		expect([...addresses].filter(address => address.startsWith('suva')).length).toBeGreaterThanOrEqual(4);
	}
});

test('a member that was cut off is taken back once the cut has ended', () => {
	const fleet = createFleet();
	fleet.run(5000);
	fleet.cut.add('suva-large');
	fleet.run(8000);
	expect(fleet.getAddresses('nadi-3')).not.toContain('suva-large:80');
	fleet.cut.clear();
	fleet.run(4000);
	const serving = fleet.getServing('nadi-3');
	expect(serving).toContain('suva-large');
	for (const id of fleet.gateways.keys()) {
		expect(fleet.getServing(id)).toEqual(serving);
		expect(fleet.getAddresses(id)).toContain('suva-large:80');
	}
});

test('an instance that receives no digests advertises itself', () => {
	const fleet = createFleet();
	fleet.run(5000);
	const standby = [...fleet.gateways.keys()].find(id => !fleet.getServing('suva-0').includes(id))!;
	fleet.cut.add(standby);
	fleet.run(60_000);
	expect([...fleet.getAddresses(standby)]).toEqual([`${standby}:80`]);
});

test('the shares of a cold target\'s rate add up to the rate, and none of it is lost to standby instances', () => {
	const fleet = createFleet();
	fleet.run(5000);
	for (const rate of [11, 16, 40]) {
		const shares = [...fleet.gateways.values()].map(gateway => computeColdShare(gateway, gateway.targets.get('t1')!, rate));
		expect(shares.reduce((sum, share) => sum + share, 0)).toBe(rate);
	}
});

test('no instance removes the registration of a standby instance whose digests it doesn\'t receive', () => {
	const fleet = createFleet();
	fleet.run(20_000);
	for (const gateway of fleet.gateways.values()) {
		const outbox = runGatewayStep(gateway, gateway.now + 1, []);
		expect(filterByKind(outbox, 'remove')).toEqual([]);
	}
});
