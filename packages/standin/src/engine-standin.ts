/*
Stand-in of a model engine: OpenAI-style completions with continuous batching, resumable streams, load reports and cache
events with a lag, orders with fencing, and faults.
*/
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono} from 'hono';
import {noAnswerFaults, type AnswerFaults} from './answer-stream.ts';
import {createEngineAnswers, type AnswerRequest} from './engine-answers.ts';
import {defaultEngineSettings, type EngineFaults, type EngineSettings} from './engine-settings.ts';
import {createLoadHistory} from './load-history.ts';
import {createOrderBook, type Order} from './order-book.ts';
import {createRandom, hashToSeed} from './random.ts';
import {createRequestLog} from './request-log.ts';
import {
	createStandinServer, type Standin, type StandinEnvironment,
} from './standin-server.ts';
import {
	addOutageMiddleware, createFaultControl, tryConsumeFault, type FaultControl,
} from './target-faults.ts';

export type EngineStandin = Standin & FaultControl<EngineFaults>;

/** Body of a completion request; the `standin_` fields set token counts that a real engine determines itself. */
type CompletionBody = {
	model?: string;
	stream?: boolean;
	max_tokens?: number;
	messages?: unknown;
	standin_output_tokens?: number;
	standin_prompt_tokens?: number;
};

/** Estimated length of a prompt token. */
const charactersPerToken = 4;

/** Creates an engine; it listens after `start`. */
export function createEngineStandin(options: Partial<EngineSettings> = {}): EngineStandin {
	const settings = {...defaultEngineSettings, ...options};
	const faults: Partial<EngineFaults> = {};
	const random = createRandom(settings.seed);
	const log = createRequestLog();
	const answers = createEngineAnswers({settings, log, slowFactor: () => faults.slowFactor ?? 1});
	const {batch} = answers;
	const loadHistory = createLoadHistory(getLoad, performance.now());
	const orderBook = createOrderBook(settings.fences);
	const app = new Hono<StandinEnvironment>();
	let requestCount = 0;
	let timer: NodeJS.Timeout | undefined;

	function getLoad() {
		return {startId: batch.startId, running: batch.running, cold: batch.cold};
	}

	function tick() {
		answers.tick();
		loadHistory.record(performance.now());
	}

	/** Faults of the next answer; decrements the counted ones. */
	function consumeAnswerFaults(id: string, isStreaming: boolean): AnswerFaults {
		return {
			...noAnswerFaults,
			crossedWith: tryConsumeFault(faults, 'crossAnswers') ? answers.getOtherId(id) : '',
			duplicate: tryConsumeFault(faults, 'duplicateAnswers'),
			truncate: tryConsumeFault(faults, 'truncate'),
			cutAt: isStreaming ? consumeCutOffset() : Number.POSITIVE_INFINITY,
			lateMs: faults.answerLateMs ?? 0,
		};
	}

	function consumeCutOffset(): number {
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

	/** Output length of a request; when it isn't set, the seed and the messages determine it. `max_tokens` is its upper bound. */
	function computeOutputTokens(body: CompletionBody): number {
		const {leastOutputTokens, mostOutputTokens, seed} = settings;
		const draw = createRandom(seed + hashToSeed(JSON.stringify(body.messages ?? '')))();
		const drawn = leastOutputTokens + Math.floor(draw * (mostOutputTokens - leastOutputTokens + 1));
		return Math.max(1, Math.min(body.standin_output_tokens ?? drawn, body.max_tokens ?? Number.POSITIVE_INFINITY));
	}

	function createAnswerRequest(body: CompletionBody, id: string, prefix: string): AnswerRequest {
		const promptText = JSON.stringify(body.messages ?? '');
		return {
			id,
			model: body.model ?? 'standin',
			outputTokens: computeOutputTokens(body),
			promptTokens: body.standin_prompt_tokens ?? Math.ceil(promptText.length / charactersPerToken),
			prefix,
			isStreaming: body.stream === true,
			faults: consumeAnswerFaults(id, body.stream === true),
		};
	}

	addOutageMiddleware(app, faults);
	app.post('/v1/chat/completions', async ctx => {
		const body = await ctx.req.json<CompletionBody>();
		requestCount++;
		const id = ctx.req.header('x-request-id') ?? `${settings.id}-${requestCount}`;
		const key = ctx.req.header('idempotency-key');
		if (key !== undefined) {
			log.recordRun(key);
		}

		answers.admit(createAnswerRequest(body, id, ctx.req.header('x-prefix-hash') ?? ''), ctx.env.outgoing);
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
	app.get('/load', ctx => ctx.json(loadHistory.getReport(faults.loadLagMs ?? settings.loadLagMs, performance.now())));
	app.get('/cache-events', ctx => {
		const until = performance.now() - settings.cacheEventLagMs;
		const events = batch.prefixCache.getEventsSince(Number(ctx.req.query('since') ?? 0))
			.filter(event => event.at <= until && random() >= settings.cacheEventGap);
		return ctx.json(events.map(({sequence, prefix, kind}) => ({sequence, prefix, kind})));
	});
	app.post('/orders', async ctx => {
		const result = orderBook.apply(await ctx.req.json<Order>());
		return ctx.json(result, result.obeyed ? 200 : 409);
	});
	app.get('/standin/stats', ctx => ctx.json({
		...log.getStats(ctx.req.query('lists') !== 'false'), ...getLoad(), coldOverruns: batch.coldOverruns, orders: orderBook.getOrders(),
	}));

	const server = createStandinServer({host: settings.host, port: settings.port, app});
	const faultControl = createFaultControl({
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
		...faultControl,
	};
}
