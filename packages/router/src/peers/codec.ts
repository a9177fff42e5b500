/*
Converts peer messages between the core's form and the wire form. Both have the same fields except for the service entries of
a digest, so each kind of message is one case of the proto's `oneof`. Protobuf refuses to encode a number outside the range of its
field; what it refuses is left out, so that the rest of a message and the messages beside it are sent.
*/
import {
	create, toBinary, type DescMessage, type Message as AnyMessage, type MessageInitShape,
} from '@bufbuild/protobuf';
import type {PeerMessage, ServiceEntry} from '@shallotloom/core/messages.ts';
import {
	EnvelopeSchema, MessageSchema, type Envelope, type Message,
} from '@shallotloom/protocol/gen/peer_pb.ts';
import {decodeServiceTable, encodeServiceTable} from './service-table.ts';

/** Called with the kind of a message and the reason for which it, or a row of it, can't be encoded or decoded. */
export type OnInvalid = (kind: string, reason: string) => void;

function throwInvalid(kind: string, reason: string) {
	throw new Error(`${kind}: ${reason}`);
}

/** Wire form of messages that are sent to several peers. */
const encoded = new WeakMap<PeerMessage, Message>();

/** Length of a row in the reason for which it is left out, in characters. */
const maxRowLength = 200;

function getReason(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}

/** Returns why a message can't be encoded; undefined when it can. */
function findProblem(schema: DescMessage, message: AnyMessage): string | undefined {
	try {
		toBinary(schema, message);
		return undefined;
	} catch (error) {
		return getReason(error);
	}
}

function encodeServices(entries: readonly ServiceEntry[], onInvalid: OnInvalid): Uint8Array {
	try {
		return encodeServiceTable(entries);
	} catch {
		return encodeServiceTable(entries.filter(entry => {
			try {
				encodeServiceTable([entry]);
				return true;
			} catch (error) {
				onInvalid('digest', `${getReason(error)}, in ${JSON.stringify(entry).slice(0, maxRowLength)}`);
				return false;
			}
		}));
	}
}

/** Removes the rows that can't be encoded from the lists of a message. */
function removeInvalidRows(kind: string, schema: DescMessage, message: AnyMessage, onInvalid: OnInvalid) {
	const lists = message as unknown as Record<string, AnyMessage[]>;
	for (const field of schema.fields) {
		if (field.fieldKind === 'list' && field.listKind === 'message') {
			lists[field.localName] = lists[field.localName]!.filter(row => {
				const problem = findProblem(field.message, row);
				if (problem !== undefined) {
					onInvalid(kind, `${problem}, in ${JSON.stringify(row).slice(0, maxRowLength)}`);
				}

				return problem === undefined;
			});
		}
	}
}

/** Converts a message to the wire form without the rows that can't be encoded; undefined when nothing of it can be. */
function encodeMessage(message: PeerMessage, onInvalid: OnInvalid): Message | undefined {
	const known = encoded.get(message);
	if (known) {
		return known;
	}

	const value = message.kind === 'digest' ? {...message, services: encodeServices(message.services, onInvalid)} : message;
	const body: unknown = {case: message.kind, value};
	const wire = create(MessageSchema, {body: body as MessageInitShape<typeof MessageSchema>['body']});
	if (findProblem(MessageSchema, wire) !== undefined) {
		removeInvalidRows(message.kind, MessageSchema.fields.find(({localName}) => localName === message.kind)!.message!, wire.body.value!, onInvalid);
		const problem = findProblem(MessageSchema, wire);
		if (problem !== undefined) {
			onInvalid(message.kind, problem);
			return undefined;
		}
	}

	encoded.set(message, wire);
	return wire;
}

/**
Converts a batch of messages to the wire form.

@param onInvalid Called for each message, and each row of one, that can't be encoded and is left out. By default it throws.
*/
export function encodeEnvelope(sender: string, incarnation: string, messages: PeerMessage[], onInvalid: OnInvalid = throwInvalid): Envelope {
	return create(EnvelopeSchema, {
		sender, incarnation, messages: messages.map(message => encodeMessage(message, onInvalid)).filter(wire => wire !== undefined),
	});
}

/** Converts a message to the core's form; undefined for a kind unknown to this version. Throws on a malformed digest. */
export function decodeMessage({body}: Message): PeerMessage | undefined {
	if (body.case === undefined) {
		return undefined;
	}

	const services = body.case === 'digest' ? {services: decodeServiceTable(body.value.services)} : {};
	return {...body.value, ...services, kind: body.case} as unknown as PeerMessage;
}
