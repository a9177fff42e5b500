/*
Model engines that serve the targets of a fleet of cores. They have little capacity while cold, lose all requests when they
restart, run orphaned requests for a while, and report their load late.
*/
import {AttemptEnd} from '../../src/messages.ts';
import type {Inbound} from '../../src/ports.ts';
import type {Fleet} from './fleet.ts';

export type EnginesOptions = typeof defaultEnginesOptions;

export const defaultEnginesOptions = {
	processingMs: 300,
	coldCapacity: 1,
	coldCompletions: 4,
	reportLagMs: 500,
	reportEveryMs: 500,
	/** Output tokens of the answer to a request. */
	outputTokens: (_request: string): number => 10,
	/** Time for which a request goes on after its router has died. */
	orphanMs: 2000,
	/** Returns whether a target answers requests for its load report. */
	sendsReports: (_target: string): boolean => true,
	/** Targets to which connections fail. */
	unreachable: new Set<string>(),
};

type Running = {request: string; router: string; incarnation: string; startedAt: number; orphanedAt: number | undefined};
type Snapshot = {at: number; startId: string; running: number; cold: boolean};

export type Engine = {
	id: string;
	restarts: number;
	cold: boolean;
	completions: number;
	slowFactor: number;
	/** Number of times that the cold engine got more requests than its capacity; it restarts each time. */
	overruns: number;
	running: Running[];
	/** Complete answers, with their output tokens. */
	answers: Array<{at: number; request: string; outputTokens: number}>;
	/** When each request was admitted. */
	admissions: Array<{at: number; request: string}>;
	snapshots: Snapshot[];
};

export type Engines = ReturnType<typeof attachEngines>;

