/*
Client of a router's operators listener: HTTP with JSON bodies and the operator's key as a bearer token. Every fault comes
back as a tagged error. A question may be asked again; a release that got no answer may have been accepted.
*/
import type {
	ApplyReply, ApplyRequest, CheckReply, DomainReply, ErrorReply, MemberReply, ReleaseReply, StatusReply, TargetReply, WorkspaceReply,
} from '@shallotloom/core/operator-api.ts';
import {isRecord} from '@shallotloom/core/entity-rules.ts';
import type {ReleaseNote} from '@shallotloom/core/release-note.ts';
import {Agent, request} from 'undici';
import {describePart} from './describe.ts';
import {failed, type CommandError, type Result} from './errors.ts';

export type Client = {
	status(): Promise<Result<StatusReply>>;
	members(): Promise<Result<MemberReply[]>>;
	domains(): Promise<Result<DomainReply[]>>;
	targets(): Promise<Result<TargetReply[]>>;
	workspaces(): Promise<Result<WorkspaceReply[]>>;
	/** Newest first. */
	releases(limit: number): Promise<Result<ReleaseReply[]>>;
	check(note: ReleaseNote): Promise<Result<CheckReply>>;
	apply(body: ApplyRequest): Promise<Result<ApplyReply>>;
	close(): Promise<void>;
};

export type ClientOptions = {
	/** Base URL of the operators listener. */
	router: string;
	key: string;
	timeoutMs: number;
};

export const clientDefaults = {timeoutMs: 10_000};

type Shape = 'object' | 'list';

type Call = {
	method: 'GET' | 'POST';
	path: string;
	shape: Shape;
	body?: unknown;
	/** Whether a lost answer leaves open what happened. */
	changes?: boolean;
};

/** Creates a client of one router. */
export function createClient(options: Pick<ClientOptions, 'router' | 'key'> & Partial<ClientOptions>): Client {
	const {router, key, timeoutMs} = {...clientDefaults, ...options};
	const dispatcher = new Agent({connectTimeout: timeoutMs, headersTimeout: timeoutMs, bodyTimeout: timeoutMs});

	async function call<Value>({method, path, shape, body, changes}: Call): Promise<Result<Value>> {
		const url = `${router.replace(/\/+$/v, '')}/operator/v1/${path}`;
		try {
			const response = await request(url, {
				method,
				dispatcher,
				headers: {authorization: `Bearer ${key}`, ...(body !== undefined && {'content-type': 'application/json'})},
				...(body !== undefined && {body: JSON.stringify(body)}),
			});
			return readReply<Value>({
				url, status: response.statusCode, text: await response.body.text(), shape,
			});
		} catch (error) {
			return failed(connectionError(url, error, changes ?? false));
		}
	}

	return {
		status: async () => call({method: 'GET', path: 'status', shape: 'object'}),
		members: async () => call({method: 'GET', path: 'members', shape: 'list'}),
		domains: async () => call({method: 'GET', path: 'domains', shape: 'list'}),
		targets: async () => call({method: 'GET', path: 'targets', shape: 'list'}),
		workspaces: async () => call({method: 'GET', path: 'workspaces', shape: 'list'}),
		releases: async limit => call({method: 'GET', path: `releases?limit=${limit}`, shape: 'list'}),
		check: async note => call({
			method: 'POST', path: 'releases/check', shape: 'object', body: {note},
		}),
		apply: async body => call({
			method: 'POST', path: 'releases', shape: 'object', body, changes: true,
		}),
		close: async () => dispatcher.close(),
	};
}

type Reply = {
	url: string;
	status: number;
	text: string;
	shape: Shape;
};

const firstErrorStatus = 400;
const unauthorizedStatuses = new Set([401, 403]);

function readReply<Value>({url, status, text, shape}: Reply): Result<Value> {
	if (unauthorizedStatuses.has(status)) {
		return failed({kind: 'unauthorized', url});
	}

	const body = parsed(text);
	if (status >= firstErrorStatus) {
		return failed(replyError(url, status, body));
	}

	const fits = shape === 'list' ? Array.isArray(body) && body.every(row => isRecord(row)) : isRecord(body);
	// Fields are those of the same release of the router; only the outer shape is checked.
	return fits ? {kind: 'ok', value: body as Value} : failed({kind: 'unexpectedReply', url, status});
}

function parsed(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function replyError(url: string, status: number, body: unknown): CommandError {
	if (!isErrorReply(body)) {
		return {kind: 'unexpectedReply', url, status};
	}

	const {error} = body;
	if (error.kind === 'superseded') {
		const {revision, audit} = error;
		return {
			kind: 'superseded', revision, audit, changes: audit === undefined ? '' : describePart(audit.before, audit.after),
		};
	}

	return error.kind === 'invalid'
		? {kind: 'invalidNote', problems: error.problems}
		: {kind: 'refused', message: error.message, hint: typeof error.hint === 'string' ? error.hint : ''};
}

function isErrorReply(body: unknown): body is ErrorReply {
	if (!isRecord(body) || !isRecord(body.error)) {
		return false;
	}

	const {kind, message, problems, audit} = body.error;
	const complete = (kind !== 'invalid' || Array.isArray(problems)) && (audit === undefined || isRecord(audit));
	return typeof kind === 'string' && (typeof message === 'string' || kind === 'invalid') && complete;
}

/** Errors before the request was sent. */
const connectCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT', 'ERR_INVALID_URL', 'UND_ERR_INVALID_ARG']);

function connectionError(url: string, error: unknown, changes: boolean): CommandError {
	const code = isRecord(error) && typeof error.code === 'string' ? error.code : 'unknown error';
	const reason = connectReasons[code] ?? code;
	if (connectCodes.has(code)) {
		return {kind: 'unreachable', url, reason};
	}

	return {kind: changes ? 'unknownOutcome' : 'noAnswer', url, reason};
}

const connectReasons: Partial<Record<string, string>> = {
	ECONNREFUSED: 'connection refused',
	ECONNRESET: 'connection reset',
	UND_ERR_SOCKET: 'connection closed',
	UND_ERR_CONNECT_TIMEOUT: 'timeout',
	UND_ERR_HEADERS_TIMEOUT: 'timeout',
	UND_ERR_BODY_TIMEOUT: 'timeout',
	ERR_INVALID_URL: 'not a URL',
	UND_ERR_INVALID_ARG: 'not a URL',
};
