/*
Operators post releases concurrently at several routers while the platform's watch events are late or dropped, answers to writes
are lost after their effect, and a router is killed and restarted. At the end, the answers that operators got are compared with
the release history.
*/
import type {Deployment} from '../deployment/deployment.ts';
import {sleep} from '../deployment/http.ts';
import {getFleetStatus, getReleaseHistory, tryPostRelease} from '../deployment/operators.ts';
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

/** Interval at which each router's revision is polled: the resolution of `inForceSeconds`. */
const pollMs = 50;

/** Maximum pause of an operator between two releases. */
const maxPauseMs = 600;

const platformFaults = {watchLagMs: 1500, watchDropFraction: 0.3, loseAnswers: 0.2};

/** Time after the last release in which routers can reach the final revision. */
const settleMs = 4000;

const maxInForceSeconds = 2;
const minAccepted = 10;

export const configuration: Scenario = {
	summary: 'concurrent releases while the platform delays and drops events and loses answers, and a router is restarted',
	seconds: 24,
	run: async run => withDeployment({}, async deployment => measure(deployment, run)),
};

type Observation = {posted: PostedRelease[]; reports: ReportedRevision[]; starts: RouterStart[]};

async function measure(deployment: Deployment, run: ScenarioRun): Promise<ScenarioResult> {
	const {posted, reports, starts} = await observe(deployment, run);
	const history = await getReleaseHistory(deployment.routers[1]!.operatorsUrl);
	const releaseFigures = computeReleaseFigures(posted, new Map(history.map(({revision, audit}) => [revision, audit.reason])));
	const inForceSeconds = computeSlowestInForceMs(posted, reports, starts) / 1000;
	const reverts = countReverts(reports);
	return {
		inForceSeconds: roundToThousandths(inForceSeconds),
		reverts,
		...releaseFigures,
		posted: posted.length,
		statuses: Object.fromEntries([...new Set(posted.map(({status}) => status))].map(status => [status, posted.filter(entry => entry.status === status).length])),
		bounds: {
			inForceSeconds: atMost(inForceSeconds, maxInForceSeconds),
			reverts: atMost(reverts, 0),
			lostReleases: atMost(releaseFigures.lostReleases, 0),
			falseAnswers: atMost(releaseFigures.falseAnswers, 0),
			accepted: atLeast(releaseFigures.accepted, minAccepted),
		},
	};
}

async function observe(deployment: Deployment, {seed, seconds, progress}: ScenarioRun): Promise<Observation> {
	const posted: PostedRelease[] = [];
	const reports: ReportedRevision[] = [];
	const starts = deployment.routers.map(({id}) => ({router: id, from: performance.now()}));
	const pollsController = new AbortController();
	const polls = deployment.routers.map(async router => pollRevision(router, reports, pollsController.signal));
	await setFaults(deployment.platformUrl, platformFaults);
	const until = performance.now() + (seconds * 1000) - settleMs;
	const operatorRuns = Array.from({length: operators}, async (_, index) => postReleases(deployment, {
		random: createRandom(seed, index), name: `operator-${index}`, until, posted,
	}));
	await sleep(seconds * 1000 / 4);
	const {id} = deployment.routers[0]!;
	await deployment.kill(id);
	await sleep(1000);
	await deployment.restart(id);
	starts.push({router: id, from: performance.now()});
	progress(`${id} was killed and restarted`);
	await Promise.all(operatorRuns);
	await sleep(settleMs);
	pollsController.abort();
	await Promise.all(polls);
	await clearFaults(deployment.platformUrl);
	return {posted, reports, starts};
}

type OperatorOptions = {random: Random; name: string; until: number; posted: PostedRelease[]};

async function postReleases({routers, workspaces}: Deployment, {random, name, until, posted}: OperatorOptions): Promise<void> {
	for (let count = 1; performance.now() < until; count += 1) {
		const router = routers[Math.floor(random.uniform() * routers.length)]!;
		const workspace = workspaces[Math.floor(random.uniform() * workspaces.length)]!;
		const reason = `${name} release ${count}`;
		const includesRevision = random.uniform() < 0.5;
		const note = {changed: {workspaces: [{id: workspace.id, weight: 1 + Math.floor(random.uniform() * 4)}]}};
		const {status, revision} = await tryPostRelease(router.operatorsUrl, {note, reason, ...(includesRevision && {ifRevision: await fetchRevision(router.operatorsUrl)})});
		posted.push({
			reason, status, revision, answeredAt: performance.now(),
		});
		await sleep(random.uniform() * maxPauseMs);
	}
}

async function fetchRevision(operatorsUrl: string): Promise<number> {
	try {
		const {revision} = await getFleetStatus(operatorsUrl);
		return revision;
	} catch {
		return 0;
	}
}

async function pollRevision({id, operatorsUrl}: {id: string; operatorsUrl: string}, reports: ReportedRevision[], signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		try {
			const {revision} = await getFleetStatus(operatorsUrl);
			reports.push({router: id, at: performance.now(), revision});
		} catch {
			// The router is down or starting.
		}

		await sleep(pollMs);
	}
}
