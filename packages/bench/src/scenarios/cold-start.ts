/*
Cold start: engines restart without warning and owners are killed under full load, and no engine may see more than it
carries while cold.
*/
import type {Deployment} from '../deployment/deployment.ts';
import {sleep} from '../deployment/http.ts';
import {setFaults} from '../deployment/standin.ts';
import {createRandom, type Random} from '../load/random.ts';
import {startLoad, type RunningLoad} from '../load/load.ts';
import {endings, Ending} from '../load/record.ts';
import {schedule} from '../load/schedule.ts';
import {atMost} from '../measure/figures.ts';
import {createShareLoads, warmUpMs} from './capacity.ts';
import {fetchColdOverruns, getEngines} from './engines.ts';
import {withDeployment, type Scenario, type ScenarioRun} from './scenario.ts';

const loadFactor = 1.2;

/** Time between two faults. */
const faultEveryMs = 1500;

/** Every so many faults, a router is killed instead of an engine restarted. */
const killEvery = 4;

/** Time that a killed router stays away. */
const awayMs = 2000;

/** Stream of the seed that chooses the victims; the load uses the first ones. */
const victimStream = 1000;

type Faults = {restarts: number; ownerKills: number};

export const coldStart: Scenario = {
	summary: 'overload of cold engines over restarts without warning and kills of their owners',
	seconds: 36,
	run: async run => withDeployment({}, async deployment => measure(deployment, run)),
};

async function measure(deployment: Deployment, {seed, seconds, progress}: ScenarioRun) {
	const durationMs = seconds * 1000;
	const loads = createShareLoads(deployment, {getLoadFactor: () => loadFactor, burstSeconds: 2});
	const load = startLoad({
		arrivals: schedule({seed, durationMs, loads}), durationMs, workspaces: deployment.workspaces, retries: 3,
	});
	const faults = await injectFaults(deployment, load, durationMs, createRandom(seed, victimStream));
	progress(`${faults.restarts} restarts, ${faults.ownerKills} kills`);
	const coldOverruns = await fetchColdOverruns(getEngines(deployment));
	const {records} = await load.finished;
	return {
		coldOverruns,
		...faults,
		wrongAnswers: records.filter(({ending}) => ending === Ending.Wrong).length,
		endings: endings(records),
		bounds: {coldOverruns: atMost(coldOverruns, 0)},
	};
}

async function injectFaults(deployment: Deployment, load: RunningLoad, durationMs: number, random: Random): Promise<Faults> {
	const faults: Faults = {restarts: 0, ownerKills: 0};
	const returns: Array<Promise<void>> = [];
	await sleep(warmUpMs);
	for (let count = 1; load.elapsedMs() < durationMs - awayMs - faultEveryMs; count++) {
		if (count % killEvery === 0) {
			returns.push(killAndReturn(deployment, random));
			faults.ownerKills++;
		} else {
			await restartEngine(deployment, random);
			faults.restarts++;
		}

		await sleep(faultEveryMs);
	}

	await Promise.all(returns);
	await sleep(durationMs - load.elapsedMs() - 200);
	return faults;
}

async function restartEngine(deployment: Deployment, random: Random): Promise<void> {
	const engine = chosen(getEngines(deployment), random);
	await setFaults(engine.directUrl, {restart: true});
}

async function killAndReturn(deployment: Deployment, random: Random): Promise<void> {
	const router = chosen(deployment.routers, random);
	await deployment.kill(router.id);
	await sleep(awayMs);
	await deployment.restart(router.id);
}

function chosen<Item>(items: Item[], random: Random): Item {
	const item = items[Math.floor(random.uniform() * items.length)];
	if (item === undefined) {
		throw new Error('nothing to choose from');
	}

	return item;
}
