/*
Follows the objects under some prefixes: lists them, delivers each, then long-polls for the changes since. After an error,
or when the platform no longer keeps the changes asked for, it waits with jittered backoff and lists again; objects that
went meanwhile are delivered as deleted, so that the receiver never keeps one that is gone.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {StoredObject} from '@shallotloom/core/ports.ts';
import type {PlatformError} from './errors.ts';
import type {HttpCaller} from './http-call.ts';
import {listObjects} from './object-list.ts';
import {isWatchPage, type WatchEvent} from './object-wire.ts';

export type ObjectWatch = {
	prefixes: string[];
	/** A new or changed object, or a deleted one with value ''. */
	onObject: (object: StoredObject) => void;
	onError: (error: PlatformError) => void;
	/** Called before each listing of a prefix and each long poll. */
	onCall?: (call: 'list' | 'watch') => void;
};

type WatchSettings = {
	callTimeoutMs: number;
	pageSize: number;
	watchTimeoutMs: number;
	random: () => number;
};

type WatchOptions = ObjectWatch & {
	caller: HttpCaller;
	settings: WatchSettings;
};

const firstBackoffMs = 100;
const longestBackoffMs = 3000;

/** Starts the watch; it runs until `stop`. */
export function watchObjects({
	prefixes, onObject, onError, onCall, caller, settings,
}: WatchOptions): {stop(): void} {
	const stopped = new AbortController();
	const known = new Map<string, number>();
	const listedAt = new Map<string, number>();
	let failures = 0;

	function deliver({key, version, value}: WatchEvent) {
		if (stopped.signal.aborted || known.get(key) === version) {
			return;
		}

		if (value === null) {
			known.delete(key);
		} else {
			known.set(key, version);
		}

		onObject({key, version, value: value ?? ''});
	}

	/** Delivers all objects; returns the revision to poll from, or undefined after an error. */
	async function relist(): Promise<number | undefined> {
		const listed = new Set<string>();
		let oldest: number | undefined;
		for (const prefix of prefixes) {
			onCall?.('list');
			const listing = await listObjects({
				...settings, caller, prefix, after: '',
			});
			if (listing.kind === 'failed') {
				fail(listing.error);
				return undefined;
			}

			oldest ??= listing.revision;
			listedAt.set(prefix, listing.revision);
			for (const object of listing.objects) {
				listed.add(object.key);
				deliver(object);
			}
		}

		deliverMissing(listed, oldest ?? 0);
		return oldest;
	}

	/** Delivers as deleted what is known but no longer listed. */
	function deliverMissing(listed: Set<string>, revision: number) {
		for (const key of known.keys()) {
			if (!listed.has(key)) {
				deliver({key, version: revision, value: null});
			}
		}
	}

	/** Whether a listing has already shown what came of the change. */
	function isListed({key, version}: WatchEvent): boolean {
		return prefixes.some(prefix => key.startsWith(prefix) && version <= (listedAt.get(prefix) ?? 0));
	}

	/** Polls once; returns the next revision to poll from, or undefined when the objects must be listed again. */
	async function poll(since: number): Promise<number | undefined> {
		const query = new URLSearchParams({since: String(since), timeoutMs: String(settings.watchTimeoutMs)});
		for (const prefix of prefixes) {
			query.append('prefix', prefix);
		}

		onCall?.('watch');
		const reply = await caller.call({
			method: 'GET',
			path: `/watch?${query.toString()}`,
			timeoutMs: settings.watchTimeoutMs + settings.callTimeoutMs,
			signal: stopped.signal,
		});
		if (reply.kind === 'failed') {
			fail(reply.error);
			return undefined;
		}

		if (reply.status !== 200 || !isWatchPage(reply.body)) {
			fail(reply.status === 410 ? {kind: 'historyLost'} : {kind: 'malformed', status: reply.status});
			return undefined;
		}

		for (const event of reply.body.events) {
			if (!isListed(event)) {
				deliver(event);
			}
		}

		failures = 0;
		return reply.body.revision;
	}

	function fail(error: PlatformError) {
		if (!stopped.signal.aborted) {
			failures++;
			onError(error);
		}
	}

	async function follow() {
		let revision: number | undefined;
		while (!stopped.signal.aborted) {
			revision = revision === undefined ? await relist() : await poll(revision);
			if (revision === undefined) {
				await pause(backoffMs(failures, settings.random), stopped.signal);
			}
		}
	}

	void follow();
	return {
		stop() {
			stopped.abort();
		},
	};
}

function backoffMs(failures: number, random: () => number): number {
	const full = Math.min(longestBackoffMs, firstBackoffMs * (2 ** (failures - 1)));
	return full * (0.5 + (random() / 2));
}

async function pause(ms: number, signal: AbortSignal) {
	try {
		await sleep(ms, undefined, {signal});
	} catch {
		// Only `stop` ends the pause early.
	}
}
