/*
Long polls of the Object API: each waits until a change under its prefixes is old enough to be seen, or until its time is
over.
*/
import type {ObjectTable} from './object-table.ts';

export type WatchReply
	= | {kind: 'changes'; revision: number; events: Array<{key: string; version: number; value: string | null}>}
	/** The revision asked for is older than the kept history, or unknown. */
		| {kind: 'expired'}
		| {kind: 'refused'};

export type WatchRequest = {prefixes: string[]; since: number; timeoutMs: number};

export type Watchers = {
	wait(request: WatchRequest): Promise<WatchReply>;
	/** To be called after every change of the table. */
	changed(): void;
	/** Ends all waiting watches. */
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
	let checking = false;
	const waiting = new Set<{check: () => void; refuse: () => void}>();

	/** What a watch may see now. */
	function visible(prefixes: string[], since: number): WatchReply {
		const changes = table.changesSince(since);
		if (!changes) {
			return {kind: 'expired'};
		}

		const until = now() - lagMs();
		const seen = changes.filter(change => change.at <= until);
		const events = seen
			.filter(change => prefixes.some(prefix => change.key.startsWith(prefix)))
			.map(({key, version, value}) => ({key, version, value}));
		return {kind: 'changes', revision: seen.at(-1)?.version ?? since, events};
	}

	function checkAll() {
		checking = false;
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
						const reply = visible(prefixes, since);
						if (reply.kind !== 'changes' || reply.events.length > 0) {
							end(reply);
						} else {
							// What is under other prefixes is not looked at again.
							since = reply.revision;
						}
					},
					refuse() {
						end({kind: 'refused'});
					},
				};
				const timer = setTimeout(() => {
					end(visible(prefixes, since));
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
		changed() {
			// A millisecond more, since timers may fire early by less than one.
			const lag = lagMs();
			if (lag > 0) {
				setTimeout(checkAll, lag + 1);
			} else if (!checking) {
				checking = true;
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
