/*
Client of a router's operators' listener: HTTP with JSON bodies and the operator key as a bearer token. Every fault is
returned as a tagged error. Reads and checks can be repeated safely; a release without a response may have been accepted.
*/
import type {
	ApplyReply, ApplyRequest, CheckReply, DomainReply, ErrorReply, MemberReply, ReleaseReply, StatusReply, TargetReply, WorkspaceReply,
} from '@shallotloom/core/operator-api.ts';
import {isRecord} from '@shallotloom/core/entity-rules.ts';
import type {ReleaseNote} from '@shallotloom/core/release-note.ts';
import {Agent, request} from 'undici';
import {describeChanges} from './describe.ts';
import {createFailure, type CommandError, type Result} from './errors.ts';

export type Client = {
	getStatus(): Promise<Result<StatusReply>>;
	getMembers(): Promise<Result<MemberReply[]>>;
	getDomains(): Promise<Result<DomainReply[]>>;
	getTargets(): Promise<Result<TargetReply[]>>;
	getWorkspaces(): Promise<Result<WorkspaceReply[]>>;
	/** Returns the last `limit` releases, newest first. */
	getReleases(limit: number): Promise<Result<ReleaseReply[]>>;
	checkNote(note: ReleaseNote): Promise<Result<CheckReply>>;
	applyNote(body: ApplyRequest): Promise<Result<ApplyReply>>;
	close(): Promise<void>;
};

export type ClientOptions = {
	/** Base URL of the router's operators' listener. */
	router: string;
	key: string;
	timeoutMs: number;
};

export const defaultClientOptions = {timeoutMs: 10_000};

type BodyShape = 'object' | 'list';

type Call = {
	method: 'GET' | 'POST';
	path: string;
	shape: BodyShape;
	body?: unknown;
	/** Whether the call changes state, so that its outcome is unknown when no response arrives. */
	isWrite?: boolean;
};

export function createClient(options: Pick<ClientOptions, 'router' | 'key'> & Partial<ClientOptions>): Client {
	const {router, key, timeoutMs} = {...defaultClientOptions, ...options};
	const dispatcher = new Agent({connectTimeout: timeoutMs, headersTimeout: timeoutMs, bodyTimeout: timeoutMs});

	async function call<Value>({method, path, shape, body, isWrite}: Call): Promise<Result<Value>> {
		const url = `${router.replace(/\/+$/v, '')}/operator/v1/${path}`;
		try {
			const response = await request(url, {
				method,
				dispatcher,
				headers: {authorization: `Bearer ${key}`, ...(body !== undefined && {'content-type': 'application/json'})},
				...(body !== undefined && {body: JSON.stringify(body)}),
			});
			return parseReply<Value>({
				url, status: response.statusCode, text: await response.body.text(), shape,
			});
		} catch (error) {
			return createFailure(createConnectionError(url, error, isWrite ?? false));
		}
	}

	return {
		getStatus: async () => call({method: 'GET', path: 'status', shape: 'object'}),
		getMembers: async () => call({method: 'GET', path: 'members', shape: 'list'}),
		getDomains: async () => call({method: 'GET', path: 'domains', shape: 'list'}),
		getTargets: async () => call({method: 'GET', path: 'targets', shape: 'list'}),
		getWorkspaces: async () => call({method: 'GET', path: 'workspaces', shape: 'list'}),
		getReleases: async limit => call({method: 'GET', path: `releases?limit=${limit}`, shape: 'list'}),
		checkNote: async note => call({
			method: 'POST', path: 'releases/check', shape: 'object', body: {note},
		}),
		applyNote: async body => call({
			method: 'POST', path: 'releases', shape: 'object', body, isWrite: true,
		}),
		close: async () => dispatcher.close(),
	};
}

type Reply = {
	url: string;
	status: number;
	text: string;
	shape: BodyShape;
};

const minErrorStatus = 400;
const unauthorizedStatuses = new Set([401, 403]);

function parseReply<Value>({url, status, text, shape}: Reply): Result<Value> {
	if (unauthorizedStatuses.has(status)) {
		return createFailure({kind: 'unauthorized', url});
	}

	const body = parseJson(text);
	if (status >= minErrorStatus) {
		return createFailure(createReplyError(url, status, body));
	}

	const hasShape = shape === 'list' ? Array.isArray(body) && body.every(row => isRecord(row)) : isRecord(body);
	// Only the outer shape is checked: client and router are expected to be of the same version, so the fields agree.
	return hasShape ? {kind: 'ok', value: body as Value} : createFailure({kind: 'unexpectedReply', url, status});
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function createReplyError(url: string, status: number, body: unknown): CommandError {
	if (!isErrorReply(body)) {
		return {kind: 'unexpectedReply', url, status};
	}

	const {error} = body;
	if (error.kind === 'superseded') {
		const {revision, audit} = error;
		return {
			kind: 'superseded', revision, audit, changes: audit === undefined ? '' : describeChanges(audit.before, audit.after),
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

/** Codes of errors raised before the request was sent. */
const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT', 'ERR_INVALID_URL', 'UND_ERR_INVALID_ARG']);

function createConnectionError(url: string, error: unknown, isWrite: boolean): CommandError {
	const code = isRecord(error) && typeof error.code === 'string' ? error.code : 'unknown error';
	const reason = errorReasons[code] ?? code;
	if (connectErrorCodes.has(code)) {
		return {kind: 'unreachable', url, reason};
	}

	return {kind: isWrite ? 'unknownOutcome' : 'noAnswer', url, reason};
}

const errorReasons: Partial<Record<string, string>> = {
	ECONNREFUSED: 'connection refused',
	ECONNRESET: 'connection reset',
	UND_ERR_SOCKET: 'connection closed',
	UND_ERR_CONNECT_TIMEOUT: 'timeout',
	UND_ERR_HEADERS_TIMEOUT: 'timeout',
	UND_ERR_BODY_TIMEOUT: 'timeout',
	ERR_INVALID_URL: 'not a URL',
	UND_ERR_INVALID_ARG: 'not a URL',
};
