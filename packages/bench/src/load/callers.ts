/*
Connection pools of the callers. Every workspace has its own local address, because a long backlog opens and closes more
connections than one address has ephemeral ports for.
*/
import {Agent} from 'undici';
import {getClientAddress, type WorkspaceShare} from '../deployment/plan.ts';

const connectTimeoutMs = 5000;
const keepAliveMs = 30_000;

export type Callers = {
	/** Returns the connection pool of a workspace. Throws for an unknown workspace. */
	getAgent: (workspace: string) => Agent;
	/** Destroys all connections, those in use included. */
	close: () => Promise<void>;
};

export function createCallers(workspaces: WorkspaceShare[]): Callers {
	const agents = new Map(workspaces.map(({id}, index) => [id, new Agent({
		connect: {localAddress: getClientAddress(index), timeout: connectTimeoutMs},
		headersTimeout: 0,
		bodyTimeout: 0,
		keepAliveTimeout: keepAliveMs,
	})]));
	return {
		getAgent(workspace) {
			const agent = agents.get(workspace);
			if (!agent) {
				throw new Error(`unknown workspace "${workspace}"`);
			}

			return agent;
		},
		async close() {
			await Promise.all([...agents.values()].map(async agent => agent.destroy()));
		},
	};
}
