/*
Metrics of routed calls. Label sets are bounded: kinds of refusals, ends of sends and states, never ids or workspaces.
*/
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {Gateway} from '@shallotloom/core/gateway/gateway.ts';
import {isReady} from '@shallotloom/core/gateway/instances.ts';
import type {GatewayInbound} from '@shallotloom/core/gateway/ports.ts';
import type {Refusal} from '@shallotloom/core/refusal.ts';

export type GatewayMetrics = {
	countRefusal(refusal: Refusal): void;
	/** Counts what an inbound message tells of a call. */
	countInbound(inbound: GatewayInbound, now: number): void;
	/** Text for a scrape, of the state at this moment. */
	scrape(gateway: Gateway, omittedLines: number): Promise<{text: string; contentType: string}>;
};

/** Bounds of the histogram of times to first byte, in seconds. */
const firstByteBuckets = [0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 4, 12];

const second = 1000;

/** Creates the metrics of one router. */
export function createGatewayMetrics(): GatewayMetrics {
	const registers = [new Registry()];
	const refused = new Counter({
		name: 'shallotloom_calls_refused_total', help: 'Calls answered by the router itself, by reason and outcome.', labelNames: ['reason', 'outcome'], registers,
	});
	const arrived = new Counter({name: 'shallotloom_calls_total', help: 'Calls that arrived.', registers});
	const ends = new Counter({
		name: 'shallotloom_sends_total', help: 'Sends to targets, by how they ended.', labelNames: ['end'], registers,
	});
	const left = new Counter({name: 'shallotloom_callers_left_total', help: 'Calls whose caller left before the answer.', registers});
	const firstByte = new Histogram({
		name: 'shallotloom_first_byte_seconds', help: 'Time from a call\'s arrival to its first byte.', buckets: firstByteBuckets, registers,
	});
	const gauges = {
		calls: new Gauge({name: 'shallotloom_calls_open', help: 'Calls in work.', registers}),
		waiting: new Gauge({name: 'shallotloom_calls_waiting', help: 'Calls that wait for a place at a target.', registers}),
		targets: new Gauge({
			name: 'shallotloom_targets', help: 'Targets known, by standing.', labelNames: ['standing'], registers,
		}),
		instances: new Gauge({name: 'shallotloom_instances', help: 'Instances registered.', registers}),
		catalogue: new Gauge({name: 'shallotloom_catalogue_version', help: 'Version of the catalogue in force; 0 before the first.', registers}),
		ready: new Gauge({name: 'shallotloom_ready', help: 'Whether callers are served.', registers}),
		platform: new Gauge({name: 'shallotloom_platform_reached', help: 'Whether the platform answers.', registers}),
		limit: new Gauge({
			name: 'shallotloom_engine_limit', help: 'Most requests at once at an engine, by pool.', labelNames: ['pool'], registers,
		}),
		omitted: new Gauge({name: 'shallotloom_log_lines_omitted', help: 'Log lines left out since the start.', registers}),
	};
	const arrivedAt = new Map<string, number>();

	/** What each kind of message counts; the others count nothing. */
	const counters: {[Kind in GatewayInbound['kind']]?: (inbound: Extract<GatewayInbound, {kind: Kind}>, now: number) => void} = {
		callArrived({call}, now) {
			arrived.inc();
			arrivedAt.set(call.id, now);
		},
		callerGone({call}) {
			left.inc();
			arrivedAt.delete(call);
		},
		answerStarted({call}, now) {
			const at = arrivedAt.get(call);
			if (at !== undefined) {
				firstByte.observe((now - at) / second);
				arrivedAt.delete(call);
			}
		},
		sendEnded({call, end}) {
			ends.inc({end});
			arrivedAt.delete(call);
		},
	};

	function setGauges(gateway: Gateway, omittedLines: number) {
		gauges.calls.set(gateway.calls.size);
		gauges.waiting.set([...gateway.queues.values()].reduce((sum, queue) => sum + queue.size, 0));
		gauges.targets.reset();
		for (const {standing} of gateway.targets.rows()) {
			gauges.targets.inc({standing});
		}

		gauges.instances.set(gateway.instances.size);
		gauges.catalogue.set(gateway.catalogue?.version ?? 0);
		gauges.ready.set(isReady(gateway) ? 1 : 0);
		gauges.platform.set(gateway.platform.isReached ? 1 : 0);
		for (const {pool, concurrencyLimit: limit} of gateway.poolEstimates.rows()) {
			gauges.limit.set({pool}, limit);
		}

		gauges.omitted.set(omittedLines);
	}

	return {
		countRefusal({kind, outcome}) {
			refused.inc({reason: kind, outcome});
		},
		countInbound(inbound, now) {
			const counter = counters[inbound.kind] as ((inbound: GatewayInbound, now: number) => void) | undefined;
			counter?.(inbound, now);
		},
		async scrape(gateway, omittedLines) {
			setGauges(gateway, omittedLines);
			return {text: await registers[0]!.metrics(), contentType: registers[0]!.contentType};
		},
	};
}
