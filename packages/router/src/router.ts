/*
Assembles a router from the core's world and loop, the listeners, and the handlers that execute the core's outbox.
*/
import {randomBytes} from 'node:crypto';
import type {Server} from 'node:http';
import type {Inbound, Outbound} from '@shallotloom/core/ports.ts';
import {validateNote} from '@shallotloom/core/release-note.ts';
import {applyNote} from '@shallotloom/core/release.ts';
import {step} from '@shallotloom/core/step.ts';
import {createWorld, type World} from '@shallotloom/core/world.ts';
import type {ObjectStore} from '@shallotloom/platform/object-store.ts';
import type {RouterSettings} from '@shallotloom/settings/router-settings.ts';
import {createCallerApp} from './callers/app.ts';
import {createCoreLoop, type CoreLoop, type OutboxHandlers} from './core-loop.ts';
import {createExchanges, type Exchanges} from './exchanges.ts';
import {
	bindDefaults, closeListener, drainListener, listen, parseAddress, type BindOptions,
} from './listener.ts';
import {AdapterPart, type Log} from './log.ts';
import {createMetrics} from './metrics.ts';
import {createOperatorApp} from './operators/app.ts';
import {createProposals, readReleases, type Proposals} from './operators/releases.ts';
import {createPeerClient, type PeerClient} from './peers/peer-client.ts';
import {startPeerServer} from './peers/peer-server.ts';
import {createPlatformAdapter} from './platform-adapter.ts';
import {createMetricCounters, type MetricCounters} from './metric-values.ts';
import {startLoadPolling} from './targets/load-poll.ts';
import {createTargetAgents} from './targets/target-agents.ts';
import {createTimer, type Timer} from './timer.ts';
import {createControlTraffic, type ControlTraffic} from './control-traffic.ts';

export type RouterOptions = {
	settings: RouterSettings;
	log: Log;
	/** How to wait for addresses that other sockets hold. */
	bind?: BindOptions;
	/** Called when a planned stop is complete. */
	onStopped: () => void;
};

export type Router = {
	world: World;
	/** Starts a planned stop; `onStopped` is called when it is complete. */
	stop(): void;
	/** Closes listeners and connections without handing over targets. */
	close(): Promise<void>;
};

/** Maximum fraction of the router's connections that waiting requests of one workspace for one pool may occupy. */
const maxQueuedFraction = 0.25;

function createRouterWorld(settings: RouterSettings, timer: Timer): World {
	return createWorld({
		self: {
			id: settings.router.id,
			incarnation: randomBytes(4).toString('hex'),
			failureDomain: settings.router.failureDomain,
			callerUrl: settings.advertise.callers,
			peerUrl: settings.advertise.peers,
			boundAddress: settings.listen.peers,
		},
		seed: randomBytes(4).readInt32LE(),
		now: timer.now(),
		limits: {
			leaseDurationMs: settings.lease.durationMs,
			leaseRenewMs: settings.lease.renewMs,
			digestMs: settings.control.digestMs,
			progressMs: settings.control.progressMs,
			addressTtlMs: settings.limits.addressTtlMs,
			exchange: settings.fairness.exchange,
			discipline: settings.fairness.discipline,
			maxQueuedRequests: Math.max(1, Math.floor(settings.limits.connections * maxQueuedFraction)),
		},
	});
}

/** Returns the problems that keep a note from being applied to the current configuration; none if it can be applied. */
function checkNote(world: World, note: unknown) {
	const validation = validateNote(note);
	if (validation.kind === 'malformed') {
		return {revision: world.configuration.revision, problems: validation.problems};
	}

	const result = applyNote(world.configuration, validation.note);
	return {revision: world.configuration.revision, problems: result.kind === 'ok' ? [] : result.problems};
}

