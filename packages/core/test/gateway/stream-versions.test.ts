import {SendEnd, type GatewayOutboundOf} from '../../src/gateway/ports.ts';
import {Outcome} from '../../src/refusal.ts';
import {
	createBench, createListedTarget, createPrompt, endSend, filterByKind, type Bench,
} from '../support/gateways.ts';

function createEngine(id: string, softwareVersion: string) {
	return createListedTarget(id, {pool: 'engines', slots: 64, softwareVersion});
}

/** Starts a stream at a target, of which the caller receives the first event. */
function startStream(bench: Bench): GatewayOutboundOf<'send'> {
	const [send] = filterByKind(bench.call({path: '/chat/x', prompt: createPrompt('p', 100)}), 'send');
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
