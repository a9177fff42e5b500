/*
The platform's side of a router: operations of the core on the Object API, the watch, and the instance list.
*/
import type {Inbound, StoreOperation} from '@shallotloom/core/ports.ts';
import {watchedPrefixes} from '@shallotloom/core/step.ts';
import {describePlatformError} from '@shallotloom/platform/errors.ts';
import {pollInstanceList} from '@shallotloom/platform/instance-list.ts';
import {createObjectStore, type ObjectStore} from '@shallotloom/platform/object-store.ts';
import type {RouterSettings} from '@shallotloom/settings/router-settings.ts';
import {EdgePart, type Log} from './log.ts';
import type {StoreCall} from './metrics.ts';

export type PlatformEdgeOptions = {
	settings: Pick<RouterSettings, 'platform' | 'bindAddress'>;
	log: Log;
	push: (inbound: Inbound) => void;
	onCall: (call: StoreCall) => void;
};

export type PlatformEdge = {
	store: ObjectStore;
	/** Runs an operation of the core and tells it the reply. */
	run(operation: number, action: StoreOperation): Promise<void>;
	/** Starts the watch and the polling of the instance list. */
	start(): void;
	close(): Promise<void>;
};

/** Period at which the instance list is read, in milliseconds: it lags by more than that. */
const instanceListMs = 10_000;

/** Creates the edge; nothing is called before `start` or `run`. */
export function createPlatformEdge({
	settings: {platform, bindAddress}, log, push, onCall,
}: PlatformEdgeOptions): PlatformEdge {
	const common = {
		url: platform.url,
		callTimeoutMs: platform.callTimeoutMs,
		...(bindAddress !== undefined && {localAddress: bindAddress}),
	};
	const store = createObjectStore(common);
	let watch: {stop(): void} | undefined;
	let instances: {stop(): Promise<void>} | undefined;

	function watchObjects() {
		return store.watch({
			onCall,
			prefixes: Object.keys(watchedPrefixes),
			onObject(object) {
				push({kind: 'storeEvent', object});
			},
			onError(error) {
				log.write({part: EdgePart.Platform, level: 'warn', text: `watch broke and is tried again: ${describePlatformError(error)}`});
			},
		});
	}

	function pollInstances() {
		return pollInstanceList({
			...common,
			pollMs: instanceListMs,
			onInstances(list) {
				push({kind: 'instanceList', instances: list});
			},
			onError(error) {
				log.write({part: EdgePart.Platform, level: 'debug', text: `instance list could not be read: ${describePlatformError(error)}`});
			},
		});
	}

	return {
		store,
		async run(operation, action) {
			onCall(action.kind);
			const {result, objects} = await store.run(action);
			push({
				kind: 'storeReply', operation, result, ...(objects && {objects}),
			});
		},
		start() {
			watch = watchObjects();
			instances = pollInstances();
		},
		async close() {
			watch?.stop();
			await instances?.stop();
			await store.close();
		},
	};
}
