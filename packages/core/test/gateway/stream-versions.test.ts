import {
	SendEnd, type GatewayInbound, type GatewayOutbound, type GatewayOutboundOf,
} from '../../src/gateway/ports.ts';
import type {StreamQuery, StreamReply} from '../../src/messages.ts';
import {Outcome, RefusalKind} from '../../src/refusal.ts';
import {
	createBench, createDigestFrom, createListedTarget, createPrompt, endSend, filterByKind, type Bench,
} from '../support/gateways.ts';

function createEngine(id: string, softwareVersion: string) {
	return createListedTarget(id, {pool: 'engines', slots: 64, softwareVersion});
}

/** Starts a stream at a target, of which the caller receives the first event. The rest of the outbox is passed on. */
function startStream(bench: Bench, onOutbox: (outbox: GatewayOutbound[]) => void = () => undefined): GatewayOutboundOf<'send'> {
	const outbox = bench.call({path: '/chat/x', prompt: createPrompt('p', 100)});
	onOutbox(outbox);
	const [send] = filterByKind(outbox, 'send');
	bench.step({
		kind: 'answerStarted', call: send!.call, send: send!.send, load: undefined,
	}, {kind: 'answerDelivered', call: send!.call});
	return send!;
}

test('a stream that breaks is not resumed within its answer at a target of another software version', () => {
	const bench = createBench({targets: [createEngine('t1', 'v1'), createEngine('t2', 'v2')]});
	const outbox = endSend(bench, startStream(bench), SendEnd.Broken);
	expect(filterByKind(outbox, 'send')).toEqual([]);
	expect(filterByKind(outbox, 'refuse')).toMatchObject([{refusal: {outcome: Outcome.Unknown}}]);
});

test.each([
	['v1', 'v1', 'v2', 'v2'], ['v1', 'v2', 'v1', 'v2'], ['v1', 'v2', 'v2', 'v1'],
])('a stream that breaks is resumed within its answer at a target of its software version: %s, %s, %s, %s', (...versions) => {
	const bench = createBench({targets: versions.map((version, index) => createEngine(`t${index}`, version))});
	const getVersion = ({target}: GatewayOutboundOf<'send'>) => bench.gateway.targets.get(target)!.softwareVersion;
	const first = startStream(bench);
	const [second] = filterByKind(endSend(bench, first, SendEnd.Broken), 'send');
	expect(getVersion(second!)).toBe(getVersion(first));
	expect(second!.target).not.toBe(first.target);
});

test('an attempt to resume an unknown stream is not sent to a pool of two software versions and is refused as not run', () => {
	const bench = createBench({targets: [createEngine('t1', 'v1'), createEngine('t2', 'v2')]});
	const outbox = bench.call({path: '/chat/x', prompt: createPrompt('p', 100), resumption: {firstRequestId: 'unknown'}});
	const later = bench.wait(2000);
	expect(filterByKind([...outbox, ...later], 'send')).toEqual([]);
	expect(filterByKind([...outbox, ...later], 'refuse')).toMatchObject([{refusal: {outcome: Outcome.NotRun}}]);
});

/** Delivers the messages about streams of one instance to another. */
function deliver(outbox: GatewayOutbound[], from: Bench, to: Bench): GatewayOutbound[] {
	return filterByKind(outbox, 'sendStreamMessage').flatMap(({message}) => to.step({kind: message.kind, from: from.gateway.self.id, message} as GatewayInbound));
}

describe('an attempt at another instance', () => {
	const targets = ['v1', 'v2', 'v1', 'v2'].map((version, index) => createEngine(`t${index}`, version));
	let first: Bench;
	let second: Bench;
	let begun: GatewayOutboundOf<'send'>;

	beforeEach(() => {
		first = createBench({targets, instances: ['a', 'b']});
		second = createBench({targets, instances: ['b', 'a']});
		begun = startStream(first, outbox => {
			deliver(outbox, first, second);
		});
	});

	test('resumes a stream at the software version that began it', () => {
		const [resumed] = filterByKind(second.call({path: '/chat/x', prompt: createPrompt('p', 100), resumption: {firstRequestId: 'c1'}}), 'send');
		const getVersion = (target: string) => targets.find(({id}) => id === target)!.softwareVersion;
		expect(getVersion(resumed!.target)).toBe(getVersion(begun.target));
	});

	test('doesn\'t resume a stream that another workspace began', () => {
		const outbox = second.call({
			path: '/chat/x', key: 'key-b', prompt: createPrompt('p', 100), resumption: {firstRequestId: 'c1'},
		});
		expect(filterByKind([...outbox, ...second.wait(2000)], 'send')).toEqual([]);
	});

	test('asks for a stream that it doesn\'t know, and is refused at once when no other instance knows it', () => {
		const outbox = second.call({path: '/chat/x', prompt: createPrompt('p', 100), resumption: {firstRequestId: 'unknown'}});
		expect(filterByKind(outbox, 'sendStreamMessage')).toMatchObject([{to: 'a', message: {kind: 'streamQuery'}}]);
		const replied = deliver(deliver(outbox, second, first), first, second);
		const asked = second.wait(150);
		const refused = deliver(deliver(asked, second, first), first, second);
		expect(filterByKind(replied, 'refuse')).toEqual([]);
		expect(filterByKind(refused, 'refuse')).toMatchObject([{refusal: {kind: RefusalKind.StreamUnknown, outcome: Outcome.NotRun}}]);
	});
});

