/*
HTTP API for callers: router addresses, chat completions and calls to application services.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import type {HttpBindings} from '@hono/node-server';
import {Hono, type Context} from 'hono';
import {TargetKind, type Workspace} from '@shallotloom/core/configuration.ts';
import type {CallerRequest} from '@shallotloom/core/ports.ts';
import {
	Outcome, RefusalKind, refusals, type Refusal,
} from '@shallotloom/core/refusal.ts';
import {getAddresses} from '@shallotloom/core/systems/requests/addresses.ts';
import {createStoppingRefusal, isAcceptingRequests} from '@shallotloom/core/systems/stop/leaving.ts';
import type {World} from '@shallotloom/core/world.ts';
import {createRefusalBody, createRefusalHeaders, type Exchange} from '../exchange.ts';
import {readBody} from './body.ts';
import {parseChatRequest} from './chat-request.ts';
import {createWorkspaceKeys} from './keys.ts';

type CallerContext = Context<{Bindings: HttpBindings}>;

export type CallerAppOptions = {
	world: World;
	now: () => number;
	bodyBytes: number;
	defaultDeadlineMs: number;
	maxDeadlineMs: number;
	/** Opens an exchange and passes its request to the core. */
	open: (exchange: Exchange, request: CallerRequest) => void;
	onRefused: (refusal: Refusal) => void;
	/** Called with unexpected errors of the router; the caller receives no details of them. */
	onInternalError: (error: Error) => void;
};

type ParsedCall = {
	kind: TargetKind;
	pool: string;
	path: string;
	wantsStream: boolean;
	inputTokens: number;
	costHint: number;
	prefixHash: number;
};

const createNotRunRefusal = (kind: RefusalKind, detail = ''): Refusal => ({kind, outcome: Outcome.NotRun, detail});

export function createCallerApp(options: CallerAppOptions) {
	const {world} = options;
	const workspaceKeys = createWorkspaceKeys();
	let requestCount = 0;

	function refuse(context: CallerContext, refusal: Refusal) {
		options.onRefused(refusal);
		return context.body(JSON.stringify(createRefusalBody(refusal)), refusals[refusal.kind].status as 400, createRefusalHeaders(refusal));
	}

	function parseDeadline(context: CallerContext): number | undefined {
		const header = context.req.header('x-deadline-ms');
		if (header === undefined) {
			return options.now() + options.defaultDeadlineMs;
		}

		const remaining = Number(header);
		return Number.isFinite(remaining) ? options.now() + Math.min(remaining, options.maxDeadlineMs) : undefined;
	}

	function openExchange(context: CallerContext, workspace: Workspace, call: ParsedCall, body: string | undefined) {
		const deadline = parseDeadline(context);
		if (deadline === undefined) {
			return refuse(context, createNotRunRefusal(RefusalKind.MalformedBody, 'x-deadline-ms is not a number'));
		}

		requestCount += 1;
		const request: CallerRequest = {
			id: `${world.self.id}/${world.self.incarnation}-${requestCount.toString(36)}`,
			workspace: workspace.id,
			pool: call.pool,
			inputTokens: call.inputTokens,
			costHint: call.costHint,
			prefixHash: call.prefixHash,
			deadline,
			once: context.req.header('x-once') === 'true',
			idempotencyKey: context.req.header('idempotency-key') ?? '',
		};
		options.open(createExchange(context, request, call, body), request);
		return RESPONSE_ALREADY_SENT;
	}

	async function withWorkspace(context: CallerContext, run: (workspace: Workspace) => Response | Promise<Response>) {
		if (!isAcceptingRequests(world)) {
			return refuse(context, createStoppingRefusal());
		}

		if (world.configuration.revision === 0) {
			return refuse(context, {...createNotRunRefusal(RefusalKind.NotReady), retryAfterMs: 1000});
		}

		const workspace = workspaceKeys.findWorkspace(world.configuration, context.req.header('authorization'));
		return workspace ? run(workspace) : refuse(context, createNotRunRefusal(RefusalKind.UnknownWorkspace));
	}

	async function withBody(context: CallerContext, run: (body: string) => Response) {
		let body: string | undefined;
		try {
			body = await readBody(context.env.incoming, options.bodyBytes);
		} catch {
			return refuse(context, createNotRunRefusal(RefusalKind.MalformedBody, 'the body is truncated'));
		}

		if (body === undefined) {
			// The rest of the body isn't read, so the connection can't be reused.
			context.header('connection', 'close');
			return refuse(context, createNotRunRefusal(RefusalKind.BodyTooLarge, String(options.bodyBytes)));
		}

		return run(body);
	}

	const app = new Hono<{Bindings: HttpBindings}>();
	app.get('/v1/address', async context => withWorkspace(context, workspace => {
		const requestedWorkspace = context.req.query('workspace');
		if (requestedWorkspace !== undefined && requestedWorkspace !== workspace.id) {
			return refuse(context, createNotRunRefusal(RefusalKind.UnknownWorkspace));
		}

		return context.json({
			addresses: getAddresses(world, context.req.query('failureDomain')),
			ttlMs: world.limits.addressTtlMs,
		});
	}));
	app.post('/v1/chat/completions', async context => withWorkspace(context, async workspace => withBody(context, body => {
		const result = parseChatRequest(body);
		if (result.kind === 'malformed') {
			return refuse(context, createNotRunRefusal(RefusalKind.MalformedBody, result.detail));
		}

		return openExchange(context, workspace, {...result.chat, kind: TargetKind.Engine, path: '/v1/chat/completions'}, body);
	})));
	app.all('/v1/services/:pool/*', async context => withWorkspace(context, async workspace => withBody(context, body => {
		const pool = context.req.param('pool');
		const {pathname, search} = new URL(context.req.url);
		const path = pathname.slice(`/v1/services/${pool}`.length) + search;
		return openExchange(context, workspace, {
			kind: TargetKind.Service, pool, path, wantsStream: false, inputTokens: 1, costHint: 0, prefixHash: 0,
		}, body);
	})));
	app.get('/healthz', context => context.text('ok'));
	app.get('/readyz', context => world.configuration.revision > 0 && isAcceptingRequests(world)
		? context.text('ready')
		: context.text('not ready', 503));
	app.notFound(context => context.json({error: {kind: 'not-found', message: `no such path: ${context.req.path}`, outcome: Outcome.NotRun}}, 404));
	app.onError((error, context) => {
		options.onInternalError(error);
		return context.json({error: {kind: 'internal', message: 'internal error of the router', outcome: Outcome.Unknown}}, 500);
	});
	return app;
}

function createExchange(context: CallerContext, request: CallerRequest, call: ParsedCall, body: string | undefined): Exchange {
	const {incoming, outgoing} = context.env;
	const hasBody = incoming.method !== 'GET' && incoming.method !== 'HEAD';
	return {
		requestId: request.id,
		kind: call.kind,
		path: call.path,
		method: incoming.method ?? 'POST',
		body: hasBody ? body : undefined,
		contentType: incoming.headers['content-type'] ?? 'application/json',
		idempotencyKey: request.idempotencyKey,
		prefixHash: request.prefixHash,
		wantsStream: call.wantsStream,
		once: request.once,
		response: outgoing,
		abortController: new AbortController(),
		isAborted: false,
		nextOffset: 0,
		hasFinishReason: false,
		isFinished: false,
		hasDelivered: false,
		reportedTokens: 0,
		attemptStartedAt: 0,
		firstByteAt: 0,
		lastTokenAt: 0,
	};
}
