/*
Composes a router: the core's world and loop, and the edges that carry out its outbox.
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
import {createCoreLoop, type CoreLoop, type Edges} from './core-loop.ts';
import {createExchanges, type Exchanges} from './exchanges.ts';
import {
	closeListener, drainListener, listen, parsePlace,
} from './listener.ts';
import {EdgePart, type Log} from './log.ts';
import {createMetrics} from './metrics.ts';
import {createOperatorApp} from './operators/app.ts';
import {createProposals, readReleases, type Proposals} from './operators/releases.ts';
import {createPeerClient, type PeerClient} from './peers/peer-client.ts';
import {startPeerServer} from './peers/peer-server.ts';
import {createPlatformEdge} from './platform-edge.ts';
import {createCounts, type Counts} from './reading.ts';
import {startLoadPoll} from './targets/load-poll.ts';
import {createTargetAgents} from './targets/target-client.ts';
import {createTimer, type Timer} from './timer.ts';
import {createTraffic, type Traffic} from './traffic.ts';

export type RouterOptions = {
	settings: RouterSettings;
	log: Log;
	/** Called when a planned stop is done. */
	onStopped: () => void;
};

export type Router = {
	world: World;
	/** Starts the planned stop. */
	stop(): void;
	/** Ends without handing anything over. */
	close(): Promise<void>;
};

/** Most of a router's connections that the waiting requests of one workspace for one pool may hold. */
const workspaceShare = 0.25;

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
			maxQueuedRequests: Math.max(1, Math.floor(settings.limits.connections * workspaceShare)),
		},
	});
}

/** Why a note can't be applied to the configuration in force; none when it can. */
function checkNote(world: World, note: unknown) {
	const reading = validateNote(note);
	if (reading.kind === 'malformed') {
		return {revision: world.configuration.revision, problems: reading.problems};
	}

	const result = applyNote(world.configuration, reading.note);
	return {revision: world.configuration.revision, problems: result.kind === 'ok' ? [] : result.problems};
}

/** Starts a router; rejects when one of its addresses can't be bound. */
export async function startRouter({settings, log, onStopped}: RouterOptions): Promise<Router> {
	const timer = createTimer();
	const traffic = createTraffic();
	const counts = createCounts();
	const world = createRouterWorld(settings, timer);
	const agents = createTargetAgents(settings.bindAddress);
	// The edges and the loop need each other: edges only push once the loop stands.
	const push = (inbound: Inbound) => {
		loop.push(inbound);
	};

	const platform = createPlatformEdge({
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
		note(inbound) {
			loop.note(inbound);
		},
		onRefused: counts.countRefusal,
	});
	const edges: Edges = {
		...exchanges.edges,
		send({to, peerUrl, message}) {
			peers.send(to, peerUrl, message);
		},
		store({operation, action}) {
			void platform.run(operation, action);
		},
		log({part, level, text, request}) {
			log.write({
				part, level, text, request,
			});
		},
		releaseAnswered: proposals.onAnswered,
		stopped: onStopped,
	};
	const loop: CoreLoop<Inbound> = createCoreLoop<Inbound, Outbound>({
		step: (now, inbox) => step(world, now, inbox), timer, tickMs: settings.control.tickMs, edges, onStep: counts.countStep,
	});

	startLoadPoll({
		world, timer, periodMs: settings.control.loadPollMs, agents, onReport: push,
	});
	platform.start();
	const peerServer = await startPeerServer({
		...parsePlace(settings.listen.peers),
		traffic,
		onMessage(from, incarnation, message) {
			push({
				kind: 'peerMessage', from, incarnation, message,
			});
		},
	});
	// The lease names the address for peers, so the first step comes once that is bound.
	loop.start();
	const callerServer = await listenForCallers({
		settings, world, timer, log, counts, open: exchanges.open,
	});
	const operatorServer = await listenForOperators({
		settings, world, log, counts, traffic, proposals, store: platform.store,
	});

	return {
		world,
		stop() {
			push({kind: 'stopRequested'});
		},
		async close() {
			// The core still runs, so that what has just arrived is refused and not cut off.
			await drainListener(callerServer, drainMs);
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

type Parts = {
	settings: RouterSettings;
	world: World;
	timer: Timer;
	log: Log;
	counts: Counts;
	traffic: Traffic;
	push: (inbound: Inbound) => void;
};

function createPeers({
	settings, world, timer, traffic, log, push,
}: Omit<Parts, 'counts'>): PeerClient {
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
			log.write({part: EdgePart.Peers, level: 'warn', text: `stream to ${member} broke: ${reason}`});
		},
	});
}

async function listenForCallers({
	settings, world, timer, log, counts, open,
}: Omit<Parts, 'traffic' | 'push'> & {open: Exchanges['open']}): Promise<Server> {
	const app = createCallerApp({
		world, now: timer.now, open, onRefused: counts.countRefusal, onFault: faultLog(log, EdgePart.Callers), ...settings.limits,
	});
	return listen(app, parsePlace(settings.listen.callers), {limits: settings.limits, isLeaving: () => world.stopRequestedAt !== undefined});
}

async function listenForOperators({
	settings, world, log, counts, traffic, proposals, store,
}: Omit<Parts, 'timer' | 'push'> & {proposals: Proposals; store: ObjectStore}): Promise<Server> {
	const metrics = createMetrics();
	const app = createOperatorApp({
		world,
		operators: settings.operators,
		onFault: faultLog(log, EdgePart.Operators),
		propose: proposals.propose,
		check: note => checkNote(world, note),
		releases: async limit => readReleases(world, store, limit),
		async metrics() {
			metrics.set(counts.read(world, traffic));
			return metrics.scrape();
		},
	});
	return listen(app, parsePlace(settings.listen.operators), {limits: settings.limits});
}

/** Time for the last refusals to reach their callers once the stop is done, in milliseconds. */
const drainMs = 1000;

/** Writes faults of the router itself to the log. */
function faultLog(log: Log, part: EdgePart) {
	return (error: Error) => {
		log.write({part, level: 'error', text: `fault: ${error.stack ?? error.message}`});
	};
}
