/*
Load of callers that use the addresses which routers return, and retry at another router when a request was certainly not run.
*/
import type {Deployment} from '../deployment/deployment.ts';
import {openAddressBook} from '../load/address-book.ts';
import {startLoad, type RunningLoad} from '../load/load.ts';
import {createSchedule} from '../load/schedule.ts';
import {getRouterUrls, createShareLoads} from './capacity.ts';

/** Maximum number of times that a request is sent again. */
const maxRetries = 5;

export type FollowingLoadOptions = {
	seed: number;
	durationMs: number;
	/** Offered load as a multiple of each workspace's share. */
	loadFactor: number;
	/** Size of each workspace's burst at the start, in seconds of its share. */
	burstSeconds?: number;
	/** Time in which requests that are open at the end of the load may finish, in milliseconds. */
	drainMs?: number;
};

export type FollowingLoad = {
	load: RunningLoad;
	/** Ends the callers' address look-ups; call it after the load has finished. */
	close(): void;
};

export async function startFollowingLoad(deployment: Deployment, options: FollowingLoadOptions): Promise<FollowingLoad> {
	const {
		seed, durationMs, loadFactor, burstSeconds = 0, drainMs,
	} = options;
	const {workspaces} = deployment;
	const addressBook = await openAddressBook(workspaces, getRouterUrls(deployment));
	const load = startLoad({
		arrivals: createSchedule({seed, durationMs, loads: createShareLoads(deployment, {getLoadFactor: () => loadFactor, burstSeconds})}),
		durationMs,
		workspaces,
		selectEntry: ({workspace}, attempts) => addressBook.getAddress(workspace, attempts),
		retries: maxRetries,
		...(drainMs !== undefined && {drainMs}),
	});
	return {load, close: addressBook.close};
}
