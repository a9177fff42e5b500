/*
Lists the objects under a prefix, page by page.
*/
import type {StoredObject} from '@shallotloom/core/ports.ts';
import type {PlatformError} from './errors.ts';
import type {HttpCaller} from './http-call.ts';
import {isObjectPage} from './object-wire.ts';

/** All objects under a prefix; every change up to `revision` is in them. */
export type ObjectListing
	= | {kind: 'listed'; revision: number; objects: StoredObject[]}
		| {kind: 'failed'; error: PlatformError};

export type ObjectListOptions = {
	caller: HttpCaller;
	prefix: string;
	/** Only objects with a greater key; '' for all. */
	after: string;
	pageSize: number;
	callTimeoutMs: number;
};

/** Reads all pages; one page that fails ends the listing. */
export async function listObjects({caller, prefix, after, pageSize, callTimeoutMs}: ObjectListOptions): Promise<ObjectListing> {
	const objects: StoredObject[] = [];
	let revision: number | undefined;
	for (;;) {
		const query = new URLSearchParams({prefix, after, limit: String(pageSize)});
		const reply = await caller.call({method: 'GET', path: `/objects?${query.toString()}`, timeoutMs: callTimeoutMs});
		if (reply.kind === 'failed') {
			return reply;
		}

		if (!isObjectPage(reply.body)) {
			return {kind: 'failed', error: {kind: 'malformed', status: reply.status}};
		}

		const page = reply.body;
		objects.push(...page.objects);
		// Later pages may hold newer objects; only the first revision is covered by all pages.
		revision ??= page.revision;
		if (page.objects.length < pageSize) {
			return {kind: 'listed', revision, objects};
		}

		after = page.objects.at(-1)!.key;
	}
}
