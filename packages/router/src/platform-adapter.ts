/*
The platform's side of a router: operations of the core on the Object API, the watch, and the instance list.
*/
import type {Inbound, StoreOperation} from '@shallotloom/core/ports.ts';
import {watchedPrefixes} from '@shallotloom/core/step.ts';
import {describePlatformError} from '@shallotloom/platform/errors.ts';
import {pollInstanceList} from '@shallotloom/platform/instance-list.ts';
import {createObjectStore, type ObjectStore} from '@shallotloom/platform/object-store.ts';
import type {RouterSettings} from '@shallotloom/settings/router-settings.ts';
import {AdapterPart, type Log} from './log.ts';
import type {StoreCall} from './metrics.ts';

export type PlatformAdapterOptions = {
	settings: Pick<RouterSettings, 'platform' | 'bindAddress'>;
	log: Log;
	push: (inbound: Inbound) => void;
	onCall: (call: StoreCall) => void;
};

export type PlatformAdapter = {
	store: ObjectStore;
	/** Runs an operation of the core and tells it the reply. */
	runOperation(operation: number, action: StoreOperation): Promise<void>;
	/** Starts the watch and the polling of the instance list. */
	start(): void;
	close(): Promise<void>;
};

/** Period at which the instance list is read, in milliseconds: it lags by more than that. */
const instanceListPollMs = 10_000;

/** Creates the edge; nothing is called before `start` or `run`. */
export function createPlatformAdapter({
	settings: {platform, bindAddress}, log, push, onCall,
}: PlatformAdapterOptions): PlatformAdapter {
	const clientOptions = {
		url: platform.url,
		callTimeoutMs: platform.callTimeoutMs,
		...(bindAddress !== undefined && {localAddress: bindAddress}),
	};
	const store = createObjectStore(clientOptions);
	let watch: {stop(): void} | undefined;
	let instanceListPoll: {stop(): Promise<void>} | undefined;

	function watchObjects() {
		return store.watch({
			onCall,
			prefixes: Object.keys(watchedPrefixes),
			onObject(object) {
				push({kind: 'storeEvent', object});
			},
			onError(error) {
				log.write({part: AdapterPart.Platform, level: 'warn', text: `watch broke and is tried again: ${describePlatformError(error)}`});
			},
		});
	}

	function pollInstances() {
		return pollInstanceList({
			...clientOptions,
			pollMs: instanceListPollMs,
			onInstances(list) {
				push({kind: 'instanceList', instances: list});
			},
			onError(error) {
				log.write({part: AdapterPart.Platform, level: 'debug', text: `instance list could not be read: ${describePlatformError(error)}`});
			},
		});
	}

	return {
		store,
		async runOperation(operation, action) {
			onCall(action.kind);
			const {result, objects} = await store.run(action);
			push({
				kind: 'storeReply', operation, result, ...(objects && {objects}),
			});
		},
		start() {
			watch = watchObjects();
			instanceListPoll = pollInstances();
		},
		async close() {
			watch?.stop();
			await instanceListPoll?.stop();
			await store.close();
		},
	};
}