test.each([
	['names', 'unknown'], ['does not name', undefined],
])('an attempt that %s its stream resumes it where only one software version can have begun it', (_name, firstRequestId) => {
	const bench = createBench({targets: [createEngine('t1', 'v1')], isFirstStart: true});
	expect(filterByKind(bench.call({path: '/chat/x', prompt: createPrompt('p', 100), resumption: {firstRequestId}}), 'send')).toHaveLength(1);
});

describe('an instance that was out of step while a version joined', () => {
	const others = ['b', 'c', 'd'];
	let bench: Bench;

	/** Lets the caller of a stream that another instance began resume it here. */
	const resume = () => bench.call({
		path: '/chat/x', prompt: createPrompt('p', 100), resumption: {firstRequestId: 'elsewhere'}, remainingMs: 5000,
	});

	beforeEach(() => {
		bench = createBench({targets: [createEngine('t1', 'v1'), createEngine('t2', 'v1')], instances: ['a', ...others], isFirstStart: true});
		bench.step(...others.map(id => createDigestFrom(id)));
	});

	// Guards against streams of a new version that go on at the old one, at an instance that hasn't seen the new one.
	test.each([
		['it stood still', () => [...bench.wait(6000), ...bench.step({kind: 'stalled', ms: 6000})]],
		['the others are silent', () => bench.wait(4000)],
	])('resumes no stream by its own list of versions after %s', (_name, disturb) => {
		disturb();
		const outbox = [...resume(), ...bench.wait(200)];
		expect(filterByKind(outbox, 'refreshData').map(({data}) => data)).toContain('targets');
		outbox.push(...bench.step(
			{kind: 'targets', targets: [createEngine('t1', 'v1'), createEngine('t2', 'v1'), createEngine('t3', 'v2')]},
			{kind: 'platformReach', isReached: true, tookMs: 20},
		), ...bench.wait(600));
		expect(filterByKind(outbox, 'send')).toEqual([]);
		expect(filterByKind(outbox, 'refuse')).toMatchObject([{refusal: {kind: RefusalKind.StreamUnknown, outcome: Outcome.NotRun}}]);
	});

	test('resumes none on an answer of the platform to a request from before', () => {
		bench.wait(6000);
		const outbox = [...resume(), ...bench.wait(200), ...bench.step({kind: 'platformReach', isReached: true, tookMs: 3000}), ...bench.wait(600)];
		expect(filterByKind(outbox, 'send')).toEqual([]);
	});

	test('resumes none on the reply of another one that was cut off with it', () => {
		bench.wait(1900);
		bench.step(createDigestFrom('b'));
		bench.wait(1000);
		const outbox = resume();
		const [query] = filterByKind(outbox, 'sendStreamMessage');
		expect(query).toMatchObject({to: 'b'});
		const reply: StreamReply = {
			kind: 'streamReply',
			stream: (query!.message as StreamQuery).stream,
			pool: undefined,
			softwareVersion: undefined,
			versions: [{pool: 'engines', softwareVersions: ['v1'], isComplete: true}],
		};
		outbox.push(...bench.step({kind: 'streamReply', from: 'b', message: reply}), ...bench.wait(600));
		expect(filterByKind(outbox, 'send')).toEqual([]);
	});

	test('resumes a stream once the platform has confirmed that there is one version', () => {
		bench.wait(6000);
		resume();
		bench.wait(200);
		expect(filterByKind(bench.step({kind: 'platformReach', isReached: true, tookMs: 20}), 'send')).toHaveLength(1);
	});
});

test('a version that has just been removed may have begun an unknown stream', () => {
	const bench = createBench({targets: [createEngine('t1', 'v1'), createEngine('t2', 'v2')], isFirstStart: true});
	bench.step({kind: 'targets', targets: [createEngine('t2', 'v2')]});
	const outbox = bench.call({path: '/chat/x', prompt: createPrompt('p', 100), resumption: {firstRequestId: 'unknown'}});
	expect(filterByKind([...outbox, ...bench.wait(1000)], 'send')).toEqual([]);
});

test('streams that callers resume are started before calls that wait with them', () => {
	const bench = createBench({targets: [createListedTarget('t1', {pool: 'engines', slots: 0})], isFirstStart: true});
	bench.call({path: '/chat/x', prompt: createPrompt('p', 100)});
	bench.call({path: '/chat/x', prompt: createPrompt('p', 100), resumption: {firstRequestId: 'unknown'}});
	bench.gateway.targets.get('t1')!.slots = 1;
	expect(filterByKind(bench.wait(20), 'send').map(({call}) => call)[0]).toBe('c2');
});

test('an attempt that does not name its stream learns nothing from another one that did not', () => {
	const bench = createBench({targets: [createEngine('t1', 'v1')], isFirstStart: true});
	const resume = () => filterByKind(bench.call({path: '/chat/x', prompt: createPrompt('p', 100), resumption: {firstRequestId: undefined}}), 'send');
	const [send] = resume();
	bench.step({
		kind: 'answerStarted', call: send!.call, send: send!.send, load: undefined,
	}, {kind: 'answerDelivered', call: send!.call}, {kind: 'targets', targets: [createEngine('t1', 'v1'), createEngine('t2', 'v2')]});
	expect(resume()).toEqual([]);
});
