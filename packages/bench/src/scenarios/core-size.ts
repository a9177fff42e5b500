/*
The decision core alone, in one process without I/O, with tables for fleets of growing size: step time, encoded size of a
digest, and heap of the tables, up to the fleet size in the users' requirements, with fitted slopes.
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
import {atMost, fitLine, roundToThousandths} from '../measure/figures.ts';
import type {Scenario, ScenarioResult, ScenarioRun} from './scenario.ts';

const fleetSizes = [9, 50, 100, 205, 410];

const maxCoreFraction = 0.014;
const maxHeapBytes = 64 * 1024 * 1024;
const maxBytesPerSecond = 25 * 1024;

/** Simulated time before the measurement, in which queues, digests and compiled code reach a steady state. */
const warmUpSeconds = 1;

/** Number of digests that are encoded and decoded; the first `wireWarmUpSamples` of them are not timed. */
const wireSamples = 3000;
const wireWarmUpSamples = 1000;

type SizeFigures = {
	members: number;
	tickMs: number;
	digestMs: number;
	requestMs: number;
	/** Fraction of a second that all steps of one second take. */
	coreFraction: number;
	digestBytes: number;
	heardBytes: number;
	serviceBytes: number;
	/** Time to encode and decode one digest. */
	wireMs: number;
	/** Fraction of a second that all steps and the encoding and decoding of all digests of one second take. */
	coreFractionWithWire: number;
	/** Bytes of all digests that are sent and received in one second, without framing. */
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
		return createResult(sizes);
	},
};

function measure(members: number, {seed, seconds}: ScenarioRun): SizeFigures {
	const heapBefore = measureHeapBytes();
	const fleet = createFleet({members, seed});
	runWorld(fleet, {seconds: warmUpSeconds, seed});
	const heapBytes = measureHeapBytes() - heapBefore;
	const runSeconds = seconds / fleetSizes.length;
	const {times} = runWorld(fleet, {seconds: runSeconds, seed: seed + 1});
	const spentMs = Object.values(times).reduce((sum, {ms}) => sum + ms, 0);
	const coreFraction = spentMs / (runSeconds * 1000);
	const bytes = measureDigestSizes(fleet);
	const wireMs = measureWireMs(fleet);
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

function measureDigestSizes({world, peers}: Fleet) {
	const digest = {...createDigest(world), heard: startNextDigest(world)(peers[0]!)};
	const computeEncodedBytes = (part: Partial<typeof digest>) =>
		toBinary(EnvelopeSchema, encodeEnvelope('', '', [{...digest, ...part}])).length;
	const digestBytes = computeEncodedBytes({});
	return {digestBytes, heardBytes: digestBytes - computeEncodedBytes({heard: []}), serviceBytes: digestBytes - computeEncodedBytes({services: []})};
}

/** Mean time in milliseconds to encode and decode a digest; its entries about other members differ by receiver. */
function measureWireMs({world, peers}: Fleet): number {
	const digest = createDigest(world);
	const getHeartbeatEntries = startNextDigest(world);
	let before = performance.now();
	for (let sample = 0; sample < wireSamples; sample += 1) {
		before = sample === wireWarmUpSamples ? performance.now() : before;
		const heard = getHeartbeatEntries(peers[sample % peers.length]!);
		const bytes = toBinary(EnvelopeSchema, encodeEnvelope('', '', [{...digest, heard}]));
		fromBinary(EnvelopeSchema, bytes).messages.map(message => decodeMessage(message));
	}

	return (performance.now() - before) / (wireSamples - wireWarmUpSamples);
}

/** Heap in use after a full garbage collection, in bytes. */
function measureHeapBytes(): number {
	setFlagsFromString('--expose_gc');
	(runInNewContext('gc') as () => void)();
	return process.memoryUsage().heapUsed;
}

function createResult(sizes: SizeFigures[]): ScenarioResult {
	const fitted = (figure: keyof SizeFigures) => fitLine(sizes.map(size => ({x: size.members, y: size[figure]})));
	const figures: Array<keyof SizeFigures> = ['tickMs', 'digestMs', 'requestMs', 'coreFraction', 'coreFractionWithWire', 'wireMs', 'digestBytes', 'heapBytes'];
	const last = sizes.at(-1)!;
	return {
		sizes: sizes.map(size => Object.fromEntries(Object.entries(size).map(([key, value]) => [key, roundToThousandths(value)]))),
		slopes: Object.fromEntries(figures.map(figure => [figure, Number(fitted(figure).slope.toPrecision(4))])),
		messageBytes: measureMessageSizes(),
		atMembers: requiredFleet.members,
		bounds: {
			coreFraction: atMost(last.coreFractionWithWire, maxCoreFraction),
			heapBytes: atMost(last.heapBytes, maxHeapBytes),
			bytesPerSecond: atMost(last.bytesPerSecond, maxBytesPerSecond),
		},
	};
}
