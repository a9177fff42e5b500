/*
Simulates a fleet of gateway instances while the targets of its pool are replaced by ones of another software version. The gateway core is
the real one. Instances are killed, restarted, frozen and cut off from each other or the platform, targets crash, and callers resume the
streams that break. The platform's lists reach each instance at a time of its own.
*/
import {CallKind, createCatalogue} from '@shallotloom/core/gateway/catalogue.ts';
import {DataKind} from '@shallotloom/core/gateway/data-sources.ts';
import {createGateway, type Gateway} from '@shallotloom/core/gateway/gateway.ts';
import type {GatewayLimits} from '@shallotloom/core/gateway/limits.ts';
import {
	SendEnd, type GatewayInbound, type GatewayOutbound, type GatewayOutboundOf, type Registration,
} from '@shallotloom/core/gateway/ports.ts';
import {runGatewayStep} from '@shallotloom/core/gateway/step.ts';
import {MemberState, type StoredVersions, type StreamGroup} from '@shallotloom/core/messages.ts';
import {createEventQueue} from '../fleet-model/event-queue.ts';
import {createRandom} from '../load/random.ts';
import {createCallers, type AttemptCount} from './callers.ts';
import {createVersionedTargets, pool} from './targets.ts';

/** What befalls instances or targets of the fleet, and for how long. */
export enum FaultKind {
	/** Instances are killed, and start again as new processes. */
	Kill = 'kill',
	/** All instances are killed at once, and start again as new processes. */
	KillAll = 'kill all',
	/** Instances stand still. */
	Freeze = 'freeze',
	/** Instances neither send to nor receive from other instances. */
	CutFromPeers = 'cut from peers',
	/** Instances receive nothing from the platform. */
	CutFromPlatform = 'cut from platform',
	/** Targets crash, and start again under new ids in the version that they had. */
	CrashTargets = 'crash targets',
	/** Targets start again under their ids, some of them in another version. */
	RestartTargets = 'restart targets',
	/** The connections of callers to instances, which go on, are reset. */
	ResetCallers = 'reset callers',
}

export type Fault = {
	kind: FaultKind;
	atMs: number;
	durationMs: number;
	/** Fraction of the instances or targets that it befalls. */
	fraction: number;
};

/** Replacement of targets, one after the other: a new one starts, then an old one leaves. */
export type Rollout = {
	atMs: number;
	softwareVersion: string;
	/** Fraction of the targets that is replaced. */
	fraction: number;
	/** Time from one replacement to the next. */
	gapMs: number;
};

export type RolloutOptions = {
	seed: number;
	seconds: number;
	instances: number;
	targets: number;
	failureDomains: number;
	/** Processor capacity of an instance, in cores. */
	capacity: number;
	streamsPerSecond: number;
	rollouts: Rollout[];
	faults: Fault[];
	limits: Partial<GatewayLimits>;
};

export type RolloutRun = {
	streams: number;
	/** Streams with events of several versions, over all attempts. */
	mixedStreams: number;
	begun: AttemptCount;
	resumed: AttemptCount;
	/** Refusals by reason, and messages between instances by kind with their number. */
	refusals: Record<string, number>;
	messages: Record<string, number>;
};

const tickMs = 20;
const peerDelayMs = 1.4;

/** Bounds of the time in which a change of the platform's lists reaches an instance, in milliseconds. */
const minListDelayMs = 3;

/** Time that the platform's store takes to write, in milliseconds. */
const storeDelayMs = 15;
const maxListDelayMs = 400;

/** Time after which attempts at instances count that were started after the end of all, in milliseconds. */
const startMs = 500;

/** Time without disturbance after which an instance counts as in touch, in milliseconds. */
const contactMs = 3000;

/** Time after which an instance notices that the platform is cut off, in milliseconds. */
const platformTimeoutMs = 3000;

const firstVersion = 'v1';

const timeoutMs = 12_000;

