/*
Callers and targets of a fleet of cores: sends requests to a router, reports the ends of attempts to it, and reads its output.
*/
import {AttemptEnd} from '../../src/messages.ts';
import {
	type CallerRequest, type InboundOf, type Outbound, type StoreOperation,
} from '../../src/ports.ts';
import type {RefusalKind, Outcome} from '../../src/refusal.ts';
import {createFleet, type Fleet, type FleetOptions} from './fleet.ts';

/** Fleet of three routers and three targets in one failure domain that has been running for a while. */
export function createRunningFleet(options: Partial<FleetOptions> = {}): Fleet {
	const fleet = createFleet({
		routers: {a: 'x', b: 'x', c: 'x'}, targets: {t1: 'x', t2: 'x', t3: 'x'}, ...options,
	});
	fleet.run(8000);
	return fleet;
}

/** Finds a router that owns no target, so that other routers grant its permits. */
export function findRouterWithoutTargets(fleet: Fleet): string {
	return [...fleet.worlds].find(([, world]) => world.ownedTargets.size === 0)![0];
}

/** Finds the time of the last permit grant that was sent to another router for a request. */
export function findGrantTime(fleet: Fleet, request: string): number | undefined {
	return fleet.outbox.findLast(({item}) => item.kind === 'send' && item.message.kind === 'permitGrant' && item.message.ticket === request)?.at;
}

let requestCount = 0;

/** Sends a request to a router and returns the request id. */
export function sendRequest(fleet: Fleet, router: string, options: Partial<CallerRequest> & {withinMs?: number} = {}): string {
	requestCount += 1;
	const {withinMs = 20_000, ...request} = options;
	const id = `${router}/${requestCount}`;
	fleet.deliver(router, {
		kind: 'callerRequest',
		request: {
			id,
			workspace: 'w',
			pool: 'm',
			inputTokens: 1,
			costHint: 0,
			prefixHash: 0,
			deadline: fleet.now + withinMs,
			once: false,
			idempotencyKey: '',
			...request,
		},
	});
	return id;
}

/** Sends a request that may run only once, and returns its id. */
export function sendOnceRequest(fleet: Fleet, router: string, key: string, withinMs?: number): string {
	return sendRequest(fleet, router, {once: true, idempotencyKey: key, ...(withinMs !== undefined && {withinMs})});
}

type OutboundEntry = {at: number; item: Outbound};

/** Returns the outbox items of one kind for a request. */
export function getOutbound<Kind extends Outbound['kind']>(fleet: Fleet, request: string, kind: Kind) {
	const isMatch = ({item}: OutboundEntry) => item.kind === kind && 'request' in item && item.request === request;
	return fleet.outbox.filter(entry => isMatch(entry)) as Array<{at: number; from: string; item: Extract<Outbound, {kind: Kind}>}>;
}

/** Returns the attempts of requests that were started at a target. */
export function getStarts(fleet: Fleet, ...requests: string[]) {
	return requests.flatMap(request => getOutbound(fleet, request, 'startAnswer'));
}

export type RefusalSummary = {kind: RefusalKind; outcome: Outcome; hasRetryAfter: boolean};

/** Returns how a request was refused; undefined when it wasn't. Throws when it was refused more than once. */
export function getRefusal(fleet: Fleet, request: string): RefusalSummary | undefined {
	const refusals = getOutbound(fleet, request, 'refuse');
	if (refusals.length > 1) {
		throw new Error(`${request} was refused ${refusals.length} times`);
	}

	const refusal = refusals[0]?.item.refusal;
	return refusal && {kind: refusal.kind, outcome: refusal.outcome, hasRetryAfter: refusal.retryAfterMs !== undefined};
}

/** Runs until `count` attempts of a request have been started. */
export function runUntilStarted(fleet: Fleet, request: string, count = 1) {
	fleet.runUntil(() => getStarts(fleet, request).length >= count, 10_000);
}

/** Runs until a request has been refused or answered from a run record, and returns the refusal or the answer. */
export function runUntilAnswered(fleet: Fleet, request: string, limitMs = 10_000) {
	fleet.runUntil(() => getOutbound(fleet, request, 'refuse').length + getOutbound(fleet, request, 'replay').length > 0, limitMs);
	return getRefusal(fleet, request) ?? getOutbound(fleet, request, 'replay')[0]!.item.answer;
}

/** Reports the end of the latest attempt of a request to its router. */
export function endAttempt(fleet: Fleet, request: string, end: AttemptEnd, more: Partial<InboundOf<'answerEnded'>> = {}) {
	const latest = getStarts(fleet, request).at(-1)!;
	fleet.deliver(latest.from, {
		kind: 'answerEnded',
		request,
		target: latest.item.target,
		end,
		outputTokens: end === AttemptEnd.Whole ? 5 : 0,
		delivered: false,
		firstByteMs: 20,
		betweenTokensMs: 0,
		...more,
	});
}

/** Returns whether an operation writes or deletes a run record. */
export function isRunWrite(action: StoreOperation): boolean {
	return action.kind !== 'list' && action.kind !== 'get' && action.key.startsWith('run/');
}

/** Returns the parsed run records in the store. */
export function getRunRecords(fleet: Fleet) {
	return [...fleet.storeMap.objects.values()]
		.filter(({key}) => key.startsWith('run/'))
		.map(({value}) => JSON.parse(value) as {router: string; outcome?: string; answer?: string});
}

/** Counts the outstanding permits of all owners. */
export function countPermits(fleet: Fleet): number {
	return [...fleet.worlds.values()].reduce((sum, world) => sum + world.permits.size, 0);
}
