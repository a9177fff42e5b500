/*
The router's Prometheus metrics. Before each scrape they are updated from a plain object of current values. The number of
labels is limited: the busiest workspaces and targets have a label each, and the rest share one.
*/
import {Phase} from '@shallotloom/core/messages.ts';
import type {Outcome, RefusalKind} from '@shallotloom/core/refusal.ts';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

export type WorkspaceValues = {
	id: string;
	/** Weighted tokens charged since the router started. */
	servedTokens: number;
	/** Waiting requests. */
	waiting: number;
	/** Weighted tokens behind the most served backlogged workspace; 0 when it has no backlog. */
	gap: number;
	/** Retries since the router started. */
	retries: number;
};

/** Values of one target that this router owns. */
export type TargetValues = {
	id: string;
	phase: Phase;
	/** Outstanding permits. */
	permits: number;
	budget: number;
};

export type RefusalCount = {
	kind: RefusalKind;
	outcome: Outcome;
	/** Refusals since the router started. */
	count: number;
};

/** Operations on the Object API that are counted. */
export type StoreCall = 'get' | 'put' | 'delete' | 'list' | 'watch';

/** Current values; counts start when the router starts. */
export type MetricValues = {
	workspaces: WorkspaceValues[];
	targets: TargetValues[];
	refusals: RefusalCount[];
	controlBytesIn: number;
	controlBytesOut: number;
	storeCalls: Record<StoreCall, number>;
	/** Time since the lease was last renewed. */
	leaseAgeMs: number;
	/** Revision of the configuration in force. */
	revision: number;
	/** Durations of the steps since the previous scrape. */
	stepsMs: number[];
	/** Used heap of the process. */
	heapBytes: number;
};

export type Metrics = {
	/** Sets every metric from the current values. */
	update(values: MetricValues): void;
	/** Returns all metrics in the Prometheus text format. */
	scrape(): Promise<{text: string; contentType: string}>;
};

/** Maximum number of workspaces and targets that have a label of their own. */
export type MetricsOptions = {
	maxWorkspaces: number;
	maxTargets: number;
};

export const defaultMetricsOptions: MetricsOptions = {maxWorkspaces: 200, maxTargets: 100};

/** Label shared by the rows beyond the limit; no entity can have this name. */
export const otherLabel = '(other)';

const msPerSecond = 1000;
const stepBucketsSeconds = [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25];

/** Creates the metrics of one router in a separate registry. */
export function createMetrics(options: Partial<MetricsOptions> = {}): Metrics {
	const {maxWorkspaces, maxTargets} = {...defaultMetricsOptions, ...options};
	const registry = new Registry();
	const setters = [
		createWorkspaceMetrics(registry, maxWorkspaces),
		createTargetMetrics(registry, maxTargets),
		createRefusalMetrics(registry),
		createControlMetrics(registry),
		createStepMetrics(registry),
		createProcessMetrics(registry),
	];
	return {
		update(values) {
			for (const setter of setters) {
				setter(values);
			}
		},
		scrape: async () => ({text: await registry.metrics(), contentType: registry.contentType}),
	};
}

type Setter = (values: MetricValues) => void;

function createWorkspaceMetrics(registry: Registry, maxRows: number): Setter {
	const servedTokens = createCounter(registry, 'service_weighted_tokens_total', 'Weighted tokens charged to a workspace', ['workspace']);
	const retries = createCounter(registry, 'retries_total', 'Requests sent again', ['workspace']);
	const waiting = createGauge(registry, 'queue_requests', 'Requests that wait', ['workspace']);
	const gap = createGauge(registry, 'fairness_gap_weighted_tokens', 'Weighted tokens behind the most served backlogged workspace', ['workspace']);
	return ({workspaces}) => {
		resetMetrics(servedTokens, retries, waiting, gap);
		for (const row of limitRows(workspaces, maxRows, ({waiting, servedTokens}) => [waiting, servedTokens], mergeWorkspaces)) {
			servedTokens.inc({workspace: row.id}, row.servedTokens);
			retries.inc({workspace: row.id}, row.retries);
			waiting.set({workspace: row.id}, row.waiting);
			gap.set({workspace: row.id}, row.gap);
		}
	};
}

