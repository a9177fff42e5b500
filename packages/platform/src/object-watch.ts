/*
Watches the objects under a set of prefixes: lists and delivers them, then long-polls for later changes. After an error, or
when the platform has discarded the requested changes, it waits with jittered backoff and lists again. Objects that were
deleted in between are delivered as deleted, so that the receiver doesn't keep stale objects.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {StoredObject} from '@shallotloom/core/ports.ts';
import type {PlatformError} from './errors.ts';
import type {HttpClient} from './http-call.ts';
import {listObjects} from './object-list.ts';
import {isWatchPage, type WatchEvent} from './object-wire.ts';

export type ObjectWatch = {
	prefixes: string[];
	/** A new or changed object, or a deleted one with value ''. */
	onObject: (object: StoredObject) => void;
	onError: (error: PlatformError) => void;
	/** Called before each listing of a prefix and before each long poll. */
	onCall?: (call: 'list' | 'watch') => void;
};

type WatchSettings = {
	callTimeoutMs: number;
	pageSize: number;
	watchTimeoutMs: number;
	randomFraction: () => number;
};

type WatchOptions = ObjectWatch & {
	client: HttpClient;
	settings: WatchSettings;
};

const minBackoffMs = 100;
const maxBackoffMs = 3000;

/** Starts the watch; it runs until `stop`. */
export function watchObjects({
	prefixes, onObject, onError, onCall, client, settings,
}: WatchOptions): {stop(): void} {
	const stopController = new AbortController();
	const knownVersions = new Map<string, number>();
	const listedRevisions = new Map<string, number>();
	let failures = 0;

	function deliver({key, version, value}: WatchEvent) {
		if (stopController.signal.aborted || knownVersions.get(key) === version) {
			return;
		}

		if (value === null) {
			knownVersions.delete(key);
		} else {
			knownVersions.set(key, version);
		}

		onObject({key, version, value: value ?? ''});
	}

	/** Lists and delivers all objects. Returns the revision from which to poll, or undefined after an error. */
	async function relist(): Promise<number | undefined> {
		const listedKeys = new Set<string>();
		let startRevision: number | undefined;
		for (const prefix of prefixes) {
			onCall?.('list');
			const listing = await listObjects({
				...settings, client, prefix, after: '',
			});
			if (listing.kind === 'failed') {
				recordFailure(listing.error);
				return undefined;
			}

			startRevision ??= listing.revision;
			listedRevisions.set(prefix, listing.revision);
			for (const object of listing.objects) {
				listedKeys.add(object.key);
				deliver(object);
			}
		}

		deliverDeletions(listedKeys, startRevision ?? 0);
		return startRevision;
	}

	/** Delivers known objects that are no longer listed as deleted. */
	function deliverDeletions(listed: Set<string>, revision: number) {
		for (const key of knownVersions.keys()) {
			if (!listed.has(key)) {
				deliver({key, version: revision, value: null});
			}
		}
	}

	/** Whether the last listing of its prefix already includes the change. */
	function isCoveredByListing({key, version}: WatchEvent): boolean {
		return prefixes.some(prefix => key.startsWith(prefix) && version <= (listedRevisions.get(prefix) ?? 0));
	}

	/** Polls once. Returns the revision from which to poll next, or undefined when the objects must be listed again. */
	async function poll(since: number): Promise<number | undefined> {
		const query = new URLSearchParams({since: String(since), timeoutMs: String(settings.watchTimeoutMs)});
		for (const prefix of prefixes) {
			query.append('prefix', prefix);
		}

		onCall?.('watch');
		const reply = await client.call({
			method: 'GET',
			path: `/watch?${query.toString()}`,
			timeoutMs: settings.watchTimeoutMs + settings.callTimeoutMs,
			signal: stopController.signal,
		});
		if (reply.kind === 'failed') {
			recordFailure(reply.error);
			return undefined;
		}

		if (reply.status !== 200 || !isWatchPage(reply.body)) {
			recordFailure(reply.status === 410 ? {kind: 'historyLost'} : {kind: 'malformed', status: reply.status});
			return undefined;
		}

		for (const event of reply.body.events) {
			if (!isCoveredByListing(event)) {
				deliver(event);
			}
		}

		failures = 0;
		return reply.body.revision;
	}

	function recordFailure(error: PlatformError) {
		if (!stopController.signal.aborted) {
			failures++;
			onError(error);
		}
	}

	async function followChanges() {
		let revision: number | undefined;
		while (!stopController.signal.aborted) {
			revision = revision === undefined ? await relist() : await poll(revision);
			if (revision === undefined) {
				await waitUnlessStopped(computeBackoffMs(failures, settings.randomFraction), stopController.signal);
			}
		}
	}

	void followChanges();
	return {
		stop() {
			stopController.abort();
		},
	};
}

function computeBackoffMs(failures: number, randomFraction: () => number): number {
	const full = Math.min(maxBackoffMs, minBackoffMs * (2 ** (failures - 1)));
	return full * (0.5 + (randomFraction() / 2));
}

async function waitUnlessStopped(ms: number, signal: AbortSignal) {
	try {
		await sleep(ms, undefined, {signal});
	} catch {
		// The sleep rejects only when `stop` aborts it.
	}
}
