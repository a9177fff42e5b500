/*
Types of the platform's response bodies, and type guards that validate them.
*/
import type {StoredObject} from '@shallotloom/core/ports.ts';

/** Response to a read or write of one object; only a read returns a value. */
export type Versioned = {version: number; value?: string};

/** One page of a listing. */
export type ObjectPage = {revision: number; objects: StoredObject[]};

/** A change reported by a watch; `value` is null when the object was deleted. */
export type WatchEvent = {key: string; version: number; value: string | null};

export type WatchPage = {revision: number; events: WatchEvent[]};

export type Instance = {id: string; state: 'live' | 'leaving'};

export function isVersioned(body: unknown): body is Versioned {
	return hasField(body, 'version') && typeof body.version === 'number';
}

export function isObjectPage(body: unknown): body is ObjectPage {
	return isPage(body, 'objects');
}

export function isWatchPage(body: unknown): body is WatchPage {
	return isPage(body, 'events');
}

export function isInstanceArray(body: unknown): body is Instance[] {
	return Array.isArray(body) && body.every(entry => hasField(entry, 'id') && hasField(entry, 'state'));
}

function isPage(body: unknown, field: string): boolean {
	return hasField(body, 'revision') && typeof body.revision === 'number'
		&& hasField(body, field) && Array.isArray(body[field])
		&& body[field].every(entry => isVersioned(entry) && hasField(entry, 'key'));
}

function hasField<Name extends string>(body: unknown, name: Name): body is Record<Name, unknown> {
	return typeof body === 'object' && body !== null && name in body;
}
