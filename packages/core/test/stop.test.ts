import {AttemptEnd} from '../src/messages.ts';
import {Outcome, RefusalKind} from '../src/refusal.ts';
import {getAddresses} from '../src/systems/requests/addresses.ts';
import {computeWithdrawalMs} from '../src/systems/stop/leaving.ts';
import {createFleet, tickMs, type Fleet} from './support/fleet.ts';
import {StoreFault} from './support/store-map.ts';

const targets = {t1: 'x', t2: 'x', t3: 'y'};
const targetIds = Object.keys(targets);

function startFleet(...ids: string[]): Fleet {
	const fleet = createFleet({routers: Object.fromEntries(ids.map((id, index) => [id, index < 2 ? 'x' : 'y'])), targets});
	fleet.run(9000);
	expect(targetIds.map(target => fleet.getServingRouters(target).length)).toEqual([1, 1, 1]);
	return fleet;
}

function hasStopped(fleet: Fleet, id: string): boolean {
	return fleet.outbox.some(({from, item}) => from === id && item.kind === 'stopped');
}

/** Runs until the routers have stopped, and removes each when it stops, as its process exits; returns the elapsed time in ms. */
function runUntilStopped(fleet: Fleet, ids: string[], limitMs: number): number {
	const left = new Set(ids);
	return fleet.runUntil(() => {
		for (const id of left) {
			if (hasStopped(fleet, id)) {
				fleet.kill(id);
				left.delete(id);
			}
		}

		return left.size === 0;
	}, limitMs);
}

function ask(fleet: Fleet, router: string, id: string) {
	fleet.deliver(router, {
		kind: 'callerRequest', request: {
			id: `${router}/${id}`, workspace: 'w', pool: 'm', inputTokens: 10, costHint: 10, prefixHash: 0,
			deadline: fleet.now + 30_000, once: false, idempotencyKey: '',
		},
	});
}

/** Last outbox item that starts an answer to a request or refuses it. */
function findOutcome(fleet: Fleet, request: string) {
	return fleet.outbox.map(({item}) => item).findLast(item => 'request' in item && item.request === request && (item.kind === 'refuse' || item.kind === 'startAnswer'));
}

function endAnswer(fleet: Fleet, router: string, id: string) {
	const {target} = fleet.worlds.get(router)!.requests.get(`${router}/${id}`)!;
	fleet.deliver(router, {
		kind: 'answerEnded', request: `${router}/${id}`, target, end: AttemptEnd.Whole, outputTokens: 5, delivered: true, firstByteMs: 10, betweenTokensMs: 5,
	});
}

const down = () => StoreFault.Down;
const cut = () => StoreFault.Cut;

const stops: Array<{name: string; stopped: string[]; fault?: (fleet: Fleet) => void; extraMs: number}> = [
	{name: 'one of three', stopped: ['a'], extraMs: 500},
	{name: 'two of three at once', stopped: ['a', 'b'], extraMs: 500},
	{name: 'all at once', stopped: ['a', 'b', 'c'], extraMs: 1500},
	{
		name: 'one while another is killed', stopped: ['a'], extraMs: 3000, fault(fleet) {
			fleet.kill('b');
		},
	},
	{
		name: 'one while both others are killed', stopped: ['a'], extraMs: 10_500, fault(fleet) {
			fleet.kill('b');
			fleet.kill('c');
		},
	},
	{
		name: 'one while the store is down', stopped: ['a'], extraMs: 12_500, fault(fleet) {
			fleet.storeFault = down;
		},
	},
	{
		name: 'one while the store does not answer', stopped: ['a'], extraMs: 14_500, fault(fleet) {
			fleet.storeFault = cut;
		},
	},
	{
		name: 'all while the store is down', stopped: ['a', 'b', 'c'], extraMs: 12_500, fault(fleet) {
			fleet.storeFault = down;
		},
	},
	{
		name: 'all while store answers are lost', stopped: ['a', 'b', 'c'], extraMs: 14_500, fault(fleet) {
			fleet.storeFault = () => StoreFault.AnswerLost;
		},
	},
	{
		name: 'one that is cut off from its peers', stopped: ['a'], extraMs: 12_500, fault(fleet) {
			fleet.delay = (from, to, item) => item.kind === 'send' && (from === 'a' || to === 'a') ? undefined : 1;
		},
	},
];

