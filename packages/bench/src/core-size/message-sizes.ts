/*
Bytes on the wire of the messages of one request between two routers, without framing, with identifiers as long as those
of a large fleet.
*/
import {toBinary} from '@bufbuild/protobuf';
import {AttemptEnd, type PeerMessage} from '@shallotloom/core/messages.ts';
import {EnvelopeSchema} from '@shallotloom/protocol/gen/peer_pb.ts';
import {encodeEnvelope} from '@shallotloom/router/peers/codec.ts';

const ticket = 'router-123-9f3a1c2e-45678';
const target = 'engine-1234';

const samples = {
	ticketOffer: {
		kind: 'ticketOffer', ticket, workspace: 'workspace-1234', pool: 'model-5', inputTokens: 900, prefixHash: 123_456_789, remainingMs: 30_000, waitedMs: 20, excluded: [],
	},
	permitGrant: {
		kind: 'permitGrant', ticket, target, epoch: 12, startWithinMs: 1000,
	},
	permitReturn: {
		kind: 'permitReturn', ticket, target, epoch: 12, end: AttemptEnd.Whole, outputTokens: 216, firstByteMs: 300, betweenTokensMs: 58,
	},
	progressEntry: {kind: 'permitProgress', entries: [{ticket, outputTokens: 150}]},
} satisfies Record<string, PeerMessage>;

/** Bytes of each message; of progress, those of one entry of a message. */
export function messageSizes(): Record<string, number> {
	const empty = bytesOf([]);
	return Object.fromEntries(Object.entries(samples).map(([name, message]) => [name, bytesOf([message]) - empty]));
}

function bytesOf(messages: PeerMessage[]): number {
	return toBinary(EnvelopeSchema, encodeEnvelope('', '', messages)).length;
}
