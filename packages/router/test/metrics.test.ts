import {Phase} from '@shallotloom/core/messages.ts';
import {Outcome, RefusalKind} from '@shallotloom/core/refusal.ts';
import {createMetrics, type MetricValues} from '../src/metrics.ts';

const values: MetricValues = {
	workspaces: [
		{
			id: 'ba', servedTokens: 100, waiting: 0, gap: 0, retries: 1,
		},
		{
			id: 'nadi', servedTokens: 50, waiting: 4, gap: 30, retries: 0,
		},
		{
			id: 'suva', servedTokens: 7, waiting: 0, gap: 5, retries: 2,
		},
	],
	targets: [{
		id: 'engine-1', phase: Phase.Warm, permits: 3, budget: 8,
	}],
	refusals: [{kind: RefusalKind.QueueFull, outcome: Outcome.NotRun, count: 9}],
	controlBytesIn: 10,
	controlBytesOut: 20,
	storeCalls: {
		get: 1, put: 2, delete: 0, list: 3, watch: 4,
	},
	leaseAgeMs: 1500,
	revision: 42,
	stepsMs: [0.7, 3],
	heapBytes: 5000,
};

async function getSampleLines(metrics: ReturnType<typeof createMetrics>): Promise<string[]> {
	const {text} = await metrics.scrape();
	return text.split('\n').filter(line => line !== '' && !line.startsWith('#'));
}

test('an update sets every metric', async () => {
	const metrics = createMetrics();
	metrics.update(values);
	expect(await getSampleLines(metrics)).toEqual(expect.arrayContaining([
		'nodejs_heap_size_used_bytes 5000',
		'shallotloom_service_weighted_tokens_total{workspace="ba"} 100',
		'shallotloom_fairness_gap_weighted_tokens{workspace="nadi"} 30',
		'shallotloom_queue_requests{workspace="nadi"} 4',
		'shallotloom_retries_total{workspace="suva"} 2',
		'shallotloom_permits{target="engine-1"} 3',
		'shallotloom_permit_budget{target="engine-1"} 8',
		'shallotloom_targets{phase="warm"} 1',
		'shallotloom_targets{phase="cold"} 0',
		'shallotloom_refusals_total{kind="queue-full",outcome="not-run"} 9',
		'shallotloom_control_bytes_total{direction="out"} 20',
		'shallotloom_store_calls_total{operation="watch"} 4',
		'shallotloom_lease_age_seconds 1.5',
		'shallotloom_revision 42',
		'shallotloom_step_duration_seconds_count 2',
	]));
});

test('a second update replaces the first', async () => {
	const metrics = createMetrics();
	metrics.update(values);
	metrics.update({...values, workspaces: [{...values.workspaces[0]!, servedTokens: 120}], targets: []});
	const text = await getSampleLines(metrics);
	expect(text).toContain('shallotloom_service_weighted_tokens_total{workspace="ba"} 120');
	expect(text.join('\n')).not.toMatch(/nadi|engine-1/v);
});

test('the number of labels is limited: backlogged workspaces come first and the rest share a label', async () => {
	const metrics = createMetrics({maxWorkspaces: 1});
	metrics.update(values);
	const text = await getSampleLines(metrics);
	expect(text.filter(line => line.startsWith('shallotloom_service'))).toEqual([
		'shallotloom_service_weighted_tokens_total{workspace="nadi"} 50',
		'shallotloom_service_weighted_tokens_total{workspace="(other)"} 107',
	]);
	expect(text).toContain('shallotloom_fairness_gap_weighted_tokens{workspace="(other)"} 5');
});