test.each(stops)('a planned stop ends, but not before callers have discarded the address: $name', ({stopped, fault, extraMs}) => {
	const fleet = startFleet('a', 'b', 'c');
	const withdrawalMs = computeWithdrawalMs(fleet.worlds.get('a')!);
	fault?.(fleet);
	for (const id of stopped) {
		fleet.stop(id);
	}

	const took = runUntilStopped(fleet, stopped, withdrawalMs + extraMs);
	expect(took).toBeGreaterThanOrEqual(withdrawalMs);
});

test('routers that stop one after the other end, and the last one gives up its targets, so that the next start claims them within 2 s', () => {
	const fleet = startFleet('a', 'b');
	const withdrawalMs = computeWithdrawalMs(fleet.worlds.get('a')!);
	for (const id of ['a', 'b']) {
		fleet.stop(id);
		runUntilStopped(fleet, [id], withdrawalMs + 1500);
	}

	for (const target of targetIds) {
		expect(JSON.parse(fleet.storeMap.objects.get(`owner/${target}`)!.value)).toMatchObject({owner: ''});
	}

	fleet.start('b');
	const took = fleet.runUntil(() => targetIds.every(target => fleet.getServingRouters(target).length === 1), 5000);
	expect(took).toBeLessThanOrEqual(2000);
});

test.each([{stopped: ['a']}, {stopped: ['a', 'b', 'c']}])('requests are served while callers may have cached the address and refused afterwards: stopping $stopped', ({stopped}) => {
	const fleet = startFleet('a', 'b', 'c');
	const withdrawalMs = computeWithdrawalMs(fleet.worlds.get('a')!);
	for (const id of stopped) {
		fleet.stop(id);
	}

	fleet.run(withdrawalMs - 1000);
	ask(fleet, 'a', 'r1');
	fleet.run(900);
	expect(findOutcome(fleet, 'a/r1')).toMatchObject({kind: 'startAnswer'});
	fleet.run(1000);
	ask(fleet, 'a', 'r2');
	fleet.run(100);
	expect(findOutcome(fleet, 'a/r2')).toMatchObject({kind: 'refuse', refusal: {kind: RefusalKind.Stopping, outcome: Outcome.NotRun}});
	const outcome = findOutcome(fleet, 'a/r2');
	expect(outcome?.kind === 'refuse' && outcome.refusal.retryAfterMs).toBeGreaterThan(0);
});

test.each([StoreFault.None, StoreFault.Down])('a stop waits without limit for a running answer: store fault %s', storeFault => {
	const fleet = startFleet('a', 'b', 'c');
	ask(fleet, 'a', 'r1');
	fleet.run(500);
	fleet.storeFault = () => storeFault;
	fleet.stop('a');
	fleet.run(40_000);
	expect(hasStopped(fleet, 'a')).toBe(false);
	expect(fleet.worlds.get('a')!.requests.size).toBe(1);
	endAnswer(fleet, 'a', 'r1');
	runUntilStopped(fleet, ['a'], 3000);
});

test('no address list contains a router that stops or has stopped, and every target has exactly one owner among the others', () => {
	const fleet = startFleet('a', 'b', 'c');
	fleet.stop('a');
	fleet.run(200);
	const end = fleet.now + 20_000;
	while (fleet.now < end) {
		fleet.run(tickMs);
		for (const id of ['b', 'c']) {
			expect(getAddresses(fleet.worlds.get(id)!).map(({url}) => url)).not.toContain('http://a');
		}

		expect(targetIds.map(target => fleet.getServingRouters(target).filter(id => id !== 'a').length)).toEqual([1, 1, 1]);
		if (hasStopped(fleet, 'a')) {
			fleet.kill('a');
		}
	}

	expect(fleet.worlds.has('a')).toBe(false);
});
