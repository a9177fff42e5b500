/*
Translates peer messages of the core to and from their wire form. Both have the same fields, so each kind of message is
one case of the proto's `oneof`.
*/
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import type {PeerMessage} from '@shallotloom/core/messages.ts';
import {
	EnvelopeSchema, type Envelope, type Message, type MessageSchema,
} from '@shallotloom/protocol/gen/peer_pb.ts';

function encodeMessage(message: PeerMessage): MessageInitShape<typeof MessageSchema> {
	const body: unknown = {case: message.kind, value: message};
	return {body: body as MessageInitShape<typeof MessageSchema>['body']};
}

/** Wire form of a batch of messages. */
export function encodeEnvelope(sender: string, incarnation: string, messages: PeerMessage[]): Envelope {
	return create(EnvelopeSchema, {sender, incarnation, messages: messages.map(message => encodeMessage(message))});
}

/** Core form of one message; undefined for a kind that this version doesn't know. */
export function decodeMessage({body}: Message): PeerMessage | undefined {
	return body.case === undefined ? undefined : {...body.value, kind: body.case} as unknown as PeerMessage;
}
