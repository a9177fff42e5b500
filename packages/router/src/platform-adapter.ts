/*
Connects the core to the platform: runs its operations on the Object API, watches objects and polls the instance list.
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
	/** Runs a store operation and passes the reply to the core. */
	runOperation(operation: number, action: StoreOperation): Promise<void>;
	/** Starts the watch and the polling of the instance list. */
	start(): void;
	close(): Promise<void>;
};

/** Poll interval of the instance list. More frequent polls would not help: the list lags by more than that. */
const instanceListPollMs = 10_000;

/** Creates the adapter; no call is made before `start` or `runOperation`. */
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
				log.write({part: AdapterPart.Platform, level: 'warn', text: `watch failed, retrying: ${describePlatformError(error)}`});
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
				log.write({part: AdapterPart.Platform, level: 'debug', text: `failed to read the instance list: ${describePlatformError(error)}`});
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
