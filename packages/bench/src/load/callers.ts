/*
Connections of the callers. Every workspace calls from an address of its own, since one address has too few ports for the
connections that a long backlog opens and leaves behind.
*/
import {Agent} from 'undici';
import {clientAddress, type WorkspaceShare} from '../deployment/plan.ts';

const connectTimeoutMs = 5000;
const keepAliveMs = 30_000;

export type Callers = {
	/** Connections of one workspace. Throws for one that is not known. */
	of: (workspace: string) => Agent;
	/** Breaks all connections. */
	close: () => Promise<void>;
};

export function createCallers(workspaces: WorkspaceShare[]): Callers {
	const agents = new Map(workspaces.map(({id}, index) => [id, new Agent({
		connect: {localAddress: clientAddress(index), timeout: connectTimeoutMs},
		headersTimeout: 0,
		bodyTimeout: 0,
		keepAliveTimeout: keepAliveMs,
	})]));
	return {
		of(workspace) {
			const agent = agents.get(workspace);
			if (!agent) {
				throw new Error(`no workspace is named "${workspace}"`);
			}

			return agent;
		},
		async close() {
			await Promise.all([...agents.values()].map(async agent => agent.destroy()));
		},
	};
}
