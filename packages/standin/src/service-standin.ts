/*
Stand-in of an application service: any POST under /call/ runs for a time and answers with what it ran. Runs are counted
by idempotency key, so that a test sees every call that ran twice.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono} from 'hono';
import {createLoadHistory} from './load-history.ts';
import {createRequestLog, RequestEnd} from './request-log.ts';
import {
	breakConnection, createStandinServer, type Standin, type StandinContext,
} from './standin-server.ts';
import {
	addOutage, controlTargetFaults, takeOne, type FaultControl, type TargetFaults,
} from './target-faults.ts';

export type ServiceFaults = TargetFaults & {
	/** Number of next calls that run but whose connection breaks in place of the answer. */
	loseAnswers: number;
	/** Number of next answers whose connection breaks in the middle of the body. */
	truncate: number;
};

export type ServiceStandin = Standin & FaultControl<ServiceFaults>;

export type ServiceSettings = typeof serviceDefaults;

export const serviceDefaults = {
	host: '127.0.0.1',
	port: 0,
	id: 'service',
	serviceMs: 30,
	/** Calls that run at full speed together. */
	warmCapacity: 32,
	coldCapacity: 4,
	/** Completed calls after which a cold service is warm. */
	coldCompletions: 8,
	/** Whether the service starts warm. */
	warm: false,
	loadLagMs: 500,
};

/** Answer of a call; `runs` counts the runs of its key up to this one. */
export type CallAnswer = {target: string; request: string; runs: number; echo: string};

const loadTickMs = 50;

/** Creates the stand-in; it listens after `start`. */
export function createServiceStandin(options: Partial<ServiceSettings> = {}): ServiceStandin {
	const settings = {...serviceDefaults, ...options};
	const faults: Partial<ServiceFaults> = {};
	const log = createRequestLog();
	const startedAt = Date.now().toString(36);
	const state = {
		restarts: 0, running: 0, cold: !settings.warm, completions: 0, coldOverruns: 0,
	};
	const loads = createLoadHistory(load, performance.now());
	const app = new Hono<StandinContext>();
	let callCount = 0;
	let lastAnswer: CallAnswer | undefined;
	let timer: NodeJS.Timeout | undefined;

	function load() {
		return {startId: `${settings.id}-${startedAt}.${state.restarts}`, running: state.running, cold: state.cold};
	}

	function restart() {
		state.restarts++;
		state.running = 0;
		state.completions = 0;
		state.cold = true;
		server.breakConnections();
	}

	function serviceMs(): number {
		return settings.serviceMs * Math.max(1, state.running / settings.warmCapacity) * (faults.slowFactor ?? 1);
	}

	/** Runs a call; undefined when the service restarted meanwhile. */
	async function run(answer: CallAnswer, key: string): Promise<CallAnswer | undefined> {
		const {restarts} = state;
		state.running++;
		log.admitted({
			id: answer.request, key, at: Date.now(), running: state.running, cold: state.cold,
		});
		// Counted at the start: a call that a restart cuts may have had its effect.
		const ran = {...answer, runs: log.ran(key)};
		await sleep(serviceMs(), undefined, {ref: false});
		if (restarts !== state.restarts) {
			log.ended(answer.request, RequestEnd.Cut);
			return undefined;
		}

		state.running--;
		state.completions++;
		state.cold &&= state.completions < settings.coldCompletions;
		log.ended(answer.request, RequestEnd.Complete);
		return ran;
	}

	function admits(): boolean {
		if (state.cold && state.running >= settings.coldCapacity) {
			state.coldOverruns++;
			restart();
			return false;
		}

		return true;
	}

	function shown(answer: CallAnswer): CallAnswer {
		const other = lastAnswer ?? {...answer, request: `other-than-${answer.request}`, echo: ''};
		lastAnswer = answer;
		return takeOne(faults, 'crossAnswers') ? other : answer;
	}

	addOutage(app, faults);
	app.post('/call/*', async ctx => {
		const echo = await ctx.req.text();
		callCount++;
		const request = ctx.req.header('x-request-id') ?? `${settings.id}-${callCount}`;
		const key = ctx.req.header('idempotency-key') ?? request;
		const {outgoing} = ctx.env;
		const ran = admits()
			? await run({
				target: settings.id, request, runs: 0, echo,
			}, key)
			: undefined;
		await sleep(faults.answerLateMs ?? 0, undefined, {ref: false});
		if (!ran || takeOne(faults, 'loseAnswers')) {
			breakConnection(outgoing);
			return RESPONSE_ALREADY_SENT;
		}

		const answer = shown(ran);
		const text = JSON.stringify(answer);
		if (takeOne(faults, 'truncate')) {
			outgoing.writeHead(200, {'content-type': 'application/json', 'content-length': text.length, 'x-request-id': answer.request});
			outgoing.write(text.slice(0, text.length / 2), () => {
				breakConnection(outgoing);
			});
			return RESPONSE_ALREADY_SENT;
		}

		return ctx.json(answer, 200, {'x-request-id': answer.request});
	});
	app.get('/load', ctx => ctx.json(loads.report(faults.loadLagMs ?? settings.loadLagMs, performance.now())));
	app.get('/standin/stats', ctx => ctx.json({...log.stats(ctx.req.query('lists') !== 'false'), ...load(), coldOverruns: state.coldOverruns}));

	const server = createStandinServer({host: settings.host, port: settings.port, app});
	const control = controlTargetFaults({
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
				loads.record(performance.now());
			}, loadTickMs);
			return server.start();
		},
		async stop() {
			clearInterval(timer);
			await server.stop();
		},
		...control,
	};
}
