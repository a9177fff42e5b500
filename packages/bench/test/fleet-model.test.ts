import type {PromptSegment} from '@shallotloom/core/gateway/rows.ts';
import {createEngine, engineDefaults, type EngineOptions} from '../src/fleet-model/engine.ts';
import {createEventQueue} from '../src/fleet-model/event-queue.ts';
import {CallEnd, runFleet, type FleetOptions} from '../src/fleet-model/fleet.ts';
import {fleets} from '../src/fleet-model/fleets.ts';
import {worthOf} from '../src/fleet-model/worth.ts';

test('events run in the order of their times, those of one time in the order in which they were added', () => {
	const queue = createEventQueue();
	const ran: string[] = [];
	for (const [delayMs, name] of [[5, 'c'], [1, 'a'], [5, 'd'], [3, 'b'], [9, 'later']] as const) {
		queue.after(delayMs, () => {
			ran.push(`${name}${queue.now}`);
		});
	}

	queue.runUntil(8);
	expect(ran).toEqual(['a1', 'b3', 'c5', 'd5']);
	expect(queue.now).toBe(8);
});

/** Times to the first byte of prompts that arrive together at an engine. */
function firstBytes(prompts: PromptSegment[][], options: Partial<EngineOptions> = {}) {
	const queue = createEventQueue();
	const engine = createEngine({
		queue,
		options: {...engineDefaults, ...options},
		onRead() {
			// Only times count here.
		},
	});
	const times: number[] = [];
	for (const [index, parts] of prompts.entries()) {
		engine.add({
			id: String(index),
			parts,
			outputTokens: 10,
			onFirst() {
				times[index] = queue.now;
			},
			onEnd() {
				// As above.
			},
		});
	}

	queue.runUntil(60_000);
	return times;
}

test('an engine reads prompts in their order, and a part that it keeps is not read again', () => {
	const shared = {id: 'shared', tokens: 5700};
	const [first, second] = firstBytes([[shared, {id: 'a', tokens: 570}], [shared, {id: 'b', tokens: 570}]]);
	expect(first).toBeGreaterThan(110);
	expect(second! - first!).toBeLessThan(40);
});

test('a part that other prompts have displaced is read again', () => {
	const shared = {id: 'shared', tokens: 5000};
	const between = Array.from({length: 4}, (_, index) => [{id: `x${index}`, tokens: 5000}]);
	const order = [[shared, {id: 'a', tokens: 10}], ...between, [shared, {id: 'b', tokens: 10}]];
	const roomy = firstBytes(order, {slots: 1});
	const narrow = firstBytes(order, {slots: 1, memoryTokens: 12_000});
	expect(narrow.at(-1)! - narrow.at(-2)!).toBeGreaterThan(roomy.at(-1)! - roomy.at(-2)! + 50);
});

const small: FleetOptions = {
	...fleets['straw-calm']!, seed: 2, seconds: 8, limits: {},
};

test('each request of a fleet ends once, and a run is the same for one seed', () => {
	const [one, other] = [runFleet(small), runFleet(small)];
	expect(one.records.length).toBeGreaterThan(200);
	expect(one.records.map(({askedAt, end, firstMs}) => [askedAt, end, firstMs])).toEqual(other.records.map(({askedAt, end, firstMs}) => [askedAt, end, firstMs]));
	expect(new Set(one.records.map(({request}) => request)).size).toBe(one.records.length);
	expect(one.records.filter(({end}) => end === CallEnd.OnTime).length).toBeGreaterThan(one.records.length * 0.8);
});

test('engines that crash lose their requests, and the fleet goes on', () => {
	const {records} = runFleet({...small, crashes: [{atMs: 3000, forMs: 1000, engines: 4}]});
	expect(records.filter(({askedAt, end}) => askedAt > 5000 && end === CallEnd.OnTime).length).toBeGreaterThan(50);
});

test('no workspace that waits throughout falls far behind while others flood', () => {
	const flooded = {
		...fleets['college-flooded']!, seed: 1, seconds: 14, limits: {},
	};
	expect(worthOf(runFleet(flooded), flooded).unfairSpans).toBe(0);
});

test('a workspace earns nothing beyond its share', () => {
	const {request} = (runFleet(small).records[0]!);
	const records = ['a', 'b'].flatMap(workspace => Array.from({length: workspace === 'a' ? 30 : 10}, () => ({
		request: {...request, workspace, cost: 100}, askedAt: 100, end: CallEnd.OnTime, firstMs: 1,
	})));
	const worth = worthOf({
		records, rereadTokens: 0, begun: [], steps: 0, stepMs: 0,
	}, {seconds: 1, tokensPerSecond: 500, rereadPrice: 0});
	expect(worth.whole).toBeCloseTo(1);
	const without = records.map(record => record.request.workspace === 'b' ? {...record, end: CallEnd.Refused} : record);
	expect(worthOf({
		records: without, rereadTokens: 0, begun: [], steps: 0, stepMs: 0,
	}, {seconds: 1, tokensPerSecond: 500, rereadPrice: 0}).whole).toBeCloseTo(0.5);
});
