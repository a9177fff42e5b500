/*
Cold start: under full load, engines restart without warning and routers that own them are killed. A cold engine must never get
more requests than its cold capacity.
*/
import type {Deployment} from '../deployment/deployment.ts';
import {sleep} from '../deployment/http.ts';
import {setFaults} from '../deployment/standin.ts';
import {createRandom, type Random} from '../load/random.ts';
import {startLoad, type RunningLoad} from '../load/load.ts';
import {countEndings, Ending} from '../load/record.ts';
import {createSchedule} from '../load/schedule.ts';
import {atMost} from '../measure/figures.ts';
import {createShareLoads, warmUpMs} from './capacity.ts';
import {fetchColdOverruns, getEngines} from './engines.ts';
import {withDeployment, type Scenario, type ScenarioRun} from './scenario.ts';

const loadFactor = 1.2;

/** Time between two faults. */
const faultIntervalMs = 1500;

/** For one in this many faults, a router is killed; for the others, an engine is restarted. */
const faultsPerKill = 4;

/** Time for which a killed router stays down. */
const downtimeMs = 2000;

/** Random stream that selects the routers and engines; streams with lower numbers are used by the load. */
const faultStream = 1000;

type FaultCounts = {restarts: number; ownerKills: number};

export const coldStart: Scenario = {
	summary: 'overload of cold engines while they restart without warning and their owners are killed',
	seconds: 36,
	run: async run => withDeployment({}, async deployment => measure(deployment, run)),
};

async function measure(deployment: Deployment, {seed, seconds, progress}: ScenarioRun) {
	const durationMs = seconds * 1000;
	const loads = createShareLoads(deployment, {getLoadFactor: () => loadFactor, burstSeconds: 2});
	const load = startLoad({
		arrivals: createSchedule({seed, durationMs, loads}), durationMs, workspaces: deployment.workspaces, retries: 3,
	});
	const faults = await injectFaults(deployment, load, durationMs, createRandom(seed, faultStream));
	progress(`${faults.restarts} restarts, ${faults.ownerKills} kills`);
	const coldOverruns = await fetchColdOverruns(getEngines(deployment));
	const {records} = await load.finished;
	return {
		coldOverruns,
		...faults,
		wrongAnswers: records.filter(({ending}) => ending === Ending.Wrong).length,
		endings: countEndings(records),
		bounds: {coldOverruns: atMost(coldOverruns, 0)},
	};
}

async function injectFaults(deployment: Deployment, load: RunningLoad, durationMs: number, random: Random): Promise<FaultCounts> {
	const faults: FaultCounts = {restarts: 0, ownerKills: 0};
	const pendingRestarts: Array<Promise<void>> = [];
	await sleep(warmUpMs);
	for (let count = 1; load.getElapsedMs() < durationMs - downtimeMs - faultIntervalMs; count++) {
		if (count % faultsPerKill === 0) {
			pendingRestarts.push(killAndRestart(deployment, random));
			faults.ownerKills++;
		} else {
			await restartEngine(deployment, random);
			faults.restarts++;
		}

		await sleep(faultIntervalMs);
	}

	await Promise.all(pendingRestarts);
	await sleep(durationMs - load.getElapsedMs() - 200);
	return faults;
}

async function restartEngine(deployment: Deployment, random: Random): Promise<void> {
	const engine = pickRandom(getEngines(deployment), random);
	await setFaults(engine.directUrl, {restart: true});
}

async function killAndRestart(deployment: Deployment, random: Random): Promise<void> {
	const router = pickRandom(deployment.routers, random);
	await deployment.kill(router.id);
	await sleep(downtimeMs);
	await deployment.restart(router.id);
}

function pickRandom<Item>(items: Item[], random: Random): Item {
	const item = items[Math.floor(random.uniform() * items.length)];
	if (item === undefined) {
		throw new Error('cannot pick from an empty list of routers or engines');
	}

	return item;
}
