/*
Measures the encoded size of the messages that two routers exchange for one request, without framing and with identifiers as long
as those of a large fleet.
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

/** Returns the size of each message in bytes; for progress, that of one entry. */
export function measureMessageSizes(): Record<string, number> {
	const empty = measureBytes([]);
	return Object.fromEntries(Object.entries(samples).map(([name, message]) => [name, measureBytes([message]) - empty]));
}

function measureBytes(messages: PeerMessage[]): number {
	return toBinary(EnvelopeSchema, encodeEnvelope('', '', messages)).length;
}
