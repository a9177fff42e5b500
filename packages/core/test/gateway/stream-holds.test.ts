import {SendEnd, type GatewayOutbound} from '../../src/gateway/ports.ts';
import {
	createBench, createListedTarget, createPrompt, endSend, filterByKind, type Bench,
} from '../support/gateways.ts';

const maxStreamHoldMs = 90;

function createEngines(...softwareVersions: string[]) {
	return softwareVersions.map((softwareVersion, index) => createListedTarget(`t${index}`, {pool: 'engines', slots: 64, softwareVersion}));
}

/** Creates an instance that writes the origins of streams to the store. */
function createRecording(): Bench {
	const bench = createBench({targets: createEngines('v1', 'v2'), limits: {maxStreamHoldMs, storedStreamsMs: 75}});
	bench.wait(100);
	return bench;
}

function startStream(bench: Bench, path = '/chat/x') {
	const [send] = filterByKind(bench.call({path, prompt: createPrompt('p', 100), remainingMs: 5000}), 'send');
	return send!;
}

const receiveEvent = (bench: Bench, {call, send}: {call: string; send: number}): GatewayOutbound[] => bench.step({
	kind: 'answerStarted', call, send, load: undefined,
});
const releases = (outbox: GatewayOutbound[]) => filterByKind(outbox, 'releaseEvents');

test('the first event of a stream is held back until the store has the origin', () => {
	const bench = createRecording();
	const send = startStream(bench);
	expect(send.isHeld).toBe(true);
	expect(releases(receiveEvent(bench, send))).toEqual([]);
	const writes = filterByKind(bench.wait(80), 'storeStreams');
	expect(writes).toHaveLength(1);
	expect(writes[0]!.groups.flatMap(({streams}) => streams)).toEqual([bench.gateway.calls.get(send.call)!.stream]);
	expect(releases(bench.step({kind: 'streamsWritten', isSuccessful: true}))).toMatchObject([{call: send.call, send: send.send}]);
});

test('an origin that is stored before the first event holds nothing back', () => {
	const bench = createRecording();
	const send = startStream(bench);
	bench.wait(80);
	bench.step({kind: 'streamsWritten', isSuccessful: true});
	expect(releases(receiveEvent(bench, send))).toHaveLength(1);
});

test.each([
	['doesn\'t answer', (bench: Bench) => bench.wait(maxStreamHoldMs)],
	['fails', (bench: Bench) => {
		bench.wait(80);
		return bench.step({kind: 'streamsWritten', isSuccessful: false});
	}],
	['is out of reach', (bench: Bench) => bench.step({kind: 'platformReach', isReached: false})],
])('an event is released in time when the store %s', (_name, act) => {
	const bench = createRecording();
	receiveEvent(bench, startStream(bench));
	expect(releases(act(bench))).toHaveLength(1);
});

test('streams of a pool with one version, and those that nobody resumes, are not held back', () => {
	const bench = createBench({targets: createEngines('v1', 'v1')});
	bench.wait(100);
	expect(startStream(bench).isHeld).toBe(false);
	expect(startStream(createRecording(), '/plan/x').isHeld).toBe(false);
});

test('a stream that begins at another version than the store may have is held back until that is corrected', () => {
	const bench = createRecording();
	const first = startStream(bench);
	bench.wait(80);
	bench.step({kind: 'streamsWritten', isSuccessful: true});
	const other = createEngines('v1', 'v2').filter(({id}) => id !== first.target);
	bench.step({kind: 'targets', targets: other});
	const [second] = filterByKind([...endSend(bench, first, SendEnd.Broken), ...bench.wait(10)], 'send');
	expect(second!.target).not.toBe(first.target);
	expect(releases([...receiveEvent(bench, second!), ...bench.wait(maxStreamHoldMs)])).toEqual([]);
	bench.wait(80);
	expect(releases(bench.step({kind: 'streamsWritten', isSuccessful: true}))).toHaveLength(1);
});
