import {createServer} from 'node:http';
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {
	bundleRouter, host, minimalSettings, type Program, type RunningProgram,
} from './support/program.ts';

let program: Program;
let running: RunningProgram;

beforeAll(async () => {
	program = await bundleRouter();
});

afterEach(async () => running.end());

afterAll(async () => program.remove());

async function waitFor(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await delay(20);
	}
}

test('a router without its platform logs the error, keeps retrying and refuses requests', async () => {
	running = await program.start('--settings', await program.writeSettings(`${minimalSettings}log: {format: text}\n`));
	await waitFor(() => running.output().includes('[platform]'));
	expect(running.output()).toContain('warn [platform] watch failed, retrying: Object API refused the connection');

	const base = `http://${host}:8080`;
	const refused = await fetch(`${base}/v1/address`, {headers: {authorization: 'Bearer key-of-a-workspace'}});
	expect(refused.status).toBe(503);
	expect(refused.headers.get('retry-after')).toBe('1');
	expect(await refused.json()).toMatchObject({error: {kind: 'not-ready', outcome: 'not-run', retryAfter: 1}});
	const ready = await fetch(`${base}/readyz`);
	expect(ready.status).toBe(503);
	const alive = await fetch(`${base}/healthz`);
	expect(alive.status).toBe(200);

	const requestedPaths = new Set<string>();
	const platform = createServer((req, res) => {
		requestedPaths.add(new URL(req.url!, base).pathname);
		res.writeHead(503).end();
	});
	platform.listen(9000, host);
	await once(platform, 'listening');
	await waitFor(() => requestedPaths.size > 0);
	platform.closeAllConnections();
	platform.close();
	expect(running.output()).not.toContain('key-of-a-workspace');
	expect(running.output()).not.toMatch(/\n\s+at /v);
});