/** Attaches engines to a fleet that answer the requests sent to its targets; replaces `fleet.check`. */
export function attachEngines(fleet: Fleet, targets: string[], options: Partial<EnginesOptions> = {}) {
	const settings = {...defaultEnginesOptions, unreachable: new Set<string>(), ...options};
	const engines = new Map(targets.map(id => [id, createEngine(id)]));
	let handledItems = 0;
	let advancedAt = 0;
	const polledAt = new Map<string, number>();

	function give(router: string, inbound: Inbound) {
		if (fleet.worlds.has(router)) {
			fleet.deliver(router, inbound);
		}
	}

	function end(engine: Engine, {request, router, startedAt}: Running, attemptEnd: AttemptEnd) {
		const tookMs = fleet.now - startedAt;
		give(router, {
			kind: 'answerEnded', request, target: engine.id, end: attemptEnd, outputTokens: attemptEnd === AttemptEnd.Whole ? settings.outputTokens(request) : 0,
			delivered: false, firstByteMs: tookMs / 2, betweenTokensMs: tookMs / 20,
		});
	}

	function restart(engine: Engine) {
		const lost = engine.running;
		Object.assign(engine, {
			restarts: engine.restarts + 1, cold: true, completions: 0, running: [],
		});
		for (const running of lost) {
			end(engine, running, AttemptEnd.Broken);
		}
	}

	function admit(engine: Engine, router: string, request: string) {
		if (settings.unreachable.has(engine.id)) {
			end(engine, {
				request, router, incarnation: '', startedAt: fleet.now, orphanedAt: undefined,
			}, AttemptEnd.NotSent);
			return;
		}

		const running = {
			request, router, incarnation: fleet.worlds.get(router)!.self.incarnation, startedAt: fleet.now, orphanedAt: undefined,
		};
		engine.admissions.push({at: fleet.now, request});
		engine.running.push(running);
		if (engine.cold && engine.running.length > settings.coldCapacity) {
			engine.overruns += 1;
			restart(engine);
		}
	}

	function advance(engine: Engine) {
		for (const running of engine.running) {
			if (running.orphanedAt === undefined && fleet.worlds.get(running.router)?.self.incarnation !== running.incarnation) {
				running.orphanedAt = fleet.now;
			}
		}

		engine.running = engine.running.filter(({orphanedAt}) => orphanedAt === undefined || fleet.now - orphanedAt < settings.orphanMs);
		const isDone = ({startedAt, orphanedAt}: Running) =>
			orphanedAt === undefined && fleet.now - startedAt >= settings.processingMs * engine.slowFactor;
		const done = engine.running.filter(running => isDone(running));
		engine.running = engine.running.filter(running => !isDone(running));
		for (const running of done) {
			engine.completions += 1;
			engine.answers.push({at: fleet.now, request: running.request, outputTokens: settings.outputTokens(running.request)});
			end(engine, running, AttemptEnd.Whole);
		}

		engine.cold &&= engine.completions < settings.coldCompletions;
		engine.snapshots.push({
			at: fleet.now, startId: `${engine.id}.${engine.restarts}`, running: engine.running.length, cold: engine.cold,
		});
	}

	function poll(router: string, target: string) {
		const key = `${router}/${target}`;
		if (fleet.now - (polledAt.get(key) ?? 0) < settings.reportEveryMs || !settings.sendsReports(target)) {
			return;
		}

		polledAt.set(key, fleet.now);
		const {snapshots} = engines.get(target)!;
		const {at, ...snapshot} = snapshots.findLast(entry => fleet.now - entry.at >= settings.reportLagMs) ?? snapshots[0]!;
		give(router, {
			kind: 'loadReport', target, ...snapshot, ageMs: fleet.now - at, reachable: true,
		});
	}

	fleet.check = () => {
		for (; handledItems < fleet.outbox.length; handledItems += 1) {
			const {from, item} = fleet.outbox[handledItems]!;
			if (item.kind === 'startAnswer') {
				admit(engines.get(item.target)!, from, item.request);
			}
		}

		if (advancedAt === fleet.now) {
			return;
		}

		advancedAt = fleet.now;
		for (const engine of engines.values()) {
			advance(engine);
		}

		for (const [router, world] of fleet.worlds) {
			for (const {target} of world.budgets.rows()) {
				poll(router, target);
			}
		}
	};

	return {
		settings,
		get: (id: string) => engines.get(id)!,
		restart(id: string) {
			restart(engines.get(id)!);
		},
		overruns: () => [...engines.values()].reduce((sum, {overruns}) => sum + overruns, 0),
	};
}

function createEngine(id: string): Engine {
	return {
		id, restarts: 0, cold: true, completions: 0, slowFactor: 1, overruns: 0, running: [], answers: [], admissions: [], snapshots: [],
	};
}

/** Sends `count` requests of one workspace to a router. */
export function sendRequests(fleet: Fleet, router: string, count: number, workspace = 'w1', pool = 'm') {
	for (let index = 0; index < count; index += 1) {
		requestCount += 1;
		const id = `${router}/${requestCount}`;
		workspaces.set(id, workspace);
		fleet.deliver(router, {
			kind: 'callerRequest', request: {
				id, workspace, pool, inputTokens: 10, costHint: 10, prefixHash: 0,
				deadline: fleet.now + 60_000, once: false, idempotencyKey: '',
			},
		});
	}
}

let requestCount = 0;
const workspaces = new Map<string, string>();

/** Returns the workspace of a request that `sendRequests` sent. */
export function getWorkspace(request: string): string {
	return workspaces.get(request) ?? '';
}

/** Runs the fleet and keeps `perRouter` requests open at each of the routers. */
export function runUnderLoad(fleet: Fleet, ms: number, routers: string[], perRouter = 6) {
	const end = fleet.now + ms;
	while (fleet.now < end) {
		for (const router of routers) {
			const world = fleet.worlds.get(router);
			const open = world ? [...world.requests.rows()].length : perRouter;
			sendRequests(fleet, router, Math.max(0, perRouter - open));
		}

		fleet.run(50);
	}
}
