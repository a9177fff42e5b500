/*
Operators race at several routers while the platform's watch is late and drops, answers of writes get lost after their
effect, and a router is killed and started again. What operators were told is compared with the history at the end.
*/
import type {Deployment} from '../deployment/deployment.ts';
import {sleep} from '../deployment/http.ts';
import {fleetStatus, releaseHistory, tryRelease} from '../deployment/operators.ts';
import {clearFaults, setFaults} from '../deployment/standin.ts';
import {createRandom, type Random} from '../load/random.ts';
import {atLeast, atMost, roundToThousandths} from '../measure/figures.ts';
import {
	countReverts, computeReleaseFigures, computeSlowestInForceMs, type PostedRelease, type ReportedRevision, type RouterStart,
} from './release-audit.ts';
import {
	withDeployment, type Scenario, type ScenarioResult, type ScenarioRun,
} from './scenario.ts';

const operators = 4;

/** Period at which each router is asked for its revision: the resolution of `inForceSeconds`. */
const pollMs = 50;

/** Longest pause of an operator between two releases. */
const pauseMs = 600;

const platformFaults = {watchLagMs: 1500, watchDropFraction: 0.3, loseAnswers: 0.2};

/** Time after the last release in which everything comes to rest. */
const settleMs = 4000;

const inForceLimit = 2;
const leastAccepted = 10;

export const configuration: Scenario = {
	summary: 'operators race while the platform is late, drops events and loses answers, and a router is restarted',
	seconds: 24,
	run: async run => withDeployment({}, async deployment => measure(deployment, run)),
};

type Observation = {posted: PostedRelease[]; sightings: ReportedRevision[]; starts: RouterStart[]};

async function measure(deployment: Deployment, run: ScenarioRun): Promise<ScenarioResult> {
	const {posted, sightings, starts} = await observe(deployment, run);
	const history = await releaseHistory(deployment.routers[1]!.operatorsUrl);
	const verdict = computeReleaseFigures(posted, new Map(history.map(({revision, audit}) => [revision, audit.reason])));
	const inForceSeconds = computeSlowestInForceMs(posted, sightings, starts) / 1000;
	const reverts = countReverts(sightings);
	return {
		inForceSeconds: roundToThousandths(inForceSeconds),
		reverts,
		...verdict,
		posted: posted.length,
		statuses: Object.fromEntries([...new Set(posted.map(({status}) => status))].map(status => [status, posted.filter(entry => entry.status === status).length])),
		bounds: {
			inForceSeconds: atMost(inForceSeconds, inForceLimit),
			reverts: atMost(reverts, 0),
			lostReleases: atMost(verdict.lostReleases, 0),
			falseAnswers: atMost(verdict.falseAnswers, 0),
			accepted: atLeast(verdict.accepted, leastAccepted),
		},
	};
}

async function observe(deployment: Deployment, {seed, seconds, progress}: ScenarioRun): Promise<Observation> {
	const posted: PostedRelease[] = [];
	const sightings: ReportedRevision[] = [];
	const starts = deployment.routers.map(({id}) => ({router: id, from: performance.now()}));
	const ending = new AbortController();
	const polls = deployment.routers.map(async router => poll(router, sightings, ending.signal));
	await setFaults(deployment.platformUrl, platformFaults);
	const until = performance.now() + (seconds * 1000) - settleMs;
	const operating = Array.from({length: operators}, async (_, index) => operate(deployment, {
		random: createRandom(seed, index), name: `operator-${index}`, until, posted,
	}));
	await sleep(seconds * 1000 / 4);
	const {id} = deployment.routers[0]!;
	await deployment.kill(id);
	await sleep(1000);
	await deployment.restart(id);
	starts.push({router: id, from: performance.now()});
	progress(`${id} was killed and started again`);
	await Promise.all(operating);
	await sleep(settleMs);
	ending.abort();
	await Promise.all(polls);
	await clearFaults(deployment.platformUrl);
	return {posted, sightings, starts};
}

type Operating = {random: Random; name: string; until: number; posted: PostedRelease[]};

async function operate({routers, workspaces}: Deployment, {random, name, until, posted}: Operating): Promise<void> {
	for (let count = 1; performance.now() < until; count += 1) {
		const router = routers[Math.floor(random.uniform() * routers.length)]!;
		const workspace = workspaces[Math.floor(random.uniform() * workspaces.length)]!;
		const reason = `${name} release ${count}`;
		const namesRevision = random.uniform() < 0.5;
		const note = {changed: {workspaces: [{id: workspace.id, weight: 1 + Math.floor(random.uniform() * 4)}]}};
		const {status, revision} = await tryRelease(router.operatorsUrl, {note, reason, ...(namesRevision && {ifRevision: await revisionOf(router.operatorsUrl)})});
		posted.push({
			reason, status, revision, answeredAt: performance.now(),
		});
		await sleep(random.uniform() * pauseMs);
	}
}

async function revisionOf(operatorsUrl: string): Promise<number> {
	try {
		const {revision} = await fleetStatus(operatorsUrl);
		return revision;
	} catch {
		return 0;
	}
}

async function poll({id, operatorsUrl}: {id: string; operatorsUrl: string}, sightings: ReportedRevision[], signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		try {
			const {revision} = await fleetStatus(operatorsUrl);
			sightings.push({router: id, at: performance.now(), revision});
		} catch {
			// It is down, or just starting.
		}

		await sleep(pollMs);
	}
}
