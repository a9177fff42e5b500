/*
Translates peer messages of the core to and from their wire form. Both have the same fields, but for a digest's service
entries, so each kind of message is one case of the proto's `oneof`.
*/
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import type {PeerMessage} from '@shallotloom/core/messages.ts';
import {
	EnvelopeSchema, type Envelope, type Message, type MessageSchema,
} from '@shallotloom/protocol/gen/peer_pb.ts';
import {decodeServiceTable, encodeServiceTable} from './service-table.ts';

function encodeMessage(message: PeerMessage): MessageInitShape<typeof MessageSchema> {
	const value = message.kind === 'digest' ? {...message, services: encodeServiceTable(message.services)} : message;
	const body: unknown = {case: message.kind, value};
	return {body: body as MessageInitShape<typeof MessageSchema>['body']};
}

/** Wire form of a batch of messages. */
export function encodeEnvelope(sender: string, incarnation: string, messages: PeerMessage[]): Envelope {
	return create(EnvelopeSchema, {sender, incarnation, messages: messages.map(message => encodeMessage(message))});
}

/** Core form of one message; undefined for a kind that this version doesn't know. Throws on a malformed digest. */
export function decodeMessage({body}: Message): PeerMessage | undefined {
	if (body.case === undefined) {
		return undefined;
	}

	const services = body.case === 'digest' ? {services: decodeServiceTable(body.value.services)} : {};
	return {...body.value, ...services, kind: body.case} as unknown as PeerMessage;
}
