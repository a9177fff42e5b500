import {fromBinary, toBinary} from '@bufbuild/protobuf';
import fc from 'fast-check';
import {MemberState, type PeerMessage, type ServiceEntry} from '@shallotloom/core/messages.ts';
import {EnvelopeSchema} from '@shallotloom/protocol/gen/peer_pb.ts';
import {decodeMessage, encodeEnvelope} from '../src/peers/codec.ts';

function roundTrip(message: PeerMessage): PeerMessage | undefined {
	const bytes = toBinary(EnvelopeSchema, encodeEnvelope('r1', 'i1', [message]));
	return decodeMessage(fromBinary(EnvelopeSchema, bytes).messages[0]!);
}

function createDigest(services: ServiceEntry[]): PeerMessage {
	return {
		kind: 'digest', state: MemberState.Active, failureDomain: 'suva', callerUrl: 'http://a', peerUrl: 'http://b', revision: 3, leaseSequence: 4, storeAgeMs: -1, services, pools: [], heard: [], platformReachedMs: 1500,
	};
}

const amount = fc.double({min: -1e12, max: 1e12, noNaN: true});
const entries = fc.uniqueArray(fc.record({
	workspace: fc.string(), pool: fc.string(), service: amount, waiting: fc.nat(), virtualTime: amount, asked: amount, started: amount,
}), {selector: ({workspace, pool}) => `${pool} ${workspace}`});

function sorted(services: ServiceEntry[]): ServiceEntry[] {
	return services.toSorted((a, b) => JSON.stringify([a.pool, a.workspace]) < JSON.stringify([b.pool, b.workspace]) ? -1 : 1);
}

test('a digest is decoded as it was encoded, with its service entries in any order', () => {
	fc.assert(fc.property(entries, services => {
		const sent = createDigest(services);
		const arrived = roundTrip(sent);
		expect(arrived).toMatchObject({...sent, services: expect.any(Array)});
		expect(arrived?.kind === 'digest' && sorted(arrived.services)).toEqual(sorted(services));
	}), {seed: 5, numRuns: 100});
});

test('other messages are decoded as they were encoded', () => {
	const offer: PeerMessage = {
		kind: 'ticketOffer', ticket: 't', workspace: 'w', pool: 'm', inputTokens: 3, prefixHash: 9, remainingMs: 100, waitedMs: 5, excluded: ['engine-1'],
	};
	expect(roundTrip(offer)).toMatchObject(offer);
});

const stream = fc.nat({max: Number.MAX_SAFE_INTEGER});

test.each([
	['records of streams', fc.record({kind: fc.constant('streamRecords' as const), groups: fc.array(fc.record({pool: fc.string(), softwareVersion: fc.string(), streams: fc.array(stream)}))})],
	['a query for a stream', fc.record({kind: fc.constant('streamQuery' as const), stream, pools: fc.array(fc.string())})],
	['a reply that knows the origin', fc.record({
		kind: fc.constant('streamReply' as const), stream, pool: fc.string(), softwareVersion: fc.string(), versions: fc.constant([]),
	})],
	['a reply with the versions of pools', fc.record({
		kind: fc.constant('streamReply' as const), stream, versions: fc.array(fc.record({pool: fc.string(), softwareVersions: fc.array(fc.string()), isComplete: fc.boolean()})),
	})],
] as Array<[string, fc.Arbitrary<PeerMessage>]>)('%s: decoded as they were encoded', (_name, messages) => {
	fc.assert(fc.property(messages, message => {
		const arrived = roundTrip(message);
		expect(arrived).toMatchObject(message);
		expect(arrived?.kind === 'streamReply' && arrived.pool).toBe(message.kind === 'streamReply' && message.pool);
	}), {seed: 6, numRuns: 50});
});
