/*
Metrics of routed calls. Label values come from fixed sets (refusal kinds, outcomes, ends of sends, standings, parts) or are pool
names, never ids or workspaces, so that the number of time series stays bounded.
*/
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {Gateway} from '@shallotloom/core/gateway/gateway.ts';
import {isReady} from '@shallotloom/core/gateway/instances.ts';
import {isOverloaded} from '@shallotloom/core/gateway/overload.ts';
import {isDataReturnRecent} from '@shallotloom/core/gateway/platform-data.ts';
import type {GatewayInbound, GatewayOutboundOf} from '@shallotloom/core/gateway/ports.ts';
import {isRateLimited} from '@shallotloom/core/gateway/rate-limits.ts';
import {isServing} from '@shallotloom/core/gateway/serving-set.ts';
import {getSuspectKind, SuspectKind} from '@shallotloom/core/gateway/suspects.ts';
import {isPaused} from '@shallotloom/core/gateway/target-notices.ts';
import {RefusalKind, type Refusal} from '@shallotloom/core/refusal.ts';
import type {ConnectionEnd} from './caller-connections.ts';
import type {BufferedBytes} from './buffered-bytes.ts';

export type GatewayMetrics = {
	/** Number of calls whose first byte is awaited. */
	readonly awaitedCalls: number;
	countRefusal(refusal: Refusal, call?: Pick<GatewayOutboundOf<'refuse'>, 'pool' | 'cause'>): void;
	/** Counts an answer that was cut after it had begun. */
	countCutAnswer(cause: RefusalKind): void;
	/** Counts a connection of a caller that the router closed without the end of an answer. */
	countClosedConnection(reason: ConnectionEnd): void;
	/** Counts a send that resumes a stream. */
	countSend(send: GatewayOutboundOf<'send'>): void;
	/** Counts an exception that was contained, by the part that threw. */
	countInternalError(part: string): void;
	/** Counts the call events that an inbound message reports. */
	countInbound(inbound: GatewayInbound, now: number): void;
	/** Forgets a call that has ended in whatever way. */
	forgetCall(call: string): void;
	/** Sets where the gauge of buffered bytes is read from. */
	observeBuffers(bufferedBytes: Pick<BufferedBytes, 'total'>): void;
	/** Returns the metrics of the current state in the text format of a scrape. */
	scrape(gateway: Gateway, omittedLines: number): Promise<{text: string; contentType: string}>;
};

/** Bucket bounds of the time to first byte, in seconds. */
const firstByteBucketsSeconds = [0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 4, 12];

const msPerSecond = 1000;

/** Causes of refusals that concern only streams to be resumed. */
const streamCauses = new Set([RefusalKind.StreamUnknown, RefusalKind.StreamVersionGone]);

