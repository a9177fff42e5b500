/*
HTTP API for operators: status, releases, health and metrics.
*/
import {Hono, type Context} from 'hono';
import type {InboundOf, ReleaseAnswer} from '@shallotloom/core/ports.ts';
import {AuditAction} from '@shallotloom/core/release.ts';
import type {World} from '@shallotloom/core/world.ts';
import {parseBearerKey, matchesKeyHash} from '../callers/keys.ts';
import {
	createDomainReplies, createMemberReplies, createStatusReply, createTargetReplies, createWorkspaceReplies,
} from './views.ts';

export type Operator = {name: string; keyHash: string};

export type OperatorAppOptions = {
	world: World;
	operators: Operator[];
	/** Passes a note to the core; resolves with the result. */
	propose: (proposed: Omit<InboundOf<'releaseProposed'>, 'kind' | 'proposal'>) => Promise<ReleaseAnswer>;
	checkNote: (note: unknown) => {revision: number; problems: unknown[]};
	listReleases: (limit: number) => Promise<unknown[]>;
	scrapeMetrics: () => Promise<{contentType: string; text: string}>;
	/** Called with unexpected errors of the router; the client receives no details of them. */
	onInternalError: (error: Error) => void;
};

type Environment = {Variables: {operator: string}};

const unauthorized = {error: {kind: 'unauthorized', message: 'the operator key is missing or unknown', hint: 'Send "authorization: Bearer KEY" with a key whose hash is in the settings.'}};

const answerHandlers: {[Kind in ReleaseAnswer['kind']]: (context: Context<Environment>, answer: Extract<ReleaseAnswer, {kind: Kind}>) => Response} = {
	accepted: (context, {revision}) => context.json({revision}),
	superseded: (context, {revision, audit}) => context.json({
		error: {
			kind: 'superseded', message: `the release was superseded by revision ${revision}`, hint: 'Review that revision and apply the note again.', revision, audit,
		},
	}, 409),
	invalid: (context, {problems}) => context.json({
		error: {
			kind: 'invalid', message: 'the note can\'t be applied', hint: 'Correct the listed problems.', problems,
		},
	}, 422),
	unavailable: context => context.json({
		error: {
			kind: 'unavailable',
			message: 'the Object API can\'t be reached; the release is not confirmed',
			hint: 'Check the release history when the Object API is available again, before you send the note again.',
		},
	}, 503),
	unknown: (context, {revision}) => context.json({
		error: {
			kind: 'unknown-outcome',
			message: `the Object API did not answer; the note may have become revision ${revision}`,
			hint: 'Check `shallotloom release history` before you send the note again.',
		},
	}, 504),
};

type ReleaseBody = {note?: unknown; action?: unknown; reason?: unknown; ifRevision?: unknown};

async function parseReleaseBody(context: Context<Environment>): Promise<ReleaseBody | undefined> {
	try {
		const body: unknown = await context.req.json();
		return typeof body === 'object' && body !== null && 'note' in body ? body : undefined;
	} catch {
		return undefined;
	}
}

const auditActions = Object.values(AuditAction);

const malformedBody = {error: {kind: 'malformed', message: 'the body is not a JSON object with a note', hint: 'Send {"note": …, "reason": "…"}.'}};

export function createOperatorApp(options: OperatorAppOptions) {
	const {world} = options;
	const app = new Hono<Environment>();
	app.get('/healthz', context => context.text('ok'));
	app.get('/readyz', context => world.configuration.revision > 0 ? context.text('ready') : context.text('not ready', 503));
	app.get('/metrics', async context => {
		const {contentType, text} = await options.scrapeMetrics();
		return context.body(text, 200, {'content-type': contentType});
	});
	app.use('/operator/v1/*', async (context, next) => {
		const key = parseBearerKey(context.req.header('authorization'));
		const operator = key === undefined ? undefined : options.operators.find(({keyHash}) => matchesKeyHash(key, keyHash));
		if (!operator) {
			return context.json(unauthorized, 401);
		}

		context.set('operator', operator.name);
		await next();
		return undefined;
	});
	app.get('/operator/v1/status', context => context.json(createStatusReply(world)));
	app.get('/operator/v1/members', context => context.json(createMemberReplies(world)));
	app.get('/operator/v1/domains', context => context.json(createDomainReplies(world)));
	app.get('/operator/v1/targets', context => context.json(createTargetReplies(world)));
	app.get('/operator/v1/workspaces', context => context.json(createWorkspaceReplies(world)));
	app.get('/operator/v1/releases', async context => {
		const limit = Number(context.req.query('limit') ?? 20);
		return context.json(await options.listReleases(Number.isInteger(limit) && limit > 0 ? Math.min(limit, 1000) : 20));
	});
	app.post('/operator/v1/releases/check', async context => {
		const body = await parseReleaseBody(context);
		return body ? context.json(options.checkNote(body.note)) : context.json(malformedBody, 400);
	});
	app.post('/operator/v1/releases', async context => {
		const body = await parseReleaseBody(context);
		if (!body) {
			return context.json(malformedBody, 400);
		}

		const answer = await options.propose({
			note: body.note,
			operator: context.get('operator'),
			action: auditActions.find(action => action === body.action) ?? AuditAction.ReleaseApply,
			reason: typeof body.reason === 'string' ? body.reason : '',
			at: new Date().toISOString(),
			...(typeof body.ifRevision === 'number' && {ifRevision: body.ifRevision}),
		});
		const handler = answerHandlers[answer.kind] as (context: Context<Environment>, answer: ReleaseAnswer) => Response;
		return handler(context, answer);
	});
	app.notFound(context => context.json({error: {kind: 'not-found', message: `no such path: ${context.req.path}`, hint: 'See docs/OPERATORS-API.md.'}}, 404));
	app.onError((error, context) => {
		options.onInternalError(error);
		return context.json({error: {kind: 'internal', message: 'internal error of the router; see its log', hint: 'Use another router.'}}, 500);
	});
	return app;
}
