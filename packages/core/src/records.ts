/*
Values of the objects that membership and ownership keep in the Object API, and their stored form.
*/
import type {MemberState} from './messages.ts';

/** Value of `lease/ROUTER`. */
export type LeaseRecord = {
	/** Random, new with each write; identifies the writer's own write when the answer to it was lost. */
	nonce: string;
	/** Incarnation of the process that holds the lease. */
	incarnation: string;
	/** Random, new whenever the lease is created or taken over from an earlier start. */
	tenure: string;
	/** Increases with each write. */
	sequence: number;
	state: MemberState;
	failureDomain: string;
	callerUrl: string;
	peerUrl: string;
	/** IP number and port that the process had bound when it wrote the lease; '' when it is not known for certain. */
	boundAddress: string;
	durationMs: number;
};

/** Value of `owner/TARGET`. */
export type OwnerRecord = {
	owner: string;
	/** Tenure of the owner's lease; the record is invalid once that tenure has ended. */
	incarnation: string;
	/** Increases with each change of owner; a fencing token for requests to the target. */
	epoch: number;
	nonce: string;
};

export const leasePrefix = 'lease/';
export const ownerPrefix = 'owner/';

/** Key of a router's lease in the Object API. */
export function getLeaseKey(router: string): string {
	return leasePrefix + router;
}

/** Key of a target's ownership record in the Object API. */
export function getOwnerKey(target: string): string {
	return ownerPrefix + target;
}

/** Decodes a stored lease; undefined for an invalid value. Never throws. */
export function decodeLease(text: string): LeaseRecord | undefined {
	return decode<LeaseRecord>(text, {
		nonce: 'string',
		incarnation: 'string',
		tenure: 'string',
		sequence: 'number',
		state: 'number',
		failureDomain: 'string',
		callerUrl: 'string',
		peerUrl: 'string',
		boundAddress: 'string',
		durationMs: 'number',
	});
}

/** Decodes a stored ownership record; undefined for an invalid value. Never throws. */
export function decodeOwner(text: string): OwnerRecord | undefined {
	return decode<OwnerRecord>(text, {
		owner: 'string', incarnation: 'string', epoch: 'number', nonce: 'string',
	});
}

function decode<Value extends object>(text: string, fields: Record<keyof Value & string, 'string' | 'number'>): Value | undefined {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return undefined;
	}

	if (typeof value !== 'object' || value === null) {
		return undefined;
	}

	const entries = new Map<string, unknown>(Object.entries(value));
	const isValid = Object.entries(fields).every(([field, type]) => typeof entries.get(field) === type);
	// Checked above, field by field.

	return isValid ? value as Value : undefined;
}
