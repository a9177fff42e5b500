/*
Polls the platform's instance list. The list lags behind, so it is a hint about who is there, never proof.
*/
import {createHttpCaller} from './http-call.ts';
import type {PlatformError} from './errors.ts';
import {isInstanceArray, type Instance} from './object-wire.ts';

export type InstanceListOptions = {
	/** Base of the platform, such as `http://127.0.0.1:7000`. */
	url: string;
	onInstances: (instances: Instance[]) => void;
	onError: (error: PlatformError) => void;
	pollMs?: number;
	callTimeoutMs?: number;
	connectTimeoutMs?: number;
	localAddress?: string;
};

export const instanceListDefaults = {
	pollMs: 2000,
	callTimeoutMs: 2000,
	connectTimeoutMs: 1000,
	localAddress: '',
};

/** Polls the list at once and then every `pollMs` until `stop`; a poll that is still open delays the next. */
export function pollInstanceList(options: InstanceListOptions): {stop(): Promise<void>} {
	const settings = {...instanceListDefaults, ...options};
	const caller = createHttpCaller({...settings, connections: 1});
	let stopped = false;
	let timer: NodeJS.Timeout | undefined;

	async function poll() {
		const reply = await caller.call({method: 'GET', path: '/instances', timeoutMs: settings.callTimeoutMs});
		if (stopped) {
			return;
		}

		if (reply.kind === 'failed') {
			settings.onError(reply.error);
		} else if (reply.status === 200 && isInstanceArray(reply.body)) {
			settings.onInstances(reply.body);
		} else {
			settings.onError({kind: 'malformed', status: reply.status});
		}

		timer = setTimeout(() => {
			void poll();
		}, settings.pollMs);
	}

	void poll();
	return {
		async stop() {
			stopped = true;
			clearTimeout(timer);
			await caller.close();
		},
	};
}
