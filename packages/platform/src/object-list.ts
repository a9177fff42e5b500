/*
Lists the objects under a prefix, page by page.
*/
import type {StoredObject} from '@shallotloom/core/ports.ts';
import type {PlatformError} from './errors.ts';
import type {HttpClient} from './http-call.ts';
import {isObjectPage} from './object-wire.ts';

/** All objects under a prefix, including every change up to `revision`. */
export type ObjectListing
	= | {kind: 'listed'; revision: number; objects: StoredObject[]}
		| {kind: 'failed'; error: PlatformError};

export type ObjectListOptions = {
	client: HttpClient;
	prefix: string;
	/** Lists only objects with a greater key; '' lists all. */
	after: string;
	pageSize: number;
	callTimeoutMs: number;
};

/** Reads all pages; the listing fails with the first page that fails. */
export async function listObjects({client, prefix, after, pageSize, callTimeoutMs}: ObjectListOptions): Promise<ObjectListing> {
	const objects: StoredObject[] = [];
	let revision: number | undefined;
	for (;;) {
		const query = new URLSearchParams({prefix, after, limit: String(pageSize)});
		const reply = await client.call({method: 'GET', path: `/objects?${query.toString()}`, timeoutMs: callTimeoutMs});
		if (reply.kind === 'failed') {
			return reply;
		}

		if (!isObjectPage(reply.body)) {
			return {kind: 'failed', error: {kind: 'malformed', status: reply.status}};
		}

		const page = reply.body;
		objects.push(...page.objects);
		// Later pages may contain newer objects; only the revision of the first page is covered by all pages.
		revision ??= page.revision;
		if (page.objects.length < pageSize) {
			return {kind: 'listed', revision, objects};
		}

		after = page.objects.at(-1)!.key;
	}
}
