/*
Converts peer messages between the core's form and the wire form. Both have the same fields except for the service entries of
a digest, so each kind of message is one case of the proto's `oneof`.
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

/** Converts a batch of messages to the wire form. */
export function encodeEnvelope(sender: string, incarnation: string, messages: PeerMessage[]): Envelope {
	return create(EnvelopeSchema, {sender, incarnation, messages: messages.map(message => encodeMessage(message))});
}

/** Converts a message to the core's form; undefined for a kind unknown to this version. Throws on a malformed digest. */
export function decodeMessage({body}: Message): PeerMessage | undefined {
	if (body.case === undefined) {
		return undefined;
	}

	const services = body.case === 'digest' ? {services: decodeServiceTable(body.value.services)} : {};
	return {...body.value, ...services, kind: body.case} as unknown as PeerMessage;
}
