/*
Stand-in of the platform: Object API, instance list and weight store, with rate limits and faults.
docs/design/object-api.md describes the protocol.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {Buffer} from 'node:buffer';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono, type Context} from 'hono';
import {createCallCounter, createRateLimiter} from './call-rate.ts';
import {createObjectTable, type WriteCondition, type WriteResult} from './object-table.ts';
import {createRandom} from './random.ts';
import {
	addFaultRoutes, breakConnection, clearFaults, createStandinServer, decodePathRemainder, type Standin, type StandinEnvironment,
} from './standin-server.ts';
import {createWatchers} from './watchers.ts';
import {createWeightStore} from './weight-store.ts';

export type PlatformFaults = {
	/** Every call is refused with 503, and waiting watches end with it. */
	down: boolean;
	/** Delay of every call before it takes effect. */
	slowMs: number;
	/**
	Writes that take effect but whose connection breaks in place of an answer: a number of next writes or, below 1, a
	fraction of all writes.
	*/
	loseAnswers: number;
	/** Age that a change must have before a watch sees it. */
	watchLagMs: number;
	/** Fraction of long polls whose connection breaks in place of an answer. */
	watchDropFraction: number;
	/** Age of the instance list that is served. */
	instanceListLagMs: number;
};

export type StandinInstance = {id: string; state: 'live' | 'leaving'};

export type PlatformStandin = Standin & {
	setFaults(faults: Partial<PlatformFaults>): void;
	clearFaults(): void;
	setInstances(instances: StandinInstance[]): void;
};

export type PlatformStandinOptions = Partial<typeof defaultPlatformStandinOptions>;

export const defaultPlatformStandinOptions = {
	host: '127.0.0.1',
	port: 0,
	seed: 1,
	writesPerSecond: 400,
	readsPerSecond: 2000,
	/** Minimum number of changes that are retained for watches. */
	historyLimit: 10_000,
	/** Maximum size of an object's value, in bytes. */
	valueLimit: 1024 * 1024,
	instanceListLagMs: 0,
	/** Rate of the weight store over all downloads, in bytes per second. */
	weightBytesPerSecond: 64 * 1024 * 1024,
	/** Size of each weight file, in bytes. */
	weightBytes: 16 * 1024 * 1024,
};

/** Maximum number of objects in one list. */
const maxPageSize = 1000;
const maxWatchMs = 60_000;

