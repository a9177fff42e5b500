/*
The callers' listener: addresses, chat completions and application calls.
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
import {refusalBody, refusalHeaders, type Exchange} from '../exchange.ts';
import {readBody} from './body.ts';
import {readChat} from './chat-request.ts';
import {createWorkspaceKeys} from './keys.ts';

type CallerContext = Context<{Bindings: HttpBindings}>;

export type CallerAppOptions = {
	world: World;
	now: () => number;
	bodyBytes: number;
	defaultDeadlineMs: number;
	maxDeadlineMs: number;
	/** Opens an exchange and hands its request to the core. */
	open: (exchange: Exchange, request: CallerRequest) => void;
	onRefused: (refusal: Refusal) => void;
	/** A fault of the router itself; its caller is told no more than that. */
	onFault: (error: Error) => void;
};

type Call = {
	kind: TargetKind;
	pool: string;
	path: string;
	wantsStream: boolean;
	inputTokens: number;
	costHint: number;
	prefixHash: number;
};

const notRun = (kind: RefusalKind, detail = ''): Refusal => ({kind, outcome: Outcome.NotRun, detail});

/** Creates the app. */
export function createCallerApp(options: CallerAppOptions) {
	const {world} = options;
	const workspaceKeys = createWorkspaceKeys();
	let requests = 0;

	function refuse(context: CallerContext, refusal: Refusal) {
		options.onRefused(refusal);
		return context.body(JSON.stringify(refusalBody(refusal)), refusals[refusal.kind].status as 400, refusalHeaders(refusal));
	}

	function deadlineOf(context: CallerContext): number | undefined {
		const header = context.req.header('x-deadline-ms');
		if (header === undefined) {
			return options.now() + options.defaultDeadlineMs;
		}

		const remaining = Number(header);
		return Number.isFinite(remaining) ? options.now() + Math.min(remaining, options.maxDeadlineMs) : undefined;
	}

	function openCall(context: CallerContext, workspace: Workspace, call: Call, body: string | undefined) {
		const deadline = deadlineOf(context);
		if (deadline === undefined) {
			return refuse(context, notRun(RefusalKind.MalformedBody, 'x-deadline-ms is not a number'));
		}

		requests += 1;
		const request: CallerRequest = {
			id: `${world.self.id}/${world.self.incarnation}-${requests.toString(36)}`,
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

	async function withCaller(context: CallerContext, run: (workspace: Workspace) => Response | Promise<Response>) {
		if (!isAcceptingRequests(world)) {
			return refuse(context, createStoppingRefusal());
		}

		if (world.configuration.revision === 0) {
			return refuse(context, {...notRun(RefusalKind.NotReady), retryAfterMs: 1000});
		}

		const workspace = workspaceKeys.workspaceOf(world.configuration, context.req.header('authorization'));
		return workspace ? run(workspace) : refuse(context, notRun(RefusalKind.UnknownWorkspace));
	}

	async function withBody(context: CallerContext, run: (body: string) => Response) {
		let body: string | undefined;
		try {
			body = await readBody(context.env.incoming, options.bodyBytes);
		} catch {
			return refuse(context, notRun(RefusalKind.MalformedBody, 'the body broke off'));
		}

		if (body === undefined) {
			// What follows of the body isn't read, so the connection can't be used again.
			context.header('connection', 'close');
			return refuse(context, notRun(RefusalKind.BodyTooLarge, String(options.bodyBytes)));
		}

		return run(body);
	}

	const app = new Hono<{Bindings: HttpBindings}>();
	app.get('/v1/address', async context => withCaller(context, workspace => {
		const named = context.req.query('workspace');
		if (named !== undefined && named !== workspace.id) {
			return refuse(context, notRun(RefusalKind.UnknownWorkspace));
		}

		return context.json({
			addresses: getAddresses(world, context.req.query('failureDomain')),
			ttlMs: world.limits.addressTtlMs,
		});
	}));
	app.post('/v1/chat/completions', async context => withCaller(context, async workspace => withBody(context, body => {
		const result = readChat(body);
		if (result.kind === 'malformed') {
			return refuse(context, notRun(RefusalKind.MalformedBody, result.detail));
		}

		return openCall(context, workspace, {...result.chat, kind: TargetKind.Engine, path: '/v1/chat/completions'}, body);
	})));
	app.all('/v1/services/:pool/*', async context => withCaller(context, async workspace => withBody(context, body => {
		const pool = context.req.param('pool');
		const {pathname, search} = new URL(context.req.url);
		const path = pathname.slice(`/v1/services/${pool}`.length) + search;
		return openCall(context, workspace, {
			kind: TargetKind.Service, pool, path, wantsStream: false, inputTokens: 1, costHint: 0, prefixHash: 0,
		}, body);
	})));
	app.get('/healthz', context => context.text('ok'));
	app.get('/readyz', context => world.configuration.revision > 0 && isAcceptingRequests(world)
		? context.text('ready')
		: context.text('not ready', 503));
	app.notFound(context => context.json({error: {kind: 'not-found', message: `no such path: ${context.req.path}`, outcome: Outcome.NotRun}}, 404));
	app.onError((error, context) => {
		options.onFault(error);
		return context.json({error: {kind: 'internal', message: 'a fault of the router', outcome: Outcome.Unknown}}, 500);
	});
	return app;
}

function createExchange(context: CallerContext, request: CallerRequest, call: Call, body: string | undefined): Exchange {
	const {incoming, outgoing} = context.env;
	const hasBody = incoming.method !== 'GET' && incoming.method !== 'HEAD';
	return {
		request: request.id,
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
		abort: new AbortController(),
		isAborted: false,
		offset: 0,
		hasFinish: false,
		isFinished: false,
		delivered: false,
		reported: 0,
		attemptStartedAt: 0,
		firstByteAt: 0,
		lastTokenAt: 0,
	};
}
