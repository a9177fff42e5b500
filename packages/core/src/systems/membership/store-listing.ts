/*
Lists all objects under a key prefix of the Object API.
*/
import type {StoredObject} from '../../ports.ts';
import {startStoreOperation, type World} from '../../world.ts';

type ListOptions = {
	/** Lists only keys that sort after this one. */
	after?: string;
	/** Runs when the list could not be read. */
	onFailed?: () => void;
};

/** Lists a prefix; `onListed` gets its objects by key, and runs only when all were read. */
export function listObjects(world: World, prefix: string, onListed: (objects: StoredObject[]) => void, {after, onFailed}: ListOptions = {}) {
	startStoreOperation(world, {kind: 'list', prefix, ...(after !== undefined && {after})}, ({result, objects}) => {
		if (result.kind === 'ok') {
			onListed(objects);
		} else {
			onFailed?.();
		}
	});
}
