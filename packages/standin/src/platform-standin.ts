/*
Stand-in of the platform: Object API, instance list and weight store, with rates and faults.
docs/design/object-api.md describes the protocol.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {Buffer} from 'node:buffer';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono, type Context} from 'hono';
import {createCallCounter, createRateLimit} from './call-rate.ts';
import {createObjectTable, type WriteCondition, type WriteResult} from './object-table.ts';
import {createRandom} from './random.ts';
import {
	addFaultRoutes, breakConnection, clearFaults, createStandinServer, restOfPath, type Standin, type StandinContext as StandinEnvironment,
} from './standin-server.ts';
import {createWatchers} from './watchers.ts';
import {createWeightStore} from './weight-store.ts';

export type PlatformFaults = {
	/** Every call is refused with 503. */
	down: boolean;
	/** Time added to every call before it takes effect. */
	slowMs: number;
	/** Writes that take effect but whose connection breaks: a fraction below 1, or the number of the next writes. */
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

export type PlatformStandinOptions = Partial<typeof platformStandinDefaults>;

export const platformStandinDefaults = {
	host: '127.0.0.1',
	port: 0,
	seed: 1,
	writesPerSecond: 400,
	readsPerSecond: 2000,
	historyLimit: 10_000,
	/** Largest value of an object, in bytes. */
	valueLimit: 1024 * 1024,
	instanceListLagMs: 0,
	/** Rate of the weight store over all downloads, in bytes a second. */
	weightBytesPerSecond: 64 * 1024 * 1024,
	/** Size of each weight file, in bytes. */
	weightBytes: 16 * 1024 * 1024,
};

const longestPageSize = 1000;
const longestWatchMs = 60_000;

/** Creates the stand-in; it listens after `start`. */
export function createPlatformStandin(options: PlatformStandinOptions = {}): PlatformStandin {
	const settings = {...platformStandinDefaults, ...options};
	const now = () => performance.now();
	const random = createRandom(settings.seed);
	const faults: Partial<PlatformFaults> = {};
	const calls = createCallCounter(now);
	const limits = {
		reads: createRateLimit(settings.readsPerSecond, now),
		writes: createRateLimit(settings.writesPerSecond, now),
	};
	const ends = {refusedByRate: 0, refusedByOutage: 0, answersLost: 0};
	const table = createObjectTable({
		historyLimit: settings.historyLimit, now, onChange() {
			watchers.changed();
		},
	});
	const watchers = createWatchers({table, now, lagMs: () => faults.watchLagMs ?? 0});
	const weights = createWeightStore(settings);
	const instanceLists: Array<{at: number; instances: StandinInstance[]}> = [];
	const app = new Hono<StandinEnvironment>();

	/** Counts and limits a call; a refused call has no effect. */
	async function admit(ctx: Context<StandinEnvironment>, kind: 'reads' | 'writes'): Promise<Response | undefined> {
		calls.count(kind);
		if (faults.slowMs) {
			await sleep(faults.slowMs, undefined, {ref: false});
		}

		if (faults.down) {
			ends.refusedByOutage++;
			return ctx.json({error: 'outage'}, 503);
		}

		if (!limits[kind].take()) {
			ends.refusedByRate++;
			return ctx.json({error: 'rate'}, 429);
		}

		return undefined;
	}

	function losesAnswer(): boolean {
		const {loseAnswers = 0} = faults;
		if (loseAnswers >= 1) {
			faults.loseAnswers = loseAnswers - 1;
			return true;
		}

		return loseAnswers > 0 && random() < loseAnswers;
	}

	function loseAnswer(ctx: Context<StandinEnvironment>): Response {
		ends.answersLost++;
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

		return losesAnswer() ? loseAnswer(ctx) : ctx.json({version: result.version});
	}

	function instances(): StandinInstance[] {
		const until = now() - (faults.instanceListLagMs ?? settings.instanceListLagMs);
		return instanceLists.findLast(list => list.at <= until)?.instances ?? [];
	}

	function setInstances(list: StandinInstance[]) {
		instanceLists.push({at: now(), instances: list});
	}

	function faultsSet(set: Partial<PlatformFaults>) {
		if (set.down) {
			watchers.refuseAll();
		}
	}

	app.get('/objects', async ctx => {
		const limit = Math.min(Number(ctx.req.query('limit') ?? longestPageSize), longestPageSize);
		return await admit(ctx, 'reads') ?? ctx.json({
			revision: table.revision,
			objects: table.list(ctx.req.query('prefix') ?? '', ctx.req.query('after') ?? '', limit),
		});
	});
	app.get('/objects/*', async ctx => {
		const refused = await admit(ctx, 'reads');
		const object = table.get(restOfPath(ctx.req.url));
		return refused ?? (object ? ctx.json(object) : ctx.json({error: 'absent'}, 404));
	});
	app.put('/objects/*', async ctx => {
		const value = await ctx.req.text();
		const refused = await admit(ctx, 'writes');
		if (refused) {
			return refused;
		}

		if (Buffer.byteLength(value) > settings.valueLimit) {
			return ctx.json({error: 'value too large'}, 413);
		}

		return answerWrite(ctx, table.put(restOfPath(ctx.req.url), value, conditionOf(ctx)));
	});
	app.delete('/objects/*', async ctx =>
		await admit(ctx, 'writes') ?? answerWrite(ctx, table.delete(restOfPath(ctx.req.url), conditionOf(ctx))));
	app.get('/watch', async ctx => {
		const refused = await admit(ctx, 'reads');
		if (refused) {
			return refused;
		}

		const prefixes = ctx.req.queries('prefix') ?? [''];
		const since = Number(ctx.req.query('since') ?? 0);
		const timeoutMs = Math.min(Number(ctx.req.query('timeoutMs') ?? longestWatchMs), longestWatchMs);
		const reply = await watchers.wait({prefixes, since, timeoutMs});
		if (reply.kind !== 'changes') {
			return ctx.json({error: reply.kind}, reply.kind === 'expired' ? 410 : 503);
		}

		return random() < (faults.watchDropFraction ?? 0)
			? loseAnswer(ctx)
			: ctx.json({revision: reply.revision, events: reply.events});
	});
	app.get('/instances', async ctx => await admit(ctx, 'reads') ?? ctx.json(instances()));
	app.get('/weights/*', async ctx => {
		const refused = await admit(ctx, 'reads');
		if (refused) {
			return refused;
		}

		weights.download(ctx.env.outgoing);
		return RESPONSE_ALREADY_SENT;
	});
	app.put('/standin/instances', async ctx => {
		setInstances(await ctx.req.json<StandinInstance[]>());
		return ctx.json({});
	});
	app.get('/standin/stats', ctx => ctx.json({
		calls: calls.totals(), seconds: calls.seconds(), ...ends, revision: table.revision, weightBytes: weights.sentBytes(),
	}));
	addFaultRoutes(app, faults, faultsSet);

	const server = createStandinServer({host: settings.host, port: settings.port, app});
	return {
		start: async () => server.start(),
		async stop() {
			watchers.refuseAll();
			weights.stop();
			await server.stop();
		},
		setFaults(set) {
			Object.assign(faults, set);
			faultsSet(set);
		},
		clearFaults() {
			clearFaults(faults);
		},
		setInstances,
	};
}

function conditionOf(ctx: Context<StandinEnvironment>): WriteCondition {
	const ifVersion = ctx.req.header('if-match');
	return {
		...(ifVersion !== undefined && {ifVersion: Number(ifVersion)}),
		ifAbsent: ctx.req.header('if-none-match') === '*',
	};
}
