/*
Schema of a router's settings file. Each option declares its default and has its unit in its name. `docs/SETTINGS.md` is
generated from this schema.
*/
import {Discipline} from '@shallotloom/core/limits.ts';
import {z} from 'zod';
import {
	baseUrl, positiveInteger, entityName, ipAddress, milliseconds, sha256Hex, socketAddress,
} from './fields.ts';
import {loadSettings, type SettingsResult} from './load.ts';
import {describeProblems} from './problems.ts';

export enum LogFormat {
	Json = 'json',
	Text = 'text',
}

export enum LogLevel {
	Error = 'error',
	Warn = 'warn',
	Info = 'info',
	Debug = 'debug',
}

const instance = z.strictObject({
	id: entityName().describe('Name of this instance; unique in the fleet.'),
	failureDomain: entityName().describe('Failure domain that the instance stands in.'),
}).describe('Identity of this router.');

const listen = z.strictObject({
	callers: socketAddress().describe('Address and port for callers.'),
	peers: socketAddress().describe('Address and port for other routers.'),
	operators: socketAddress().describe('Address and port for operators and metrics.'),
}).describe('Where the router listens.');

const advertise = z.strictObject({
	callers: baseUrl().optional().describe('URL that callers are told; from `listen.callers` when absent.'),
	peers: baseUrl().optional().describe('URL that other routers are told; from `listen.peers` when absent.'),
}).prefault({}).describe('Addresses under which others reach this router.');

const platform = z.strictObject({
	url: baseUrl().describe('Base URL of the Object API and the instance list.'),
	callTimeoutMs: milliseconds().default(2000).describe('Time after which a call without an answer counts as unknown.'),
}).describe('The platform\'s services.');

const operator = z.strictObject({
	name: entityName().describe('Name that the audit trail shows.'),
	keyHash: sha256Hex().describe('SHA-256 of the operator\'s key, in hex.'),
});

const lease = z.strictObject({
	durationMs: milliseconds().default(6000).describe('Time that a lease lasts after its renewal was sent.'),
	renewMs: milliseconds().default(2000).describe('Time between renewals; less than half of `durationMs`.'),
}).prefault({}).describe('The lease of this router.');

const control = z.strictObject({
	tickMs: milliseconds().default(50).describe('Time between two runs of the systems.'),
	digestMs: milliseconds().default(250).describe('Time between two digests to peers.'),
	progressMs: milliseconds().default(500).describe('Time between two reports of progress to owners.'),
	loadPollMs: milliseconds().default(500).describe('Time between two load reports of a target.'),
}).prefault({}).describe('Pace of the control between routers.');

const limits = z.strictObject({
	bodyBytes: positiveInteger().default(1_048_576).describe('Largest body of a request.'),
	headerBytes: positiveInteger().default(16_384).describe('Largest header block of a request.'),
	connections: positiveInteger().default(2000).describe('Most connections of callers at once.'),
	headersTimeoutMs: milliseconds().default(10_000).describe('Time for a caller to send its headers.'),
	requestTimeoutMs: milliseconds().default(300_000).describe('Time for a caller to send its whole request.'),
	addressTtlMs: milliseconds().default(5000).describe('Time for which callers may keep an address; a planned stop waits for it. The same on every router.'),
	defaultDeadlineMs: milliseconds().default(60_000).describe('Deadline of a request that names none.'),
	maxDeadlineMs: milliseconds().default(600_000).describe('Latest deadline that a request may name.'),
}).prefault({}).describe('Limits on callers.');

const fairness = z.strictObject({
	exchange: z.boolean().default(true).describe('Whether owners charge what others served; false is a baseline of the bench.'),
	discipline: z.enum(Discipline).default(Discipline.Fair).describe('Rule that picks the next request; all but `fair` are baselines of the bench.'),
}).prefault({}).describe('How capacity is shared.');

const log = z.strictObject({
	format: z.enum(LogFormat).default(LogFormat.Json).describe('JSON lines, or short text for people.'),
	level: z.enum(LogLevel).default(LogLevel.Info).describe('Least severe level that is written.'),
}).prefault({}).describe('The log on standard output.');

const stop = z.strictObject({
	graceMs: milliseconds().default(120_000).describe('Longest time that a planned stop waits for running answers.'),
}).prefault({}).describe('Planned stops.');

/** Schema of a router's settings file. */
export const routerSettingsSchema = z.strictObject({
	router: instance,
	listen,
	advertise,
	bindAddress: ipAddress().optional().describe('Source address of outgoing connections; the system\'s choice when absent.'),
	platform,
	operators: z.array(operator).default([]).describe('Operators who may use the operators\' listener.'),
	lease,
	control,
	limits,
	fairness,
	log,
	stop,
}).superRefine((settings, context) => {
	if (settings.lease.renewMs * 2 >= settings.lease.durationMs) {
		context.addIssue({code: 'custom', path: ['lease', 'renewMs'], message: 'less than half of lease.durationMs'});
	}

	if (settings.limits.defaultDeadlineMs > settings.limits.maxDeadlineMs) {
		context.addIssue({code: 'custom', path: ['limits', 'defaultDeadlineMs'], message: 'at most limits.maxDeadlineMs'});
	}

	if (new Set(settings.operators.map(({name}) => name)).size < settings.operators.length) {
		context.addIssue({code: 'custom', path: ['operators'], message: 'operators with different names'});
	}

	if (new Set(Object.values(settings.listen)).size < Object.keys(settings.listen).length) {
		context.addIssue({code: 'custom', path: ['listen'], message: 'three different addresses'});
	}
}).transform(({advertise: given, ...settings}) => ({
	...settings,
	advertise: {
		callers: given.callers ?? `http://${settings.listen.callers}`,
		peers: given.peers ?? `http://${settings.listen.peers}`,
	},
}));

/** Settings of a router with all defaults applied. */
export type RouterSettings = z.output<typeof routerSettingsSchema>;

/** Loads and validates a router's settings file. */
export async function loadRouterSettings(file: string): Promise<SettingsResult<RouterSettings>> {
	return loadSettings(routerSettingsSchema, file);
}

/** Result of `--check-settings`: text for standard output and exit code of the process. */
export type SettingsCheck = {
	text: string;
	exitCode: 0 | 2;
};

/** Validates a router's settings file without starting the router. */
export async function checkRouterSettings(file: string): Promise<SettingsCheck> {
	const result = await loadRouterSettings(file);
	return result.kind === 'ok'
		? {text: `${file}: settings of router "${result.settings.router.id}" are valid`, exitCode: 0}
		: {text: `${file}: ${result.kind}\n${describeProblems(result.problems)}`, exitCode: 2};
}
