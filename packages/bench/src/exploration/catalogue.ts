/*
Catalogue of the explored fleet: two pools and a route of each kind of call.
*/
import {
	CallKind, createCatalogue, type CallRoute, type Catalogue,
} from '@shallotloom/core/gateway/catalogue.ts';
import {coldPerSecond} from './rules.ts';

/** Time for which a target is cold after its start, in milliseconds. */
export const coldMs = 3000;

/** Time-out of a call, in milliseconds. */
export const timeoutMs = 2000;

export const host = 'host';

/** Path prefixes of the routes: the first two go to the application service, the others to engines. */
export const paths = ['/look/', '/book/', '/chat/', '/plan/'] as const;

function createRoute(pathPrefix: string, options: Partial<CallRoute>): CallRoute {
	return {
		name: pathPrefix,
		host,
		pathPrefix,
		kind: CallKind.Repeatable,
		isResumable: false,
		weightedPools: [{pool: 'desk', weight: 1}],
		maxAttempts: 2,
		timeoutMs,
		objectiveMs: 400,
		priority: 1,
		needsKey: true,
		...options,
	};
}

export function createExplorationCatalogue(version: number): Catalogue {
	const weightedPools = [{pool: 'engines', weight: 1}];
	return createCatalogue({
		version,
		routes: [
			createRoute('/look/', {}),
			createRoute('/book/', {kind: CallKind.Once}),
			createRoute('/chat/', {kind: CallKind.Streamed, isResumable: true, weightedPools}),
			createRoute('/plan/', {kind: CallKind.Streamed, maxAttempts: 1, weightedPools}),
		],
		pools: [
			{
				name: 'desk', coldPerSecond, coldMs, maxConnections: 100, isEngine: false,
			},
			{
				name: 'engines', coldPerSecond, coldMs, maxConnections: 100, isEngine: true,
			},
		],
		keys: new Map([['a', {workspace: 'a', priority: undefined}], ['b', {workspace: 'b', priority: undefined}]]),
		limits: {
			headerBytes: 1024, bodyBytes: 1024, headersTimeoutMs: 1000, idleTimeoutMs: 1000,
		},
		tokensPerSecond: 0,
	});
}
