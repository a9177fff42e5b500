/*
Stand-in of an application service: a POST to any path under /call/ runs for the service time, and its answer says which
request ran. Runs are counted by idempotency key, so that a test detects every call that ran more than once.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono} from 'hono';
import {createLoadHistory} from './load-history.ts';
import {createRequestLog, RequestEnd} from './request-log.ts';
import {
	breakConnection, createStandinServer, type Standin, type StandinEnvironment,
} from './standin-server.ts';
import {
	addOutageMiddleware, createFaultControl, tryConsumeFault, type FaultControl, type TargetFaults,
} from './target-faults.ts';

export type ServiceFaults = TargetFaults & {
	/** Number of next calls that run but whose connection breaks in place of an answer. */
	loseAnswers: number;
	/** Number of next answers whose connection breaks in the middle of the body. */
	truncate: number;
};

export type ServiceStandin = Standin & FaultControl<ServiceFaults>;

export type ServiceSettings = typeof defaultServiceSettings;

export const defaultServiceSettings = {
	host: '127.0.0.1',
	port: 0,
	id: 'service',
	/** Run time of a call up to the warm capacity; above it, the time grows in proportion to the load. */
	serviceMs: 30,
	/** Concurrent calls that run without slowing each other down. */
	warmCapacity: 32,
	/** Concurrent calls that a cold service can run; one more makes it crash. */
	coldCapacity: 4,
	/** Completed calls after which a cold service is warm. */
	coldCompletions: 8,
	/** Whether the service starts warm. */
	warm: false,
	loadLagMs: 500,
};

/** Answer to a call; `runs` is the number of runs of its idempotency key up to and including this one. */
export type CallAnswer = {target: string; request: string; runs: number; echo: string};

const loadSnapshotIntervalMs = 50;

/** Creates a service; it listens after `start`. */
export function createServiceStandin(options: Partial<ServiceSettings> = {}): ServiceStandin {
	const settings = {...defaultServiceSettings, ...options};
	const faults: Partial<ServiceFaults> = {};
	const log = createRequestLog();
	const startedAt = Date.now().toString(36);
	const state = {
		restarts: 0, running: 0, cold: !settings.warm, completions: 0, coldOverruns: 0,
	};
	const loadHistory = createLoadHistory(getLoad, performance.now());
	const app = new Hono<StandinEnvironment>();
	let callCount = 0;
	let lastAnswer: CallAnswer | undefined;
	let timer: NodeJS.Timeout | undefined;

	function getLoad() {
		return {startId: `${settings.id}-${startedAt}.${state.restarts}`, running: state.running, cold: state.cold};
	}

	function restart() {
		state.restarts++;
		state.running = 0;
		state.completions = 0;
		state.cold = true;
		server.breakConnections();
	}

	function computeServiceMs(): number {
		return settings.serviceMs * Math.max(1, state.running / settings.warmCapacity) * (faults.slowFactor ?? 1);
	}

	/** Runs a call; undefined when the service restarted before its end. */
	async function run(answer: CallAnswer, key: string): Promise<CallAnswer | undefined> {
		const {restarts} = state;
		state.running++;
		log.recordAdmission({
			id: answer.request, key, at: Date.now(), running: state.running, cold: state.cold,
		});
		// Counted at the start, since a call that a restart cuts may already have had its effect.
		const answerWithRuns = {...answer, runs: log.recordRun(key)};
		await sleep(computeServiceMs(), undefined, {ref: false});
		if (restarts !== state.restarts) {
			log.recordEnd(answer.request, RequestEnd.Cut);
			return undefined;
		}

		state.running--;
		state.completions++;
		state.cold &&= state.completions < settings.coldCompletions;
		log.recordEnd(answer.request, RequestEnd.Complete);
		return answerWithRuns;
	}

	/** False when the call exceeds the cold capacity, which makes the service crash and restart. */
	function tryAdmit(): boolean {
		if (state.cold && state.running >= settings.coldCapacity) {
			state.coldOverruns++;
			restart();
			return false;
		}

		return true;
	}

	/** The answer to send: that of another call if `crossAnswers` is set, otherwise the call's own. */
	function applyCrossAnswers(answer: CallAnswer): CallAnswer {
		const other = lastAnswer ?? {...answer, request: `other-than-${answer.request}`, echo: ''};
		lastAnswer = answer;
		return tryConsumeFault(faults, 'crossAnswers') ? other : answer;
	}

	addOutageMiddleware(app, faults);
	app.post('/call/*', async ctx => {
		const echo = await ctx.req.text();
		callCount++;
		const request = ctx.req.header('x-request-id') ?? `${settings.id}-${callCount}`;
		const key = ctx.req.header('idempotency-key') ?? request;
		const {outgoing} = ctx.env;
		const ownAnswer = tryAdmit()
			? await run({
				target: settings.id, request, runs: 0, echo,
			}, key)
			: undefined;
		await sleep(faults.answerLateMs ?? 0, undefined, {ref: false});
		if (!ownAnswer || tryConsumeFault(faults, 'loseAnswers')) {
			breakConnection(outgoing);
			return RESPONSE_ALREADY_SENT;
		}

		const answer = applyCrossAnswers(ownAnswer);
		const text = JSON.stringify(answer);
		if (tryConsumeFault(faults, 'truncate')) {
			outgoing.writeHead(200, {'content-type': 'application/json', 'content-length': text.length, 'x-request-id': answer.request});
			outgoing.write(text.slice(0, text.length / 2), () => {
				breakConnection(outgoing);
			});
			return RESPONSE_ALREADY_SENT;
		}

		return ctx.json(answer, 200, {'x-request-id': answer.request});
	});
	app.get('/load', ctx => ctx.json(loadHistory.getReport(faults.loadLagMs ?? settings.loadLagMs, performance.now())));
	app.get('/standin/stats', ctx => ctx.json({...log.getStats(ctx.req.query('lists') !== 'false'), ...getLoad(), coldOverruns: state.coldOverruns}));

	const server = createStandinServer({host: settings.host, port: settings.port, app});
	const faultControl = createFaultControl({
		app,
		faults,
		restart,
		refuseConnections(ms) {
			server.refuseConnections(ms);
		},
	});
	return {
		async start() {
			timer = setInterval(() => {
				loadHistory.record(performance.now());
			}, loadSnapshotIntervalMs);
			return server.start();
		},
		async stop() {
			clearInterval(timer);
			await server.stop();
		},
		...faultControl,
	};
}