function createTargetMetrics(registry: Registry, maxRows: number): Setter {
	const permits = createGauge(registry, 'permits', 'Permits that are out', ['target']);
	const budget = createGauge(registry, 'permit_budget', 'Most permits that may be out', ['target']);
	const phases = createGauge(registry, 'targets', 'Owned targets by phase', ['phase']);
	return ({targets}) => {
		resetMetrics(permits, budget);
		for (const [phase, label] of phaseLabels) {
			phases.set({phase: label}, targets.filter(target => target.phase === phase).length);
		}

		for (const row of limitRows(targets, maxRows, ({permits, budget}) => [permits, budget], mergeTargets)) {
			permits.set({target: row.id}, row.permits);
			budget.set({target: row.id}, row.budget);
		}
	};
}

const phaseLabels: ReadonlyArray<[phase: Phase, label: string]> = [
	[Phase.Cold, 'cold'],
	[Phase.Ramping, 'ramping'],
	[Phase.Warm, 'warm'],
	[Phase.SetAside, 'set-aside'],
];

function createRefusalMetrics(registry: Registry): Setter {
	const refusals = createCounter(registry, 'refusals_total', 'Requests refused', ['kind', 'outcome']);
	return values => {
		resetMetrics(refusals);
		for (const {kind, outcome, count} of values.refusals) {
			refusals.inc({kind, outcome}, count);
		}
	};
}

function createControlMetrics(registry: Registry): Setter {
	const bytes = createCounter(registry, 'control_bytes_total', 'Bytes of control traffic', ['direction']);
	const calls = createCounter(registry, 'store_calls_total', 'Calls to the Object API', ['operation']);
	const leaseAge = createGauge(registry, 'lease_age_seconds', 'Time since the lease was renewed', []);
	const revision = createGauge(registry, 'revision', 'Revision of the configuration in force', []);
	return values => {
		resetMetrics(bytes, calls);
		bytes.inc({direction: 'in'}, values.controlBytesIn);
		bytes.inc({direction: 'out'}, values.controlBytesOut);
		for (const [operation, count] of Object.entries(values.storeCalls)) {
			calls.inc({operation}, count);
		}

		leaseAge.set(values.leaseAgeMs / msPerSecond);
		revision.set(values.revision);
	};
}

function createStepMetrics(registry: Registry): Setter {
	const duration = new Histogram({
		name: 'shallotloom_step_duration_seconds', help: 'Duration of one step of the core', buckets: stepBucketsSeconds, registers: [registry],
	});
	return ({stepsMs}) => {
		for (const stepMs of stepsMs) {
			duration.observe(stepMs / msPerSecond);
		}
	};
}

/** Heap size, under the name that Prometheus clients for Node.js have in common. */
function createProcessMetrics(registry: Registry): Setter {
	const heap = new Gauge({name: 'nodejs_heap_size_used_bytes', help: 'Heap in use', registers: [registry]});
	return ({heapBytes}) => {
		heap.set(heapBytes);
	};
}

function createCounter(registry: Registry, name: string, help: string, labelNames: string[]): Counter {
	return new Counter({
		name: `shallotloom_${name}`, help, labelNames, registers: [registry],
	});
}

function createGauge(registry: Registry, name: string, help: string, labelNames: string[]): Gauge {
	return new Gauge({
		name: `shallotloom_${name}`, help, labelNames, registers: [registry],
	});
}

/** Removes the labels of the previous scrape, so that withdrawn entities disappear. */
function resetMetrics(...metrics: Array<Counter | Gauge>) {
	for (const metric of metrics) {
		metric.reset();
	}
}

/** Keeps the `maxRows` rows of the highest rank and merges the rest into one. */
function limitRows<Row extends {id: string}>(rows: Row[], maxRows: number, rank: (row: Row) => number[], merge: (rows: Row[]) => Row): Row[] {
	if (rows.length <= maxRows) {
		return rows;
	}

	const ranked = rows.toSorted((left, right) => compareTuples(rank(right), rank(left)) || left.id.localeCompare(right.id));
	return [...ranked.slice(0, maxRows), merge(ranked.slice(maxRows))];
}

function compareTuples(left: number[], right: number[]): number {
	const index = left.findIndex((value, position) => value !== right[position]);
	return index === -1 ? 0 : left[index]! - right[index]!;
}

function mergeWorkspaces(rows: WorkspaceValues[]): WorkspaceValues {
	return {
		id: otherLabel,
		servedTokens: sum(rows.map(row => row.servedTokens)),
		waiting: sum(rows.map(row => row.waiting)),
		gap: Math.max(...rows.map(row => row.gap)),
		retries: sum(rows.map(row => row.retries)),
	};
}

function mergeTargets(rows: TargetValues[]): TargetValues {
	return {
		id: otherLabel,
		phase: Phase.Cold,
		permits: sum(rows.map(row => row.permits)),
		budget: sum(rows.map(row => row.budget)),
	};
}

function sum(values: number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
