import {createWorld} from '@shallotloom/core/world.ts';
import {getOrCreateDemand, trySpendRetry} from '@shallotloom/core/systems/requests/demands.ts';
import {createCounts} from '../src/reading.ts';
import {createTraffic} from '../src/traffic.ts';

test('retries of a workspace are counted over its pools, and calls to the Object API by operation', () => {
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

	const counts = createCounts();
	counts.countStoreCall('watch');
	counts.countStoreCall('list');
	counts.countStoreCall('watch');
	const reading = counts.read(world, createTraffic());
	expect(reading.workspaces).toEqual([{
		id: 'ba', service: 0, waiting: 0, gap: 0, retries: 3,
	}]);
	expect(reading.storeCalls).toMatchObject({watch: 2, list: 1, get: 0});
});
