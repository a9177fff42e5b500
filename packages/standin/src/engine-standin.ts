/*
Stand-in of a model engine: OpenAI-style completions over continuous batching, resumable streams, lagging load reports,
late cache events, orders with fencing, and faults.
*/
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono} from 'hono';
import {noAnswerFaults, type AnswerFaults} from './answer-stream.ts';
import {createEngineAnswers, type AnswerRequest} from './engine-answers.ts';
import {engineDefaults, type EngineFaults, type EngineSettings} from './engine-settings.ts';
import {createLoadHistory} from './load-history.ts';
import {createOrderBook, type Order} from './order-book.ts';
import {createRandom, seedOf} from './random.ts';
import {createRequestLog} from './request-log.ts';
import {
	createStandinServer, type Standin, type StandinContext,
} from './standin-server.ts';
import {
	addOutage, controlTargetFaults, takeOne, type FaultControl,
} from './target-faults.ts';

export type EngineStandin = Standin & FaultControl<EngineFaults>;

/** Body of a completion request; fields that start with `standin_` fix what a real engine would find out. */
type CompletionBody = {
	model?: string;
	stream?: boolean;
	max_tokens?: number;
	messages?: unknown;
	standin_output_tokens?: number;
	standin_prompt_tokens?: number;
};

const charactersPerToken = 4;

/** Creates the stand-in; it listens after `start`. */
export function createEngineStandin(options: Partial<EngineSettings> = {}): EngineStandin {
	const settings = {...engineDefaults, ...options};
	const faults: Partial<EngineFaults> = {};
	const random = createRandom(settings.seed);
	const log = createRequestLog();
	const answers = createEngineAnswers({settings, log, slowFactor: () => faults.slowFactor ?? 1});
	const {batch} = answers;
	const loads = createLoadHistory(load, performance.now());
	const orders = createOrderBook(settings.fences);
	const app = new Hono<StandinContext>();
	let requestCount = 0;
	let timer: NodeJS.Timeout | undefined;

	function load() {
		return {startId: batch.startId, running: batch.running, cold: batch.cold};
	}

	function tick() {
		answers.tick();
		loads.record(performance.now());
	}

	function answerFaults(id: string, streams: boolean): AnswerFaults {
		return {
			...noAnswerFaults,
			crossedWith: takeOne(faults, 'crossAnswers') ? answers.otherId(id) : '',
			duplicate: takeOne(faults, 'duplicateAnswers'),
			truncate: takeOne(faults, 'truncate'),
			cutAt: streams ? cutOffset() : Number.POSITIVE_INFINITY,
			lateMs: faults.answerLateMs ?? 0,
		};
	}

	function cutOffset(): number {
		if (faults.cutStreamAt === undefined) {
			return Number.POSITIVE_INFINITY;
		}

		const offset = faults.cutStreamAt;
		faults.cutStreams = (faults.cutStreams ?? 1) - 1;
		if (faults.cutStreams <= 0) {
			delete faults.cutStreamAt;
			delete faults.cutStreams;
		}

		return offset;
	}

	function outputTokens(body: CompletionBody): number {
		const {leastOutputTokens, mostOutputTokens, seed} = settings;
		const draw = createRandom(seed + seedOf(JSON.stringify(body.messages ?? '')))();
		const drawn = leastOutputTokens + Math.floor(draw * (mostOutputTokens - leastOutputTokens + 1));
		return Math.max(1, Math.min(body.standin_output_tokens ?? drawn, body.max_tokens ?? Number.POSITIVE_INFINITY));
	}

	function requestOf(body: CompletionBody, id: string, prefix: string): AnswerRequest {
		const promptText = JSON.stringify(body.messages ?? '');
		return {
			id,
			model: body.model ?? 'standin',
			outputTokens: outputTokens(body),
			promptTokens: body.standin_prompt_tokens ?? Math.ceil(promptText.length / charactersPerToken),
			prefix,
			streams: body.stream === true,
			faults: answerFaults(id, body.stream === true),
		};
	}

	addOutage(app, faults);
	app.post('/v1/chat/completions', async ctx => {
		const body = await ctx.req.json<CompletionBody>();
		requestCount++;
		const id = ctx.req.header('x-request-id') ?? `${settings.id}-${requestCount}`;
		const key = ctx.req.header('idempotency-key');
		if (key !== undefined) {
			log.ran(key);
		}

		answers.admit(requestOf(body, id, ctx.req.header('x-prefix-hash') ?? ''), ctx.env.outgoing);
		return RESPONSE_ALREADY_SENT;
	});
	app.get('/v1/streams/:id', ctx => {
		const offset = Number(ctx.req.query('offset') ?? 0);
		return answers.resume(ctx.req.param('id'), offset, ctx.env.outgoing)
			? RESPONSE_ALREADY_SENT
			: ctx.json({error: 'stream not kept'}, 404);
	});
	app.delete('/v1/streams/:id', ctx =>
		answers.cancel(ctx.req.param('id')) ? ctx.json({}) : ctx.json({error: 'stream not kept'}, 404));
	app.get('/load', ctx => ctx.json(loads.report(faults.loadLagMs ?? settings.loadLagMs, performance.now())));
	app.get('/cache-events', ctx => {
		const until = performance.now() - settings.cacheEventLagMs;
		const events = batch.prefixes.eventsSince(Number(ctx.req.query('since') ?? 0))
			.filter(event => event.at <= until && random() >= settings.cacheEventGap);
		return ctx.json(events.map(({sequence, prefix, kind}) => ({sequence, prefix, kind})));
	});
	app.post('/orders', async ctx => {
		const result = orders.take(await ctx.req.json<Order>());
		return ctx.json(result, result.obeyed ? 200 : 409);
	});
	app.get('/standin/stats', ctx => ctx.json({
		...log.stats(ctx.req.query('lists') !== 'false'), ...load(), coldOverruns: batch.coldOverruns, orders: orders.taken(),
	}));

	const server = createStandinServer({host: settings.host, port: settings.port, app});
	const control = controlTargetFaults({
		app,
		faults,
		restart() {
			batch.restart();
			server.breakConnections();
		},
		refuseConnections(ms) {
			server.refuseConnections(ms);
		},
	});
	return {
		async start() {
			timer = setInterval(tick, settings.tickMs);
			return server.start();
		},
		async stop() {
			clearInterval(timer);
			await server.stop();
		},
		...control,
	};
}
