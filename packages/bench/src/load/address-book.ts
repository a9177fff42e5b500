/*
Addresses that callers keep: each workspace asks a router which addresses to use, keeps the answer for its time to live,
and goes on with the next address when one refuses.
*/
import {callJson, sleep} from '../deployment/http.ts';
import type {WorkspaceShare} from '../deployment/plan.ts';

/** A router that can't be asked is asked again after this time. */
const retryMs = 200;

type AddressAnswer = {addresses: Array<{url: string; failureDomain: string}>; ttlMs: number};

export type AddressBook = {
	/** Address for an attempt of the workspace, the first being attempt 1. */
	addressOf: (workspace: string, attempts: number) => string;
	/** Stops asking. */
	close: () => void;
};

/** Asks for the addresses of every workspace and keeps them fresh; `routers` are asked in turn. */
export async function openAddressBook(workspaces: WorkspaceShare[], routers: string[]): Promise<AddressBook> {
	const known = new Map<string, string[]>();
	const closing = new AbortController();
	await Promise.all(workspaces.map(async (workspace, index) => {
		const next = routersInTurn(routers, index);
		const ttlMs = await refresh(workspace, next, known);
		void keepFresh({
			workspace, next, known, ttlMs, signal: closing.signal,
		});
	}));
	return {
		addressOf(workspace, attempts) {
			const addresses = known.get(workspace) ?? routers;
			return addresses[(attempts - 1) % addresses.length] ?? '';
		},
		close() {
			closing.abort();
		},
	};
}

type Freshness = {
	workspace: WorkspaceShare;
	next: () => string;
	known: Map<string, string[]>;
	ttlMs: number;
	signal: AbortSignal;
};

async function keepFresh({workspace, next, known, ttlMs, signal}: Freshness): Promise<void> {
	let waitMs = ttlMs;
	while (!signal.aborted) {
		await sleep(waitMs);
		waitMs = signal.aborted ? 0 : await refresh(workspace, next, known);
	}
}

/** Asks one router and returns how long its answer lasts. */
async function refresh(workspace: WorkspaceShare, next: () => string, known: Map<string, string[]>): Promise<number> {
	try {
		const answer = await callJson<AddressAnswer>(`${next()}/v1/address?workspace=${workspace.id}`, {
			headers: {authorization: `Bearer ${workspace.key}`}, timeoutMs: 1000,
		});
		if (answer.addresses.length === 0) {
			return retryMs;
		}

		known.set(workspace.id, answer.addresses.map(({url}) => url));
		return Math.max(retryMs, answer.ttlMs);
	} catch {
		return retryMs;
	}
}

function routersInTurn(routers: string[], first: number): () => string {
	let turn = first;
	return () => routers[turn++ % routers.length] ?? '';
}