export function createGatewayMetrics(): GatewayMetrics {
	const registers = [new Registry()];
	const refusedCalls = new Counter({
		name: 'shallotloom_calls_refused_total', help: 'Calls answered by the router itself, by reason and outcome.', labelNames: ['reason', 'outcome'], registers,
	});
	const arrivedCalls = new Counter({name: 'shallotloom_calls_total', help: 'Calls that arrived.', registers});
	const endedSends = new Counter({
		name: 'shallotloom_sends_total', help: 'Sends to targets, by how they ended.', labelNames: ['end'], registers,
	});
	const resumedStreams = new Counter({
		name: 'shallotloom_streams_resumed_total', help: 'Sends that resume a stream, by pool and by who resumes it.', labelNames: ['pool', 'by'], registers,
	});
	const refusedStreams = new Counter({
		name: 'shallotloom_streams_not_resumed_total', help: 'Streams that could not be resumed at the software version that began them, by pool and cause.', labelNames: ['pool', 'cause'], registers,
	});
	const cutAnswers = new Counter({
		name: 'shallotloom_answers_cut_total', help: 'Answers that were cut after they had begun, by cause.', labelNames: ['cause'], registers,
	});
	const closedConnections = new Counter({
		name: 'shallotloom_caller_connections_closed_total', help: 'Connections of callers that the router closed without the end of an answer, by reason.', labelNames: ['reason'], registers,
	});
	const internalErrors = new Counter({
		name: 'shallotloom_internal_errors_total', help: 'Exceptions that were contained, by the part that threw.', labelNames: ['part'], registers,
	});
	const disconnectedCallers = new Counter({name: 'shallotloom_callers_left_total', help: 'Calls whose caller left before the answer.', registers});
	const firstByteSeconds = new Histogram({
		name: 'shallotloom_first_byte_seconds', help: 'Time from a call\'s arrival to its first byte.', buckets: firstByteBucketsSeconds, registers,
	});
	const gauges = {
		openCalls: new Gauge({name: 'shallotloom_calls_open', help: 'Calls in work.', registers}),
		waitingCalls: new Gauge({name: 'shallotloom_calls_waiting', help: 'Calls that wait for a place at a target.', registers}),
		targets: new Gauge({
			name: 'shallotloom_targets', help: 'Targets known, by standing.', labelNames: ['standing'], registers,
		}),
		pausedTargets: new Gauge({name: 'shallotloom_targets_paused', help: 'Targets that want no request from this instance now.', registers}),
		rateLimitedTargets: new Gauge({name: 'shallotloom_targets_rate_limited', help: 'Targets that named a limit on the requests per second of all instances together.', registers}),
		unlistedTargets: new Gauge({name: 'shallotloom_targets_unlisted', help: 'Targets kept though the platform no longer lists them.', registers}),
		quarantinedSegments: new Gauge({name: 'shallotloom_prompt_segments_quarantined', help: 'Prompt segments in quarantine, since targets crashed under them.', registers}),
		quarantinedRequests: new Gauge({name: 'shallotloom_requests_quarantined', help: 'Contents of requests in quarantine, since targets crashed under them.', registers}),
		servingInstances: new Gauge({name: 'shallotloom_instances_serving', help: 'Instances to which callers are sent.', registers}),
		isServing: new Gauge({name: 'shallotloom_serving', help: 'Whether callers are sent to this instance.', registers}),
		usedCapacity: new Gauge({name: 'shallotloom_processor_used_cores', help: 'Processor capacity in use, in cores.', registers}),
		overloaded: new Gauge({name: 'shallotloom_overloaded', help: 'Whether this instance counts as overloaded.', registers}),
		dataReturns: new Gauge({name: 'shallotloom_platform_data_returned', help: 'Whether the platform returned with older data so recently that some may be missing.', registers}),
		instances: new Gauge({name: 'shallotloom_instances', help: 'Instances registered.', registers}),
		catalogueVersion: new Gauge({name: 'shallotloom_catalogue_version', help: 'Version of the catalogue in force; 0 before the first.', registers}),
		ready: new Gauge({name: 'shallotloom_ready', help: 'Whether callers are served.', registers}),
		platformReached: new Gauge({name: 'shallotloom_platform_reached', help: 'Whether the platform answers.', registers}),
		platformAnswerAge: new Gauge({name: 'shallotloom_platform_answer_age_seconds', help: 'Time since the platform last answered a request for targets.', registers}),
		engineLimit: new Gauge({
			name: 'shallotloom_engine_limit', help: 'Most requests at once at an engine, by pool.', labelNames: ['pool'], registers,
		}),
		bufferedBytes: new Gauge({name: 'shallotloom_buffered_bytes', help: 'Bytes of requests and answers that are buffered.', registers}),
		bufferBudget: new Gauge({name: 'shallotloom_buffer_budget_bytes', help: 'Most bytes of requests and answers that are buffered at once.', registers}),
		omittedLines: new Gauge({name: 'shallotloom_log_lines_omitted', help: 'Log lines left out since the start.', registers}),
	};
	let observedBuffers: Pick<BufferedBytes, 'total'> | undefined;
	/** Arrival times of the calls whose first byte is still awaited, in milliseconds, by call id. */
	const arrivedAt = new Map<string, number>();

	/** Handlers by kind of message; other kinds are not counted. */
	const countHandlers: {[Kind in GatewayInbound['kind']]?: (inbound: Extract<GatewayInbound, {kind: Kind}>, now: number) => void} = {
		callArrived({call}, now) {
			arrivedCalls.inc();
			arrivedAt.set(call.id, now);
		},
		callerGone() {
			disconnectedCallers.inc();
		},
		answerStarted({call}, now) {
			const at = arrivedAt.get(call);
			if (at !== undefined) {
				firstByteSeconds.observe((now - at) / msPerSecond);
				arrivedAt.delete(call);
			}
		},
		sendEnded({call, end}) {
			endedSends.inc({end});
			arrivedAt.delete(call);
		},
	};

	function setGauges(gateway: Gateway, omittedLines: number) {
		gauges.openCalls.set(gateway.calls.size);
		gauges.waitingCalls.set([...gateway.queues.values()].reduce((sum, queue) => sum + queue.size, 0));
		gauges.targets.reset();
		for (const {standing} of gateway.targets.rows()) {
			gauges.targets.inc({standing});
		}

		gauges.pausedTargets.set([...gateway.targets.rows()].filter(target => isPaused(gateway, target)).length);
		gauges.rateLimitedTargets.set([...gateway.targets.rows()].filter(target => isRateLimited(target)).length);
		gauges.unlistedTargets.set(gateway.unlistedTargets.size);
		const suspectKinds = [...gateway.quarantines.keys()].map(suspect => getSuspectKind(suspect));
		gauges.quarantinedSegments.set(suspectKinds.filter(kind => kind === SuspectKind.Segment).length);
		gauges.quarantinedRequests.set(suspectKinds.filter(kind => kind === SuspectKind.Request).length);
		gauges.servingInstances.set(gateway.servingInstances.size);
		gauges.isServing.set(isServing(gateway) ? 1 : 0);
		gauges.usedCapacity.set(gateway.usedCapacity);
		gauges.overloaded.set(isOverloaded(gateway) ? 1 : 0);
		gauges.dataReturns.set(isDataReturnRecent(gateway) ? 1 : 0);
		gauges.instances.set(gateway.instances.size);
		gauges.catalogueVersion.set(gateway.catalogue?.version ?? 0);
		gauges.ready.set(isReady(gateway) ? 1 : 0);
		gauges.platformReached.set(gateway.platform.isReached ? 1 : 0);
		gauges.platformAnswerAge.set((gateway.now - gateway.platform.lastAnswerAt) / msPerSecond);
		for (const {pool, concurrencyLimit: limit} of gateway.poolEstimates.rows()) {
			gauges.engineLimit.set({pool}, limit);
		}

		gauges.bufferedBytes.set(observedBuffers?.total ?? 0);
		gauges.bufferBudget.set(gateway.limits.maxBufferedBytes);
		gauges.omittedLines.set(omittedLines);
	}

	return {
		get awaitedCalls() {
			return arrivedAt.size;
		},
		countRefusal({kind, outcome}, {pool, cause} = {}) {
			refusedCalls.inc({reason: kind, outcome});
			if (cause !== undefined && streamCauses.has(cause)) {
				refusedStreams.inc({pool: pool ?? '', cause});
			}
		},
		countCutAnswer(cause) {
			cutAnswers.inc({cause});
		},
		countClosedConnection(reason) {
			closedConnections.inc({reason});
		},
		countSend({pool, isResumed, isResumedByCaller}) {
			if (isResumed || isResumedByCaller) {
				resumedStreams.inc({pool, by: isResumed ? 'router' : 'caller'});
			}
		},
		countInternalError(part) {
			internalErrors.inc({part});
		},
		countInbound(inbound, now) {
			const handler = countHandlers[inbound.kind] as ((inbound: GatewayInbound, now: number) => void) | undefined;
			handler?.(inbound, now);
		},
		forgetCall(call) {
			arrivedAt.delete(call);
		},
		observeBuffers(bufferedBytes) {
			observedBuffers = bufferedBytes;
		},
		async scrape(gateway, omittedLines) {
			setGauges(gateway, omittedLines);
			return {text: await registers[0]!.metrics(), contentType: registers[0]!.contentType};
		},
	};
}
