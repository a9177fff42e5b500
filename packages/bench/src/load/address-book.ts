/*
Caches router addresses for callers: each workspace fetches its address list from a router, refreshes it when its time to
live ends, and uses the next address for each further attempt.
*/
import {callJson, sleep} from '../deployment/http.ts';
import type {WorkspaceShare} from '../deployment/plan.ts';

/** Delay before the next fetch when one fails or returns no address; also the shortest time between two fetches. */
const minRefreshMs = 200;

type AddressAnswer = {addresses: Array<{url: string; failureDomain: string}>; ttlMs: number};

export type AddressBook = {
	/** Returns the base URL for an attempt of a workspace's request; attempts count from 1. */
	getAddress: (workspace: string, attempt: number) => string;
	/** Stops the refreshes. */
	close: () => void;
};

/** Fetches the addresses of each workspace and refreshes them until closed; `routers` are queried round-robin. */
export async function openAddressBook(workspaces: WorkspaceShare[], routers: string[]): Promise<AddressBook> {
	const addressesByWorkspace = new Map<string, string[]>();
	const abortController = new AbortController();
	await Promise.all(workspaces.map(async (workspace, index) => {
		const getNextRouter = createRoundRobin(routers, index);
		const ttlMs = await refresh(workspace, getNextRouter, addressesByWorkspace);
		void refreshPeriodically({
			workspace, getNextRouter, addressesByWorkspace, ttlMs, signal: abortController.signal,
		});
	}));
	return {
		getAddress(workspace, attempt) {
			const addresses = addressesByWorkspace.get(workspace) ?? routers;
			return addresses[(attempt - 1) % addresses.length] ?? '';
		},
		close() {
			abortController.abort();
		},
	};
}

type RefreshOptions = {
	workspace: WorkspaceShare;
	getNextRouter: () => string;
	addressesByWorkspace: Map<string, string[]>;
	ttlMs: number;
	signal: AbortSignal;
};

async function refreshPeriodically({workspace, getNextRouter, addressesByWorkspace, ttlMs, signal}: RefreshOptions): Promise<void> {
	let waitMs = ttlMs;
	while (!signal.aborted) {
		await sleep(waitMs);
		waitMs = signal.aborted ? 0 : await refresh(workspace, getNextRouter, addressesByWorkspace);
	}
}

/** Fetches the workspace's addresses from one router and returns the time until the next refresh, in milliseconds. */
async function refresh(
	workspace: WorkspaceShare,
	getNextRouter: () => string,
	addressesByWorkspace: Map<string, string[]>,
): Promise<number> {
	try {
		const answer = await callJson<AddressAnswer>(`${getNextRouter()}/v1/address?workspace=${workspace.id}`, {
			headers: {authorization: `Bearer ${workspace.key}`}, timeoutMs: 1000,
		});
		if (answer.addresses.length === 0) {
			return minRefreshMs;
		}

		addressesByWorkspace.set(workspace.id, answer.addresses.map(({url}) => url));
		return Math.max(minRefreshMs, answer.ttlMs);
	} catch {
		return minRefreshMs;
	}
}

function createRoundRobin(routers: string[], firstIndex: number): () => string {
	let index = firstIndex;
	return () => routers[index++ % routers.length] ?? '';
}
