/*
Reads all objects under a prefix of the Object API, page by page.
*/
import type {StoredObject} from '../ports.ts';
import {store, type World} from '../world.ts';

type ListOptions = {
	/** Lists only keys that sort after this one. */
	after?: string;
	/** Runs when a page could not be read. */
	otherwise?: () => void;
};

/** Lists a whole prefix; `then` runs only when every page was read. The last page is an empty one. */
export function listAll(world: World, prefix: string, then: (objects: StoredObject[]) => void, options: ListOptions = {}) {
	const objects: StoredObject[] = [];
	const readPage = (after: string | undefined) => {
		store(world, {kind: 'list', prefix, ...(after !== undefined && {after})}, reply => {
			if (reply.result.kind !== 'ok' && reply.result.kind !== 'absent') {
				options.otherwise?.();
				return;
			}

			objects.push(...reply.objects);
			const last = reply.objects.at(-1);
			if (last === undefined) {
				then(objects);
			} else {
				readPage(last.key);
			}
		});
	};

	readPage(options.after);
}
