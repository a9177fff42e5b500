/*
The decision core alone at growing tables, in one process without I/O: time of its steps, bytes of its digest on the
wire, and heap of its tables, with the fitted value at the size of the users' letter.
*/
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {fromBinary, toBinary} from '@bufbuild/protobuf';
import {createDigest} from '@shallotloom/core/systems/membership/digests.ts';
import {startNextDigest} from '@shallotloom/core/systems/membership/heartbeat-entries.ts';
import {EnvelopeSchema} from '@shallotloom/protocol/gen/peer_pb.ts';
import {decodeMessage, encodeEnvelope} from '@shallotloom/router/peers/codec.ts';
import {createFleet, requiredFleet, type Fleet} from '../core-size/fleet.ts';
import {runWorld, StepKind} from '../core-size/run-world.ts';
import {measureMessageSizes} from '../core-size/message-sizes.ts';
import {atMost, fittedLine, rounded} from '../measure/figures.ts';
import type {Scenario, ScenarioResult, ScenarioRun} from './scenario.ts';

const fleetSizes = [9, 50, 100, 205, 410];

const allowedCoreFraction = 0.014;
const allowedHeapBytes = 64 * 1024 * 1024;
const allowedBytesPerSecond = 25 * 1024;

/** World time that passes before the measurement, so that queues, digests and compiled code are in steady use. */
const warmUpSeconds = 1;

/** Digests encoded and decoded, and those among them after which time is taken. */
const wireSamples = 3000;
const wireWarmUp = 1000;

type Size = {
	members: number;
	tickMs: number;
	digestMs: number;
	requestMs: number;
	/** Time of all steps in one second, as a part of that second. */
	coreFraction: number;
	digestBytes: number;
	heardBytes: number;
	serviceBytes: number;
	/** Time to encode one digest and to decode it again. */
	wireMs: number;
	/** Steps, and digests encoded and decoded, in one second, as a part of that second. */
	coreFractionWithWire: number;
	/** Digests sent and received in one second, without framing. */
	bytesPerSecond: number;
	heapBytes: number;
};

export const coreSize: Scenario = {
	summary: 'the decision core alone: step time, digest bytes and heap by the size of the fleet',
	seconds: 10,
	async run(run) {
		const sizes = fleetSizes.map(members => {
			const size = measure(members, run);
			run.progress(JSON.stringify(size));
			return size;
		});
		return resultOf(sizes);
	},
};

function measure(members: number, {seed, seconds}: ScenarioRun): Size {
	const heapBefore = heapUsed();
	const fleet = createFleet({members, seed});
	runWorld(fleet, {seconds: warmUpSeconds, seed});
	const heapBytes = heapUsed() - heapBefore;
	const runSeconds = seconds / fleetSizes.length;
	const {times} = runWorld(fleet, {seconds: runSeconds, seed: seed + 1});
	const spentMs = Object.values(times).reduce((sum, {ms}) => sum + ms, 0);
	const coreFraction = spentMs / (runSeconds * 1000);
	const bytes = digestSizes(fleet);
	const wireMs = wireTime(fleet);
	const digestsPerSecond = 1000 / fleet.world.limits.digestMs;
	return {
		members,
		...bytes,
		tickMs: times[StepKind.Tick].ms / times[StepKind.Tick].count,
		digestMs: times[StepKind.Digest].ms / times[StepKind.Digest].count,
		requestMs: times[StepKind.Request].ms / times[StepKind.Request].count,
		coreFraction,
		wireMs,
		coreFractionWithWire: coreFraction + (wireMs * digestsPerSecond * (members - 1) / 1000),
		bytesPerSecond: 2 * bytes.digestBytes * digestsPerSecond * (members - 1),
		heapBytes,
	};
}

function digestSizes({world, peers}: Fleet) {
	const digest = {...createDigest(world), heard: startNextDigest(world)(peers[0]!)};
	const bytesOf = (part: Partial<typeof digest>) =>
		toBinary(EnvelopeSchema, encodeEnvelope('', '', [{...digest, ...part}])).length;
	const digestBytes = bytesOf({});
	return {digestBytes, heardBytes: digestBytes - bytesOf({heard: []}), serviceBytes: digestBytes - bytesOf({services: []})};
}

/** Mean time to encode and decode a digest, which differs in what it says of others for each member. */
function wireTime({world, peers}: Fleet): number {
	const digest = createDigest(world);
	const heardBy = startNextDigest(world);
	let before = performance.now();
	for (let sample = 0; sample < wireSamples; sample += 1) {
		before = sample === wireWarmUp ? performance.now() : before;
		const heard = heardBy(peers[sample % peers.length]!);
		const bytes = toBinary(EnvelopeSchema, encodeEnvelope('', '', [{...digest, heard}]));
		fromBinary(EnvelopeSchema, bytes).messages.map(message => decodeMessage(message));
	}

	return (performance.now() - before) / (wireSamples - wireWarmUp);
}

/** Heap in use after a full collection, in bytes. */
function heapUsed(): number {
	setFlagsFromString('--expose_gc');
	(runInNewContext('gc') as () => void)();
	return process.memoryUsage().heapUsed;
}

function resultOf(sizes: Size[]): ScenarioResult {
	const fitted = (figure: keyof Size) => fittedLine(sizes.map(size => ({x: size.members, y: size[figure]})));
	const figures: Array<keyof Size> = ['tickMs', 'digestMs', 'requestMs', 'coreFraction', 'coreFractionWithWire', 'wireMs', 'digestBytes', 'heapBytes'];
	const last = sizes.at(-1)!;
	return {
		sizes: sizes.map(size => Object.fromEntries(Object.entries(size).map(([key, value]) => [key, rounded(value)]))),
		slopes: Object.fromEntries(figures.map(figure => [figure, Number(fitted(figure).slope.toPrecision(4))])),
		messageBytes: measureMessageSizes(),
		atMembers: requiredFleet.members,
		bounds: {
			coreFraction: atMost(last.coreFractionWithWire, allowedCoreFraction),
			heapBytes: atMost(last.heapBytes, allowedHeapBytes),
			bytesPerSecond: atMost(last.bytesPerSecond, allowedBytesPerSecond),
		},
	};
}
