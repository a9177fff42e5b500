/*
Polls the platform's instance list. The list lags behind the actual state, so it is only a hint about which instances exist.
*/
import {createHttpClient} from './http-call.ts';
import type {PlatformError} from './errors.ts';
import {isInstanceArray, type Instance} from './object-wire.ts';

export type InstanceListOptions = {
	/** Base URL of the platform, such as `http://127.0.0.1:7000`. */
	url: string;
	onInstances: (instances: Instance[]) => void;
	onError: (error: PlatformError) => void;
	pollMs?: number;
	callTimeoutMs?: number;
	connectTimeoutMs?: number;
	localAddress?: string;
};

export const defaultInstanceListOptions = {
	pollMs: 2000,
	callTimeoutMs: 2000,
	connectTimeoutMs: 1000,
	localAddress: '',
};

/** Polls the list immediately and then until `stop`, `pollMs` after each reply; polls never overlap. */
export function pollInstanceList(options: InstanceListOptions): {stop(): Promise<void>} {
	const settings = {...defaultInstanceListOptions, ...options};
	const client = createHttpClient({...settings, maxConnections: 1});
	let stopped = false;
	let timer: NodeJS.Timeout | undefined;

	async function poll() {
		const reply = await client.call({method: 'GET', path: '/instances', timeoutMs: settings.callTimeoutMs});
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
			await client.close();
		},
	};
}
