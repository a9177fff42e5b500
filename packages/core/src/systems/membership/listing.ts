/*
Reads all objects under a prefix of the Object API.
*/
import type {StoredObject} from '../../ports.ts';
import {startStoreOperation, type World} from '../../world.ts';

type ListOptions = {
	/** Lists only keys that sort after this one. */
	after?: string;
	/** Runs when the list could not be read. */
	otherwise?: () => void;
};

/** Lists a prefix; `then` gets its objects by key, and runs only when all were read. */
export function listAll(world: World, prefix: string, then: (objects: StoredObject[]) => void, {after, otherwise}: ListOptions = {}) {
	startStoreOperation(world, {kind: 'list', prefix, ...(after !== undefined && {after})}, ({result, objects}) => {
		if (result.kind === 'ok') {
			then(objects);
		} else {
			otherwise?.();
		}
	});
}
