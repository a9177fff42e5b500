import {createWorld} from '@shallotloom/core/world.ts';
import {getOrCreateDemand, trySpendRetry} from '@shallotloom/core/systems/requests/demands.ts';
import {createMetricCounters} from '../src/metric-values.ts';
import {createControlTraffic} from '../src/control-traffic.ts';

test('retries of a workspace are summed over its pools, and calls to the Object API are counted by operation', () => {
	const world = createWorld({
		self: {
			id: 'suva-1', incarnation: 'a', failureDomain: 'suva', callerUrl: 'http://127.0.2.1:8080', peerUrl: 'http://127.0.2.1:8081',
		},
		seed: 1,
		now: 0,
		limits: {retryReserve: 2},
	});
	for (const pool of ['small', 'large']) {
		getOrCreateDemand(world, {pool, workspace: 'ba'});
	}

	const request = {pool: 'small', workspace: 'ba'};
	expect([trySpendRetry(world, request), trySpendRetry(world, request), trySpendRetry(world, request)]).toEqual([true, true, false]);
	trySpendRetry(world, {...request, pool: 'large'});

	const counts = createMetricCounters();
	counts.countStoreCall('watch');
	counts.countStoreCall('list');
	counts.countStoreCall('watch');
	const values = counts.collect(world, createControlTraffic());
	expect(values.workspaces).toEqual([{
		id: 'ba', servedTokens: 0, waiting: 0, gap: 0, retries: 3,
	}]);
	expect(values.storeCalls).toMatchObject({watch: 2, list: 1, get: 0});
});