/** Creates a platform; it listens after `start`. */
export function createPlatformStandin(options: PlatformStandinOptions = {}): PlatformStandin {
	const settings = {...defaultPlatformStandinOptions, ...options};
	const now = () => performance.now();
	const random = createRandom(settings.seed);
	const faults: Partial<PlatformFaults> = {};
	const calls = createCallCounter(now);
	const rateLimiters = {
		reads: createRateLimiter(settings.readsPerSecond, now),
		writes: createRateLimiter(settings.writesPerSecond, now),
	};
	const failureCounts = {refusedByRate: 0, refusedByOutage: 0, answersLost: 0};
	const table = createObjectTable({
		historyLimit: settings.historyLimit, now, onChange() {
			watchers.notifyChange();
		},
	});
	const watchers = createWatchers({table, now, lagMs: () => faults.watchLagMs ?? 0});
	const weightStore = createWeightStore(settings);
	const instanceLists: Array<{at: number; instances: StandinInstance[]}> = [];
	const app = new Hono<StandinEnvironment>();

	/** Counts and delays a call; returns the answer if the call is refused because of an outage or its rate, without effect. */
	async function admit(ctx: Context<StandinEnvironment>, kind: 'reads' | 'writes'): Promise<Response | undefined> {
		calls.increment(kind);
		if (faults.slowMs) {
			await sleep(faults.slowMs, undefined, {ref: false});
		}

		if (faults.down) {
			failureCounts.refusedByOutage++;
			return ctx.json({error: 'outage'}, 503);
		}

		if (!rateLimiters[kind].tryAcquire()) {
			failureCounts.refusedByRate++;
			return ctx.json({error: 'rate'}, 429);
		}

		return undefined;
	}

	/** Whether the answer of this write is lost; decrements `loseAnswers` when it is a number of writes. */
	function shouldLoseAnswer(): boolean {
		const {loseAnswers = 0} = faults;
		if (loseAnswers >= 1) {
			faults.loseAnswers = loseAnswers - 1;
			return true;
		}

		return loseAnswers > 0 && random() < loseAnswers;
	}

	function loseAnswer(ctx: Context<StandinEnvironment>): Response {
		failureCounts.answersLost++;
		breakConnection(ctx.env.outgoing);
		return RESPONSE_ALREADY_SENT;
	}

	function answerWrite(ctx: Context<StandinEnvironment>, result: WriteResult): Response {
		if (result.kind === 'conflict') {
			return ctx.json({error: 'version'}, 412);
		}

		if (result.kind === 'absent') {
			return ctx.json({error: 'absent'}, 404);
		}

		return shouldLoseAnswer() ? loseAnswer(ctx) : ctx.json({version: result.version});
	}

	/** The instance list as it was `instanceListLagMs` ago. */
	function getLaggedInstances(): StandinInstance[] {
		const until = now() - (faults.instanceListLagMs ?? settings.instanceListLagMs);
		return instanceLists.findLast(list => list.at <= until)?.instances ?? [];
	}

	function setInstances(list: StandinInstance[]) {
		instanceLists.push({at: now(), instances: list});
	}

	function onFaultsSet(set: Partial<PlatformFaults>) {
		if (set.down) {
			watchers.refuseAll();
		}
	}

	app.get('/objects', async ctx => {
		const limit = Math.min(Number(ctx.req.query('limit') ?? maxPageSize), maxPageSize);
		return await admit(ctx, 'reads') ?? ctx.json({
			revision: table.revision,
			objects: table.list(ctx.req.query('prefix') ?? '', ctx.req.query('after') ?? '', limit),
		});
	});
	app.get('/objects/*', async ctx => {
		const refusal = await admit(ctx, 'reads');
		const object = table.get(decodePathRemainder(ctx.req.url));
		return refusal ?? (object ? ctx.json(object) : ctx.json({error: 'absent'}, 404));
	});
	app.put('/objects/*', async ctx => {
		const value = await ctx.req.text();
		const refusal = await admit(ctx, 'writes');
		if (refusal) {
			return refusal;
		}

		if (Buffer.byteLength(value) > settings.valueLimit) {
			return ctx.json({error: 'value too large'}, 413);
		}

		return answerWrite(ctx, table.put(decodePathRemainder(ctx.req.url), value, parseWriteCondition(ctx)));
	});
	app.delete('/objects/*', async ctx =>
		await admit(ctx, 'writes') ?? answerWrite(ctx, table.delete(decodePathRemainder(ctx.req.url), parseWriteCondition(ctx))));
	app.get('/watch', async ctx => {
		const refusal = await admit(ctx, 'reads');
		if (refusal) {
			return refusal;
		}

		const prefixes = ctx.req.queries('prefix') ?? [''];
		const since = Number(ctx.req.query('since') ?? 0);
		const timeoutMs = Math.min(Number(ctx.req.query('timeoutMs') ?? maxWatchMs), maxWatchMs);
		const reply = await watchers.wait({prefixes, since, timeoutMs});
		if (reply.kind !== 'changes') {
			return ctx.json({error: reply.kind}, reply.kind === 'expired' ? 410 : 503);
		}

		return random() < (faults.watchDropFraction ?? 0)
			? loseAnswer(ctx)
			: ctx.json({revision: reply.revision, events: reply.events});
	});
	app.get('/instances', async ctx => await admit(ctx, 'reads') ?? ctx.json(getLaggedInstances()));
	app.get('/weights/*', async ctx => {
		const refusal = await admit(ctx, 'reads');
		if (refusal) {
			return refusal;
		}

		weightStore.download(ctx.env.outgoing);
		return RESPONSE_ALREADY_SENT;
	});
	app.put('/standin/instances', async ctx => {
		setInstances(await ctx.req.json<StandinInstance[]>());
		return ctx.json({});
	});
	app.get('/standin/stats', ctx => ctx.json({
		calls: calls.getTotals(), seconds: calls.getSeconds(), ...failureCounts, revision: table.revision, weightBytes: weightStore.getSentBytes(),
	}));
	addFaultRoutes(app, faults, onFaultsSet);

	const server = createStandinServer({host: settings.host, port: settings.port, app});
	return {
		start: async () => server.start(),
		async stop() {
			watchers.refuseAll();
			weightStore.stop();
			await server.stop();
		},
		setFaults(set) {
			Object.assign(faults, set);
			onFaultsSet(set);
		},
		clearFaults() {
			clearFaults(faults);
		},
		setInstances,
	};
}

function parseWriteCondition(ctx: Context<StandinEnvironment>): WriteCondition {
	const ifVersion = ctx.req.header('if-match');
	return {
		...(ifVersion !== undefined && {ifVersion: Number(ifVersion)}),
		ifAbsent: ctx.req.header('if-none-match') === '*',
	};
}
