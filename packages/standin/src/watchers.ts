/*
Long polls of the Object API: each waits until a change under one of its prefixes has reached the age at which watches see
it, or until it times out.
*/
import type {ObjectTable} from './object-table.ts';

export type WatchReply
	= | {kind: 'changes'; revision: number; events: Array<{key: string; version: number; value: string | null}>}
	/** The requested revision is older than the retained history, or unknown. */
		| {kind: 'expired'}
		| {kind: 'refused'};

export type WatchRequest = {prefixes: string[]; since: number; timeoutMs: number};

export type Watchers = {
	wait(request: WatchRequest): Promise<WatchReply>;
	/** Must be called after every change of the table. */
	notifyChange(): void;
	/** Ends all waiting watches with `refused`. */
	refuseAll(): void;
};

export type WatchersOptions = {
	table: ObjectTable;
	now: () => number;
	/** Age that a change must have before a watch sees it, in milliseconds. */
	lagMs: () => number;
};

/** Creates the set of waiting watches of one table. */
export function createWatchers({table, now, lagMs}: WatchersOptions): Watchers {
	let isCheckScheduled = false;
	const waiting = new Set<{check: () => void; refuse: () => void}>();

	/** Reply with the changes that a watch may see now. */
	function createReply(prefixes: string[], since: number): WatchReply {
		const changes = table.getChangesSince(since);
		if (!changes) {
			return {kind: 'expired'};
		}

		const until = now() - lagMs();
		const visible = changes.filter(change => change.at <= until);
		const events = visible
			.filter(change => prefixes.some(prefix => change.key.startsWith(prefix)))
			.map(({key, version, value}) => ({key, version, value}));
		return {kind: 'changes', revision: visible.at(-1)?.version ?? since, events};
	}

	function checkAll() {
		isCheckScheduled = false;
		for (const {check} of waiting) {
			check();
		}
	}

	return {
		async wait(request) {
			return new Promise(resolve => {
				const {prefixes, timeoutMs} = request;
				let {since} = request;
				const watcher = {
					check() {
						const reply = createReply(prefixes, since);
						if (reply.kind !== 'changes' || reply.events.length > 0) {
							end(reply);
						} else {
							// Skips visible changes under other prefixes, so that they aren't filtered again at the next check.
							since = reply.revision;
						}
					},
					refuse() {
						end({kind: 'refused'});
					},
				};
				const timer = setTimeout(() => {
					end(createReply(prefixes, since));
				}, timeoutMs);

				function end(reply: WatchReply) {
					clearTimeout(timer);
					waiting.delete(watcher);
					resolve(reply);
				}

				waiting.add(watcher);
				watcher.check();
			});
		},
		notifyChange() {
			const lag = lagMs();
			if (lag > 0) {
				// One millisecond more than the lag, since timers may fire early by less than a millisecond.
				setTimeout(checkAll, lag + 1);
			} else if (!isCheckScheduled) {
				isCheckScheduled = true;
				setImmediate(checkAll);
			}
		},
		refuseAll() {
			for (const {refuse} of waiting) {
				refuse();
			}
		},
	};
}
