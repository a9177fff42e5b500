import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import {AttemptEnd} from '../src/messages.ts';
import {Outcome} from '../src/refusal.ts';
import type {StoreOperation} from '../src/ports.ts';
import {hasValidLease} from '../src/systems/membership/lease.ts';
import {
	sendOnceRequest, createRunningFleet, endAttempt, getOutbound, getStarts,
} from './support/calls.ts';
import {tickMs, type Fleet} from './support/fleet.ts';
import {StoreFault} from './support/store-map.ts';

const routers = ['a', 'b', 'c'];
const keys = ['k1', 'k2', 'k3', 'k4'];
const steps = 150;

type Trial = {
	fleet: Fleet;
	pick: <Item>(items: readonly Item[]) => Item;
	chance: (percent: number) => boolean;
	/** Idempotency key of each request. */
	keysByRequest: Map<string, string>;
	/** Ends of the attempts that were started, by request; shorter than the list of starts while one runs. */
	endsByRequest: Map<string, AttemptEnd[]>;
	/** Incarnation of the router that received each request. */
	incarnationsByRequest: Map<string, string>;
};

const isRunOperation = (action: StoreOperation) => action.kind !== 'list' && action.key.startsWith('run/');

function sendRandomRequest({fleet, pick, keysByRequest, incarnationsByRequest}: Trial) {
	const router = pick([...fleet.worlds.keys()]);
	const key = pick(keys);
	const request = sendOnceRequest(fleet, router, key, pick([500, 3000, 20_000]));
	keysByRequest.set(request, key);
	incarnationsByRequest.set(request, fleet.worlds.get(router)!.self.incarnation);
}

/** Returns requests whose latest attempt has not ended and whose router has not been restarted. */
function findRunningRequests({fleet, keysByRequest, endsByRequest, incarnationsByRequest}: Trial): string[] {
	return [...keysByRequest.keys()].filter(request => getStarts(fleet, request).length > (endsByRequest.get(request)?.length ?? 0)
		&& fleet.worlds.get(getStarts(fleet, request)[0]!.from)?.self.incarnation === incarnationsByRequest.get(request));
}

function endRequest({fleet, endsByRequest}: Trial, request: string, how: AttemptEnd) {
	endAttempt(fleet, request, how, how === AttemptEnd.Whole ? {answer: `answer to ${request}`} : {});
	endsByRequest.set(request, [...endsByRequest.get(request) ?? [], how]);
}

function endRandomAttempt(trial: Trial) {
	const running = findRunningRequests(trial);
	if (running.length > 0) {
		endRequest(trial, trial.pick(running), trial.pick([AttemptEnd.Whole, AttemptEnd.Whole, AttemptEnd.NotSent, AttemptEnd.Broken]));
	}
}

function injectFaults({fleet, pick, chance}: Trial) {
	const router = pick(routers);
	// Restarts of all routers within one lease duration are covered by the tests of membership.
	if (chance(20) && routers.every(other => other === router || hasValidLease(fleet.worlds.get(other)!))) {
		fleet.kill(router);
		fleet.start(router);
	}

	if (chance(20) && !fleet.paused.delete(router)) {
		fleet.paused.add(router);
	}

	const fault = pick([StoreFault.None, StoreFault.None, StoreFault.Down, StoreFault.AnswerLost, StoreFault.Cut]);
	const lateMs = pick([1, 1, 300, 2500]);
	fleet.storeFault = (_router, action) => isRunOperation(action) && chance(60) ? fault : StoreFault.None;
	fleet.delay = (_from, to, item) => to === 'store' && item.kind === 'store' && isRunOperation(item.action) && chance(50) ? lateMs : 1;
}

/** Returns the request of each attempt of a key that was sent to a target, or may have been. */
function findSentRequests({fleet, keysByRequest, endsByRequest}: Trial, key: string): string[] {
	return [...keysByRequest].filter(([, of]) => of === key)
		.flatMap(([request]) => getStarts(fleet, request).map((_, index) => ({request, attemptEnd: endsByRequest.get(request)?.[index]})))
		.filter(({attemptEnd}) => attemptEnd !== AttemptEnd.NotSent)
		.map(({request}) => request);
}

function expectTruthfulAnswers(trial: Trial) {
	for (const key of keys) {
		const runs = findSentRequests(trial, key);
		expect(runs.length).toBeLessThanOrEqual(1);
		for (const [request] of [...trial.keysByRequest].filter(([, of]) => of === key)) {
			for (const {item} of getOutbound(trial.fleet, request, 'replay')) {
				expect(item.answer).toBe(`answer to ${runs[0]}`);
			}

			for (const {item} of getOutbound(trial.fleet, request, 'refuse')) {
				expect(item.refusal.outcome === Outcome.NotRun && runs.includes(request)).toBe(false);
			}
		}
	}
}

test.each(Array.from({length: 30}, (_, index) => index + 1))('random faults, seed %i: no key runs twice, and every answer and outcome is true', seed => {
	const generator = xoroshiro128plus(seed);
	const below = (count: number) => unsafeUniformIntDistribution(0, count - 1, generator);
	const trial: Trial = {
		fleet: createRunningFleet(),
		pick: items => items[below(items.length)]!,
		chance: percent => below(100) < percent,
		keysByRequest: new Map(),
		endsByRequest: new Map(),
		incarnationsByRequest: new Map(),
	};
	for (let step = 0; step < steps; step++) {
		trial.pick([sendRandomRequest, sendRandomRequest, endRandomAttempt, injectFaults])(trial);
		trial.fleet.run(tickMs * (1 + below(10)));
	}

	const {fleet} = trial;
	expectTruthfulAnswers(trial);
	fleet.storeFault = () => StoreFault.None;
	fleet.delay = () => 1;
	fleet.paused.clear();
	for (let seconds = 0; seconds < 60; seconds++) {
		fleet.run(1000);
		for (const request of findRunningRequests(trial)) {
			endRequest(trial, request, AttemptEnd.Whole);
		}
	}

	for (const router of routers) {
		expect(fleet.worlds.get(router)!.runWrites.size).toBe(0);
	}

	// A key that was never sent can still run, unless its outcome is unknown: no abandoned claim blocks it.
	for (const key of keys.filter(key => findSentRequests(trial, key).length === 0)) {
		const request = sendOnceRequest(fleet, 'a', key);
		trial.keysByRequest.set(request, key);
		fleet.run(8000);
		const refused = getOutbound(fleet, request, 'refuse')[0]?.item.refusal.outcome;
		expect(refused ?? getStarts(fleet, request).length).toBe(refused === undefined ? 1 : Outcome.Unknown);
		for (const running of findRunningRequests(trial)) {
			endRequest(trial, running, AttemptEnd.Whole);
		}
	}

	expectTruthfulAnswers(trial);
});
