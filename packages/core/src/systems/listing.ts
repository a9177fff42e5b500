/*
Reads all objects under a prefix of the Object API, page by page.
*/
import type {StoredObject} from '../ports.ts';
import {store, type World} from '../world.ts';

/** Lists a whole prefix; `then` runs only when every page was read. The last page is an empty one. */
export function listAll(world: World, prefix: string, then: (objects: StoredObject[]) => void, after = '') {
	const objects: StoredObject[] = [];
	const readPage = (from: string) => {
		store(world, {kind: 'list', prefix, ...(from !== '' && {after: from})}, reply => {
			if (reply.result.kind !== 'ok' && reply.result.kind !== 'absent') {
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

	readPage(after);
}
