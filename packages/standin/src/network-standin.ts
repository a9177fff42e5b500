/*
Stand-in of the network between failure domains: TCP relays with a one-way delay for each pair of domains, and cuts that
hold bytes back. The source of a connection is the IP address to which the caller is bound, its destination is the address
of the link's `to`.
*/
import {Hono} from 'hono';
import {createRelay, type Relay} from './relay.ts';
import {createStandinServer, type Standin, type StandinEnvironment} from './standin-server.ts';

/** A relay from the address `listen` to the address `to`, both `HOST:PORT`. */
export type NetworkLink = {listen: string; to: string};

/** Stalls bytes from addresses that start with `from` to addresses that start with `to`, and vice versa unless `oneWay`. */
export type NetworkCut = {from: string; to: string; oneWay?: boolean};

/** One-way delays in milliseconds. */
export type NetworkDelay = {
	/** Between two addresses of one failure domain. */
	same: number;
	/** Between addresses of two failure domains. */
	between: number;
	/** From or to an address that belongs to no failure domain. */
	client: number;
};

export type NetworkSettings = {
	/** Failure domain by prefix of its addresses, such as `{'127.0.2.': 'suva'}`. */
	domains: Record<string, string>;
	delayMs: NetworkDelay;
};

export type NetworkStandin = Standin & {
	configure(settings: Partial<NetworkSettings>): void;
	addLink(link: NetworkLink): Promise<void>;
	addCut(cut: NetworkCut): void;
	clearCuts(): void;
};

export type NetworkStandinOptions = Partial<typeof defaultNetworkStandinOptions>;

const noDomains: Record<string, string> = {};

export const defaultNetworkStandinOptions = {
	host: '127.0.0.1',
	port: 0,
	domains: noDomains,
	delayMs: {same: 0, between: 1.5, client: 1},
};

/** Creates a network without links; its control server listens after `start`. */
export function createNetworkStandin(options: NetworkStandinOptions = {}): NetworkStandin {
	const settings = {...defaultNetworkStandinOptions, ...options};
	const relays: Relay[] = [];
	let cuts: NetworkCut[] = [];
	const app = new Hono<StandinEnvironment>();

	function findDomain(address: string): string | undefined {
		const prefix = Object.keys(settings.domains).find(candidate => address.startsWith(candidate));
		return prefix === undefined ? undefined : settings.domains[prefix];
	}

	function getDelayMs(from: string, to: string): number {
		const source = findDomain(from);
		const destination = findDomain(to);
		if (source === undefined || destination === undefined) {
			return settings.delayMs.client;
		}

		return source === destination ? settings.delayMs.same : settings.delayMs.between;
	}

	function isCut(from: string, to: string): boolean {
		return cuts.some(cut => matchesCut(cut, from, to) || (!cut.oneWay && matchesCut(cut, to, from)));
	}

	async function addLink(link: NetworkLink) {
		const relay = createRelay({...link, getDelayMs, isCut});
		relays.push(relay);
		await relay.start();
	}

	function configure({domains, delayMs}: Partial<NetworkSettings>) {
		settings.domains = domains ?? settings.domains;
		settings.delayMs = {...settings.delayMs, ...delayMs};
	}

	function setCuts(changed: NetworkCut[]) {
		cuts = changed;
		for (const relay of relays) {
			relay.applyCuts();
		}
	}

	app.post('/standin/settings', async ctx => {
		configure(await ctx.req.json<Partial<NetworkSettings>>());
		return ctx.json({domains: settings.domains, delayMs: settings.delayMs});
	});
	app.post('/standin/links', async ctx => {
		await addLink(await ctx.req.json<NetworkLink>());
		return ctx.json({});
	});
	app.post('/standin/cuts', async ctx => {
		setCuts([...cuts, await ctx.req.json<NetworkCut>()]);
		return ctx.json(cuts);
	});
	app.delete('/standin/cuts', ctx => {
		setCuts([]);
		return ctx.json(cuts);
	});
	app.get('/standin/stats', ctx => ctx.json({cuts, links: relays.map(relay => relay.getStats())}));

	const server = createStandinServer({host: settings.host, port: settings.port, app});
	return {
		start: async () => server.start(),
		async stop() {
			await Promise.all(relays.map(async relay => relay.stop()));
			await server.stop();
		},
		configure,
		addLink,
		addCut(cut) {
			setCuts([...cuts, cut]);
		},
		clearCuts() {
			setCuts([]);
		},
	};
}

/** Whether the cut applies to bytes from one address to the other in its own direction. */
function matchesCut(cut: NetworkCut, from: string, to: string): boolean {
	return from.startsWith(cut.from) && to.startsWith(cut.to);
}
