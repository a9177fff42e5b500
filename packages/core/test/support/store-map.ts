/*
In-memory Object API with conditional updates. The fault of each operation is chosen by the test.
*/
import type {StoreOperation, StoreResult, StoredObject} from '../../src/ports.ts';

export enum StoreFault {
	None = 'none',
	/** Refuses the operation; it has no effect. */
	Down = 'down',
	/** The operation has no effect and gets no answer. */
	Cut = 'cut',
	/** The operation takes effect, but its answer is lost. */
	AnswerLost = 'answer-lost',
}

export type StoreMap = {
	objects: Map<string, StoredObject>;
	/** Runs an operation; `changed` is the object that it wrote or deleted, if any. */
	run: (action: StoreOperation, fault: StoreFault) => {result: StoreResult; objects: StoredObject[]; changed?: StoredObject};
};

type Outcome = ReturnType<StoreMap['run']>;

export function createStoreMap(): StoreMap {
	const objects = new Map<string, StoredObject>();
	let version = 0;

	const handlers: {[Kind in StoreOperation['kind']]: (action: Extract<StoreOperation, {kind: Kind}>) => Outcome} = {
		get({key}) {
			const object = objects.get(key);
			return {result: object ? {kind: 'ok', version: object.version, value: object.value} : {kind: 'absent'}, objects: []};
		},
		list({prefix, after = ''}) {
			const found = [...objects.values()].filter(({key}) => key.startsWith(prefix) && key > after);
			found.sort((a, b) => a.key < b.key ? -1 : 1);
			return {result: {kind: 'ok', version: 0, value: ''}, objects: found.map(object => ({...object}))};
		},
		put({key, value, ifVersion}) {
			if ((objects.get(key)?.version ?? 0) !== ifVersion) {
				return {result: {kind: 'conflict'}, objects: []};
			}

			version += 1;
			const changed = {key, value, version};
			objects.set(key, changed);
			return {result: {kind: 'ok', version, value}, objects: [], changed};
		},
		delete({key, ifVersion}) {
			const object = objects.get(key);
			if (object?.version !== ifVersion) {
				return {result: {kind: object ? 'conflict' : 'absent'}, objects: []};
			}

			version += 1;
			objects.delete(key);
			return {result: {kind: 'ok', version, value: ''}, objects: [], changed: {key, value: '', version}};
		},
	};

	return {
		objects,
		run(action, fault) {
			if (fault === StoreFault.Down || fault === StoreFault.Cut) {
				return {result: {kind: fault === StoreFault.Down ? 'unavailable' : 'unknown'}, objects: []};
			}

			const handler = handlers[action.kind] as (action: StoreOperation) => Outcome;
			const outcome = handler(action);
			return fault === StoreFault.AnswerLost ? {...outcome, result: {kind: 'unknown'}, objects: []} : outcome;
		},
	};
}