const catalogue = createCatalogue({
	version: 1,
	routes: [{
		name: 'chat',
		host: 'model',
		pathPrefix: '/chat/',
		kind: CallKind.Streamed,
		isResumable: true,
		weightedPools: [{pool, weight: 1}],
		maxAttempts: 2,
		timeoutMs,
		objectiveMs: 500,
		priority: 1,
		needsKey: true,
	}],
	pools: [{
		name: pool, coldPerSecond: 10, coldMs: 3000, maxConnections: 370, isEngine: true,
	}],
	keys: new Map([['key-a', {workspace: 'a', priority: undefined}]]),
	limits: {
		headerBytes: 16_384, bodyBytes: 1_000_000, headersTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	tokensPerSecond: 0,
});

type ModelInstance = {
	registration: Registration;
	gateway: Gateway;
	isUp: boolean;
	/** Times until which it is frozen, and cut off. */
	frozenUntil: number;
	cutFromPeersUntil: number;
	cutFromPlatformUntil: number;
	/** When it was last disturbed. */
	disturbedAt: number;
	/** What has arrived while it was frozen. */
	backlog: GatewayInbound[];
};

/** Runs a fleet to its end. */
export function runRollout(options: RolloutOptions): RolloutRun {
	const {seed, failureDomains, limits, capacity} = options;
	const queue = createEventQueue();
	const random = createRandom(seed);
	const run: RolloutRun = {
		streams: 0, mixedStreams: 0, begun: {attempts: 0, successes: 0}, resumed: {attempts: 0, successes: 0}, refusals: {}, messages: {},
	};
	const instances = new Map<string, ModelInstance>();
	/** Increases with each change of the platform's list of targets. */
	let listRevision = 0;
	/** What the platform's store holds of streams: by instance, and of the versions. */
	const storedStreams = new Map<string, StreamGroup[]>();
	let storedVersions: StoredVersions | undefined;
	/** How to cancel the sends in progress, by call. */
	const openSends = new Map<string, () => void>();
	/** How to deliver the events of a send that are held back, by call and send. */
	const heldSends = new Map<string, () => void>();
	const targets = createVersionedTargets({
		queue, random, failureDomains, onChange: publishTargets,
	});
	const callers = createCallers({
		queue,
		random,
		getReachable: () => [...instances.values()].filter(({isUp}) => isUp).map(({registration}) => registration.id),
		isInTouch: id => queue.now - instances.get(id)!.disturbedAt >= contactMs,
		countReady: targets.countReady,
		send(id, call) {
			push(instances.get(id)!, {kind: 'callArrived', call});
		},
		leave({id, instance}) {
			push(instances.get(instance)!, {kind: 'callerGone', call: id});
		},
	});

	function push(instance: ModelInstance, ...inbox: GatewayInbound[]) {
		if (!instance.isUp) {
			return;
		}

		if (queue.now < instance.frozenUntil) {
			instance.backlog.push(...inbox);
			return;
		}

		for (const item of runGatewayStep(instance.gateway, queue.now, inbox)) {
			const handler = outboundHandlers[item.kind] as ((instance: ModelInstance, item: GatewayOutbound) => void) | undefined;
			handler?.(instance, item);
		}
	}

	function deliver(instance: ModelInstance, delayMs: number, ...inbox: GatewayInbound[]) {
		const {incarnation} = instance.registration;
		queue.schedule(delayMs, () => {
			if (instance.registration.incarnation === incarnation) {
				push(instance, ...inbox);
			}
		});
	}

	function sendToPeer(from: ModelInstance, to: string, inbound: GatewayInbound) {
		const receiver = instances.get(to)!;
		run.messages[inbound.kind] = (run.messages[inbound.kind] ?? 0) + 1;
		if (queue.now >= from.cutFromPeersUntil && queue.now >= receiver.cutFromPeersUntil) {
			deliver(receiver, peerDelayMs, inbound);
		}
	}

	/** Handlers of the outbound items that matter here; all others are ignored. */
	const outboundHandlers: {[Kind in GatewayOutbound['kind']]?: (instance: ModelInstance, item: GatewayOutboundOf<Kind>) => void} = {
		send: sendToTarget,
		releaseEvents(_instance, {call, send}) {
			heldSends.get(`${call} ${send}`)?.();
		},
		storeStreams(instance, {groups}) {
			writeToStore(instance, 'streamsWritten', () => {
				storedStreams.set(instance.registration.id, groups);
			});
		},
		storeVersions(instance, {versions}) {
			writeToStore(instance, 'versionsWritten', () => {
				storedVersions = versions;
			});
		},
		cancel(_instance, {call}) {
			openSends.get(call)?.();
			openSends.delete(call);
		},
		refuse(_instance, {call, refusal}) {
			run.refusals[refusal.kind] = (run.refusals[refusal.kind] ?? 0) + 1;
			callers.onBroken(call, refusal.retryAfterMs);
		},
		refreshData(instance, {data}) {
			if (data === DataKind.Targets) {
				queue.schedule(storeDelayMs, () => {
					if (queue.now >= instance.cutFromPlatformUntil) {
						push(instance, ...createTargetMessages(), {kind: 'platformReach', isReached: true, tookMs: storeDelayMs});
					}
				});
			}
		},
		sendDigest(instance, {to, digest}) {
			sendToPeer(instance, to, {
				kind: 'digest', from: instance.registration.id, incarnation: instance.registration.incarnation, digest,
			});
		},
		sendStreamMessage(instance, {to, message}) {
			const from = instance.registration.id;
			// The kind of the message is that of the inbound event.
			sendToPeer(instance, to, {kind: message.kind, from, message} as GatewayInbound);
		},
	};

	function sendToTarget(instance: ModelInstance, {
		call, send, target, isHeld,
	}: GatewayOutboundOf<'send'>) {
		const attempt = callers.attempts.get(call);
		if (!attempt) {
			return;
		}

		let hasEvent = false;
		/** Deliveries that wait for the release of the events; undefined once they don't any more. */
		let held: Array<() => void> | undefined = isHeld ? [] : undefined;
		const deliverToCaller = (action: () => void) => {
			if (held) {
				held.push(action);
			} else {
				action();
			}
		};

		heldSends.set(`${call} ${send}`, () => {
			const actions = held ?? [];
			held = undefined;
			for (const action of actions) {
				action();
			}
		});
		const end = (sendEnd: SendEnd) => {
			openSends.delete(call);
			heldSends.delete(`${call} ${send}`);
			deliver(instance, peerDelayMs, {
				kind: 'sendEnded', call, send, end: sendEnd, load: undefined, detail: '',
			});
		};

		const cancel = targets.send(target, {
			events: attempt.stream.events,
			firstEvent: attempt.stream.receivedEvents,
			onEvent(_event, softwareVersion) {
				if (queue.now < instance.frozenUntil) {
					return;
				}

				const isFirst = !hasEvent;
				hasEvent = true;
				deliverToCaller(() => {
					callers.onEvent(call, softwareVersion);
					if (isFirst) {
						push(instance, {kind: 'answerDelivered', call});
					}
				});
				if (isFirst) {
					push(instance, {
						kind: 'answerStarted', call, send, load: undefined,
					});
				}
			},
			onEnd() {
				deliverToCaller(() => {
					callers.onEnd(call);
					end(SendEnd.Complete);
				});
			},
			onBroken() {
				end(SendEnd.Broken);
			},
		});
		if (cancel) {
			openSends.set(call, cancel);
		} else {
			end(SendEnd.NotSent);
		}
	}

	function createTargetMessages(): GatewayInbound[] {
		return [
			{kind: 'targets', targets: [...targets.listed.values()]},
			{kind: 'dataVersion', version: {kind: DataKind.Targets, era: 0, revision: listRevision}, coveredRevision: listRevision},
		];
	}

	function deliverTargets(instance: ModelInstance, delayMs: number) {
		queue.schedule(delayMs, () => {
			if (queue.now >= instance.cutFromPlatformUntil) {
				push(instance, ...createTargetMessages());
			}
		});
	}

	function publishTargets() {
		listRevision += 1;
		for (const instance of instances.values()) {
			deliverTargets(instance, minListDelayMs + ((random.uniform() ** 3) * (maxListDelayMs - minListDelayMs)));
		}
	}

	function publishRegistrations() {
		const registrations = [...instances.values()].map(({registration}) => registration);
		for (const instance of instances.values()) {
			push(instance, {kind: 'registrations', registrations});
		}
	}

	function createInstanceGateway(self: Registration): Gateway {
		return createGateway({
			self, seed: Math.floor(random.uniform() * 1e6), now: queue.now, limits, isFirstStart: queue.now === 0,
		});
	}

	/** What the store holds of streams, as an instance reads it. */
	function createStoredStreams({registration: {id}}: ModelInstance): GatewayInbound {
		const groups = [...storedStreams].filter(([writer]) => writer !== id).flatMap(([, written]) => written);
		return {
			kind: 'storedStreams', groups, own: storedStreams.get(id) ?? [], versions: storedVersions, era: 0,
		};
	}

	/** Writes to the store after some time, and reports that to the instance. */
	function writeToStore(instance: ModelInstance, kind: 'streamsWritten' | 'versionsWritten', write: () => void) {
		queue.schedule(storeDelayMs, () => {
			const isSuccessful = queue.now >= instance.cutFromPlatformUntil;
			if (isSuccessful) {
				write();
			}

			if (instance.isUp) {
				push(instance, {kind, isSuccessful});
			}
		});
	}

	function deliverPlatformData(instance: ModelInstance) {
		push(
			instance,
			{kind: 'catalogue', catalogue},
			...createTargetMessages(),
			{kind: 'domainsOut', domains: []},
			{kind: 'platformReach', isReached: true},
			createStoredStreams(instance),
		);
	}

	function breakAttempts({registration: {id}}: ModelInstance, isKilled: boolean) {
		for (const attempt of callers.attempts.values()) {
			if (attempt.instance !== id) {
				continue;
			}

			if (isKilled) {
				openSends.get(attempt.id)?.();
				openSends.delete(attempt.id);
			} else {
				push(instances.get(id)!, {kind: 'callerGone', call: attempt.id});
			}

			callers.onBroken(attempt.id);
		}
	}

	function selectInstances(fraction: number): ModelInstance[] {
		return [...instances.values()].filter(({isUp}) => isUp && random.uniform() < fraction);
	}

	/**
	Kills an instance, and starts it again as a new process.

	@param startMs Time after its start from which its attempts count.
	*/
	function kill(instance: ModelInstance, durationMs: number, startMs = contactMs) {
		instance.isUp = false;
		instance.disturbedAt = Number.POSITIVE_INFINITY;
		breakAttempts(instance, true);
		queue.schedule(durationMs, () => {
			const registration = {...instance.registration, incarnation: `${instance.registration.incarnation}'`};
			Object.assign(instance, {
				registration, gateway: createInstanceGateway(registration), isUp: true, backlog: [], disturbedAt: queue.now + startMs - contactMs,
			});
			deliverPlatformData(instance);
			publishRegistrations();
		});
	}

	const faultHandlers: Record<FaultKind, (fault: Fault) => void> = {
		[FaultKind.Kill]({fraction, durationMs}) {
			for (const instance of selectInstances(fraction)) {
				kill(instance, durationMs);
			}
		},
		[FaultKind.KillAll]({durationMs}) {
			for (const instance of selectInstances(1)) {
				kill(instance, durationMs, startMs);
			}
		},
		[FaultKind.Freeze]({fraction, durationMs}) {
			for (const instance of selectInstances(fraction)) {
				instance.frozenUntil = queue.now + durationMs;
				instance.disturbedAt = queue.now + durationMs;
				queue.schedule(durationMs, () => {
					const {backlog} = instance;
					instance.backlog = [];
					push(instance, {kind: 'stalled', ms: durationMs}, ...backlog);
				});
			}
		},
		[FaultKind.CutFromPeers]({fraction, durationMs}) {
			for (const instance of selectInstances(fraction)) {
				instance.cutFromPeersUntil = queue.now + durationMs;
				instance.disturbedAt = queue.now + durationMs;
			}
		},
		[FaultKind.CutFromPlatform]({fraction, durationMs}) {
			for (const instance of selectInstances(fraction)) {
				instance.cutFromPlatformUntil = queue.now + durationMs;
				instance.disturbedAt = queue.now + durationMs;
				if (durationMs > platformTimeoutMs) {
					deliver(instance, platformTimeoutMs, {kind: 'platformReach', isReached: false});
				}

				deliver(instance, durationMs, {kind: 'platformReach', isReached: true});
				deliverTargets(instance, durationMs);
			}
		},
		[FaultKind.CrashTargets]({fraction, durationMs}) {
			for (const {id, softwareVersion} of [...targets.listed.values()].filter(target => random.uniform() < fraction && targets.isRunning(target.id))) {
				targets.crash(id);
				queue.schedule(durationMs, () => {
					targets.start(softwareVersion);
				});
			}
		},
		[FaultKind.RestartTargets]({fraction, durationMs}) {
			const versions = [...targets.listed.values()].map(({softwareVersion}) => softwareVersion);
			for (const {id} of [...targets.listed.values()].filter(target => random.uniform() < fraction && targets.isRunning(target.id))) {
				targets.crash(id, true);
				queue.schedule(durationMs, () => {
					if (targets.listed.has(id)) {
						targets.start(versions[Math.floor(random.uniform() * versions.length)]!, id);
					}
				});
			}
		},
		[FaultKind.ResetCallers]({fraction}) {
			for (const instance of selectInstances(fraction)) {
				breakAttempts(instance, false);
			}
		},
	};

	function replaceNext({softwareVersion, gapMs}: Rollout, ids: string[]) {
		const [id, ...rest] = ids;
		if (id === undefined) {
			return;
		}

		targets.start(softwareVersion);
		queue.schedule(gapMs, () => {
			targets.drain(id);
			replaceNext({
				softwareVersion, gapMs, atMs: 0, fraction: 0,
			}, rest);
		});
	}

	function scheduleStreams() {
		queue.schedule(random.exponential(1000 / options.streamsPerSecond), () => {
			callers.begin();
			scheduleStreams();
		});
	}

	function tick() {
		for (const instance of instances.values()) {
			push(instance);
		}

		queue.schedule(tickMs, tick);
	}

	for (let index = 0; index < options.targets; index += 1) {
		targets.start(firstVersion);
	}

	for (let index = 0; index < options.instances; index += 1) {
		const id = `m${index}`;
		const registration: Registration = {
			id, incarnation: '1', failureDomain: `d${index % failureDomains}`, callerAddress: id, peerUrl: id, capacity, state: MemberState.Active,
		};
		instances.set(id, {
			registration, gateway: createInstanceGateway(registration), isUp: true, frozenUntil: 0, cutFromPeersUntil: 0, cutFromPlatformUntil: 0, disturbedAt: -contactMs, backlog: [],
		});
	}

	for (const instance of instances.values()) {
		deliverPlatformData(instance);
	}

	publishRegistrations();
	tick();
	scheduleStreams();
	for (const rollout of options.rollouts) {
		queue.schedule(rollout.atMs, () => {
			const ids = [...targets.listed.values()].filter(({softwareVersion}) => softwareVersion !== rollout.softwareVersion).map(({id}) => id);
			replaceNext(rollout, ids.slice(0, Math.ceil(ids.length * rollout.fraction)));
		});
	}

	for (const fault of options.faults) {
		queue.schedule(fault.atMs, () => {
			faultHandlers[fault.kind](fault);
		});
	}

	queue.runUntil(options.seconds * 1000);
	return {
		...run,
		streams: callers.streams.length,
		mixedStreams: callers.streams.filter(({versions}) => versions.size > 1).length,
		begun: callers.begun,
		resumed: callers.resumed,
	};
}
