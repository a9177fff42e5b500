/*
Load of callers that follow the addresses which the routers name, and try again elsewhere when a request surely didn't run.
*/
import type {Deployment} from '../deployment/deployment.ts';
import {openAddressBook} from '../load/address-book.ts';
import {startLoad, type RunningLoad} from '../load/load.ts';
import {schedule} from '../load/schedule.ts';
import {getRouterUrls, createShareLoads} from './capacity.ts';

/** Most times that a caller tries a request again. */
const retries = 5;

export type FollowingLoadOptions = {
	seed: number;
	durationMs: number;
	/** Offered load as a multiple of each workspace's share. */
	loadFactor: number;
	/** Seconds of its share that a workspace offers together at the start. */
	burstSeconds?: number;
	/** Time for what is open at the end of the load, in milliseconds. */
	drainMs?: number;
};

export type FollowingLoad = {
	load: RunningLoad;
	/** Ends the callers' look-ups; to be called once the load has finished. */
	close(): void;
};

/** Starts the load. */
export async function startFollowingLoad(deployment: Deployment, options: FollowingLoadOptions): Promise<FollowingLoad> {
	const {
		seed, durationMs, loadFactor, burstSeconds = 0, drainMs,
	} = options;
	const {workspaces} = deployment;
	const book = await openAddressBook(workspaces, getRouterUrls(deployment));
	const load = startLoad({
		arrivals: schedule({seed, durationMs, loads: createShareLoads(deployment, {getLoadFactor: () => loadFactor, burstSeconds})}),
		durationMs,
		workspaces,
		entryOf: ({workspace}, attempts) => book.addressOf(workspace, attempts),
		retries,
		...(drainMs !== undefined && {drainMs}),
	});
	return {load, close: book.close};
}