/** Starts a router; rejects when one of its addresses can't be bound. */
export async function startRouter({settings, log, bind = bindDefaults, onStopped}: RouterOptions): Promise<Router> {
	const timer = createTimer();
	const traffic = createControlTraffic();
	const counts = createMetricCounters();
	const world = createRouterWorld(settings, timer);
	const agents = createTargetAgents(settings.bindAddress);
	// The adapters and the loop refer to each other; adapters don't push before the loop is created.
	const push = (inbound: Inbound) => {
		loop.push(inbound);
	};

	const platform = createPlatformAdapter({
		settings, log, push, onCall: counts.countStoreCall,
	});
	const peers = createPeers({
		settings, world, timer, traffic, log, push,
	});
	const proposals = createProposals(push);
	const exchanges = createExchanges({
		world,
		timer,
		agents,
		push,
		enqueue(inbound) {
			loop.enqueue(inbound);
		},
		onRefused: counts.countRefusal,
	});
	const handlers: OutboxHandlers = {
		...exchanges.handlers,
		send({to, peerUrl, message}) {
			peers.send(to, peerUrl, message);
		},
		store({operation, action}) {
			void platform.runOperation(operation, action);
		},
		log({part, level, text, request}) {
			log.write({
				part, level, text, request,
			});
		},
		releaseAnswered: proposals.onAnswered,
		stopped: onStopped,
	};
	const logError = createErrorLogger(log, AdapterPart.Internal);
	const loop: CoreLoop<Inbound> = createCoreLoop<Inbound, Outbound>({
		step: (now, inbox) => step(world, now, inbox), timer, tickMs: settings.control.tickMs, handlers, onStep: counts.countStep,
		onHandlerError(item, error) {
			logError(error instanceof Error ? error : new Error(String(error)));
			if ('request' in item && item.request !== undefined) {
				exchanges.fail(item.request);
			}
		},
	});

	startLoadPolling({
		world, timer, periodMs: settings.control.loadPollMs, agents, onReport: push,
	});
	platform.start();
	const peerServer = await startPeerServer({
		address: parseAddress(settings.listen.peers),
		bind,
		traffic,
		onMessage(from, incarnation, message) {
			push({
				kind: 'peerMessage', from, incarnation, message,
			});
		},
		onError: createErrorLogger(log, AdapterPart.Peers),
		onInvalid(member, reason) {
			log.write({part: AdapterPart.Peers, level: 'error', text: `left out a message of ${member}: ${reason}`});
		},
	});
	const operatorServer = await listenForOperators({
		settings, world, log, counts, traffic, bind, proposals, store: platform.store,
	});
	const callerServer = await listenForCallers({
		settings, world, timer, log, counts, bind, open: exchanges.open,
	});
	// The lease announces the addresses, so the loop starts only after they are bound.
	loop.start();

	return {
		world,
		stop() {
			push({kind: 'stopRequested'});
		},
		async close() {
			// The core keeps running meanwhile, so that requests that have just arrived are refused rather than cut off.
			await drainListener(callerServer, drainTimeoutMs);
			loop.stop();
			timer.stop();
			peers.close();
			closeListener(operatorServer);
			await peerServer.close();
			await agents.close();
			await platform.close();
		},
	};
}

type Dependencies = {
	settings: RouterSettings;
	world: World;
	timer: Timer;
	log: Log;
	counts: MetricCounters;
	traffic: ControlTraffic;
	push: (inbound: Inbound) => void;
	bind: BindOptions;
};

function createPeers({
	settings, world, timer, traffic, log, push,
}: Omit<Dependencies, 'counts' | 'bind'>): PeerClient {
	return createPeerClient({
		sender: world.self.id,
		incarnation: world.self.incarnation,
		bindAddress: settings.bindAddress,
		traffic,
		now: timer.now,
		onLost(member) {
			push({kind: 'peerLost', member});
		},
		onError(member, reason) {
			log.write({part: AdapterPart.Peers, level: 'warn', text: `stream to ${member} failed: ${reason}`});
		},
		onInvalid(kind, reason) {
			log.write({part: AdapterPart.Peers, level: 'error', text: `left out of ${kind}: ${reason}`});
		},
	});
}

async function listenForCallers({
	settings, world, timer, log, counts, bind, open,
}: Omit<Dependencies, 'traffic' | 'push'> & {open: Exchanges['open']}): Promise<Server> {
	const app = createCallerApp({
		world, now: timer.now, open, onRefused: counts.countRefusal, onInternalError: createErrorLogger(log, AdapterPart.Callers), ...settings.limits,
	});
	return listen(app, parseAddress(settings.listen.callers), {
		limits: settings.limits, bind, isStopping: () => world.stopRequestedAt !== undefined, onError: createErrorLogger(log, AdapterPart.Callers),
	});
}

async function listenForOperators({
	settings, world, log, counts, traffic, bind, proposals, store,
}: Omit<Dependencies, 'timer' | 'push'> & {proposals: Proposals; store: ObjectStore}): Promise<Server> {
	const metrics = createMetrics();
	const app = createOperatorApp({
		world,
		operators: settings.operators,
		onInternalError: createErrorLogger(log, AdapterPart.Operators),
		propose: proposals.propose,
		checkNote: note => checkNote(world, note),
		listReleases: async limit => readReleases(world, store, limit),
		async scrapeMetrics() {
			metrics.update(counts.collect(world, traffic));
			return metrics.scrape();
		},
	});
	return listen(app, parseAddress(settings.listen.operators), {limits: settings.limits, bind, onError: createErrorLogger(log, AdapterPart.Operators)});
}

/** Time for the last refusals to reach their callers after the stop is complete. */
const drainTimeoutMs = 1000;

/** Returns a function that logs internal errors of the router. */
function createErrorLogger(log: Log, part: AdapterPart) {
	return (error: Error) => {
		log.write({part, level: 'error', text: `internal error: ${error.stack ?? error.message}`});
	};
}
