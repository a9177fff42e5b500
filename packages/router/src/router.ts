/*
Composes a router: the core's world and loop, and the edges that carry out its outbox.
*/
import {randomBytes} from 'node:crypto';
import type {StoreOperation} from '@shallotloom/core/ports.ts';
import {readNote} from '@shallotloom/core/release-note.ts';
import {applyNote} from '@shallotloom/core/release.ts';
import {watchedPrefixes} from '@shallotloom/core/step.ts';
import {createWorld, type World} from '@shallotloom/core/world.ts';
import {describePlatformError} from '@shallotloom/platform/errors.ts';
import {pollInstanceList} from '@shallotloom/platform/instance-list.ts';
import {createObjectStore, type ObjectStore} from '@shallotloom/platform/object-store.ts';
import type {RouterSettings} from '@shallotloom/settings/router-settings.ts';
import {createCallerApp} from './callers/app.ts';
import {createCoreLoop, type CoreLoop, type Edges} from './core-loop.ts';
import {createExchanges} from './exchanges.ts';
import {
	closeListener, drainListener, listen, parsePlace,
} from './listener.ts';
import {EdgePart, type Log} from './log.ts';
import {createMetrics} from './metrics.ts';
import {createOperatorApp} from './operators/app.ts';
import {createProposals, readReleases} from './operators/releases.ts';
import {createPeerClient} from './peers/peer-client.ts';
import {startPeerServer} from './peers/peer-server.ts';
import {createCounts} from './reading.ts';
import {startLoadPoll} from './targets/load-poll.ts';
import {createTargetAgents} from './targets/target-client.ts';
import {createTimer, type Timer} from './timer.ts';
import {createTraffic} from './traffic.ts';

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
		},
	});
}

/** Why a note can't be applied to the configuration in force; none when it can. */
function checkNote(world: World, note: unknown) {
	const reading = readNote(note);
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
	const metrics = createMetrics();
	const world = createRouterWorld(settings, timer);
	const {self} = world;
	const agents = createTargetAgents(settings.bindAddress);
	const store = createObjectStore({
		url: settings.platform.url,
		callTimeoutMs: settings.platform.callTimeoutMs,
		...(settings.bindAddress !== undefined && {localAddress: settings.bindAddress}),
	});
	const peers = createPeerClient({
		sender: self.id,
		incarnation: self.incarnation,
		bindAddress: settings.bindAddress,
		traffic,
		now: timer.now,
		onLost(member) {
			loop.push({kind: 'peerLost', member});
		},
		onError(member, reason) {
			log.write({part: EdgePart.Peers, level: 'warn', text: `stream to ${member} broke: ${reason}`});
		},
	});
	const proposals = createProposals(inbound => {
		loop.push(inbound);
	});
	const exchanges = createExchanges({
		world,
		timer,
		agents,
		push(inbound) {
			loop.push(inbound);
		},
		note(inbound) {
			loop.note(inbound);
		},
		onRefused: counts.countRefusal,
	});

	async function runStore(operation: number, action: StoreOperation) {
		counts.countStoreCall(action.kind);
		const {result, objects} = await store.run(action);
		loop.push({
			kind: 'storeReply', operation, result, ...(objects && {objects}),
		});
	}

	const edges: Edges = {
		...exchanges.edges,
		send({to, peerUrl, message}) {
			peers.send(to, peerUrl, message);
		},
		store({operation, action}) {
			void runStore(operation, action);
		},
		log({part, level, text, request}) {
			log.write({
				part, level, text, request,
			});
		},
		releaseAnswered: proposals.onAnswered,
		stopped: onStopped,
	};
	const loop: CoreLoop = createCoreLoop({
		world, timer, tickMs: settings.control.tickMs, edges, onStep: counts.countStep,
	});

	startLoadPoll({
		world,
		timer,
		periodMs: settings.control.loadPollMs,
		agents,
		onReport: loop.push,
	});
	const watch = watchStore({
		store, loop, log, onCall: counts.countStoreCall,
	});
	const instances = watchInstances(settings, loop, log);
	const peerServer = await startPeerServer({
		...parsePlace(settings.listen.peers),
		traffic,
		onMessage(from, incarnation, message) {
			loop.push({
				kind: 'peerMessage', from, incarnation, message,
			});
		},
	});
	// The lease names the address for peers, so the first step comes once that is bound.
	loop.start();
	const callerServer = await listen(createCallerApp({
		world, now: timer.now, open: exchanges.open, onRefused: counts.countRefusal, onFault: faultLog(log, EdgePart.Callers), ...settings.limits,
	}), parsePlace(settings.listen.callers), {limits: settings.limits, isLeaving: () => world.stopAt !== undefined});
	const operatorServer = await listen(createOperatorApp({
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
	}), parsePlace(settings.listen.operators), {limits: settings.limits});

	return {
		world,
		stop() {
			loop.push({kind: 'stopRequested'});
		},
		async close() {
			// The core still runs, so that what has just arrived is refused and not cut off.
			await drainListener(callerServer, drainMs);
			loop.stop();
			timer.stop();
			watch.stop();
			await instances.stop();
			peers.close();
			closeListener(operatorServer);
			await peerServer.close();
			await agents.close();
			await store.close();
		},
	};
}

/** Time for the last refusals to reach their callers once the stop is done, in milliseconds. */
const drainMs = 1000;

/** Period at which the instance list is read, in milliseconds: it lags by more than that. */
const instanceListMs = 10_000;

function watchInstances({platform, bindAddress}: RouterSettings, loop: CoreLoop, log: Log) {
	return pollInstanceList({
		url: platform.url,
		pollMs: instanceListMs,
		callTimeoutMs: platform.callTimeoutMs,
		...(bindAddress !== undefined && {localAddress: bindAddress}),
		onInstances(instances) {
			loop.push({kind: 'instanceList', instances});
		},
		onError(error) {
			log.write({part: EdgePart.Platform, level: 'debug', text: `instance list could not be read: ${describePlatformError(error)}`});
		},
	});
}

/** Writes faults of the router itself to the log. */
function faultLog(log: Log, part: EdgePart) {
	return (error: Error) => {
		log.write({part, level: 'error', text: `fault: ${error.stack ?? error.message}`});
	};
}

type StoreWatch = {
	store: ObjectStore;
	loop: CoreLoop;
	log: Log;
	onCall: (call: 'list' | 'watch') => void;
};

function watchStore({
	store, loop, log, onCall,
}: StoreWatch) {
	return store.watch({
		onCall,
		prefixes: Object.keys(watchedPrefixes),
		onObject(object) {
			loop.push({kind: 'storeEvent', object});
		},
		onError(error) {
			log.write({part: EdgePart.Platform, level: 'warn', text: `watch broke and is tried again: ${describePlatformError(error)}`});
		},
	});
}

