/*
Callers and targets of a fleet of cores: asks a router, tells it how an attempt ended, and reads what it put out.
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

/** A router that owns no target, so that its permits come over the network. */
export function guestOf(fleet: Fleet): string {
	return [...fleet.worlds].find(([, world]) => world.ownedTargets.size === 0)![0];
}

/** When the owner last gave a permit to a request at another router. */
export function grantedAt(fleet: Fleet, request: string): number | undefined {
	return fleet.outbox.findLast(({item}) => item.kind === 'send' && item.message.kind === 'permitGrant' && item.message.ticket === request)?.at;
}

let asked = 0;

/** Hands a request to a router and returns its id. */
export function ask(fleet: Fleet, router: string, options: Partial<CallerRequest> & {withinMs?: number} = {}): string {
	asked += 1;
	const {withinMs = 20_000, ...request} = options;
	const id = `${router}/${asked}`;
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

/** A request that may run only once. */
export function askOnce(fleet: Fleet, router: string, key: string, withinMs?: number): string {
	return ask(fleet, router, {once: true, idempotencyKey: key, ...(withinMs !== undefined && {withinMs})});
}

type Seen = {at: number; item: Outbound};

/** Everything of one kind that a router put out for a request. */
export function seen<Kind extends Outbound['kind']>(fleet: Fleet, request: string, kind: Kind) {
	const isOf = ({item}: Seen) => item.kind === kind && 'request' in item && item.request === request;
	return fleet.outbox.filter(entry => isOf(entry)) as Array<{at: number; from: string; item: Extract<Outbound, {kind: Kind}>}>;
}

/** Attempts of a request that were let go to a target. */
export function starts(fleet: Fleet, ...requests: string[]) {
	return requests.flatMap(request => seen(fleet, request, 'startAnswer'));
}

export type Told = {kind: RefusalKind; outcome: Outcome; comesBack: boolean};

/** How a request was refused; undefined when it wasn't. Fails when it was refused twice. */
export function refusalOf(fleet: Fleet, request: string): Told | undefined {
	const refusals = seen(fleet, request, 'refuse');
	if (refusals.length > 1) {
		throw new Error(`${request} was refused ${refusals.length} times`);
	}

	const refusal = refusals[0]?.item.refusal;
	return refusal && {kind: refusal.kind, outcome: refusal.outcome, comesBack: refusal.retryAfterMs !== undefined};
}

/** Runs until a request has been let go to a target `count` times. */
export function untilStarted(fleet: Fleet, request: string, count = 1) {
	fleet.runUntil(() => starts(fleet, request).length >= count, 10_000);
}

/** Runs until a request has its final answer from the core, and returns it. */
export function untilTold(fleet: Fleet, request: string, limitMs = 10_000) {
	fleet.runUntil(() => seen(fleet, request, 'refuse').length + seen(fleet, request, 'replay').length > 0, limitMs);
	return refusalOf(fleet, request) ?? seen(fleet, request, 'replay')[0]!.item.answer;
}

/** Tells the router how the latest attempt of a request ended. */
export function endAttempt(fleet: Fleet, request: string, end: AttemptEnd, more: Partial<InboundOf<'answerEnded'>> = {}) {
	const latest = starts(fleet, request).at(-1)!;
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

/** Whether an operation writes or removes a run record. */
export function writesRun(action: StoreOperation): boolean {
	return action.kind !== 'list' && action.kind !== 'get' && action.key.startsWith('run/');
}

/** Run records in the store, parsed. */
export function runRecords(fleet: Fleet) {
	return [...fleet.storeMap.objects.values()]
		.filter(({key}) => key.startsWith('run/'))
		.map(({value}) => JSON.parse(value) as {router: string; outcome?: string; answer?: string});
}

/** Permits that owners count as out. */
export function permitsOut(fleet: Fleet): number {
	return [...fleet.worlds.values()].reduce((sum, world) => sum + world.permits.size, 0);
}
