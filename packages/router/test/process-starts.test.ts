/*
Starts of the program `shallotloom-router` beside addresses in use, and signals at moments other than a planned stop.
*/
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {waitUntil} from './support/deployment.ts';
import {
	bundleRouter, host, minimalSettings, type Program, type RunningProgram,
} from './support/program.ts';

let program: Program;
let running: RunningProgram | undefined;
let occupant: Server | undefined;

/** Time for which an address stays in use after the start, in milliseconds. */
const inUseMs = 1500;

/** Longest planned stop of a process that may hold the addresses, in milliseconds. */
const graceMs = 3000;

/** Time in which a program ends that waits for an address, in milliseconds: that stop, and 3 s. */
const endMs = 6000;

const settings = `${minimalSettings}stop: {graceMs: ${graceMs}}\n`;

beforeAll(async () => {
	program = await bundleRouter();
});

afterEach(async () => {
	occupant?.close();
	await running?.end();
});

afterAll(async () => program.remove());

async function occupy(port: number) {
	occupant = createServer();
	occupant.listen(port, host);
	await once(occupant, 'listening');
}

test.each([['callers', 8080], ['peers', 8081], ['operators', 8082]])('the router starts although the address for %s is in use for a moment', async (_name, port) => {
	await occupy(port);
	running = program.launch('--settings', await program.writeSettings(settings));
	await sleep(inUseMs);
	occupant?.close();
	await waitUntil('the router listens', async () => running!.output().includes('listening callers='));
});

test('a router whose address stays in use ends with 1 and names the address', async () => {
	await occupy(8080);
	running = program.launch('--settings', await program.writeSettings(settings));
	await waitUntil('the router waits', async () => running!.output().includes('waiting for address'));
	expect(await running.waitForEnd(endMs)).toBe(1);
	expect(running.output()).toContain(`${host}:8080`);
});

test('a router that waits for an address ends with 0 on SIGTERM', async () => {
	await occupy(8082);
	running = program.launch('--settings', await program.writeSettings(settings));
	await waitUntil('the router waits', async () => running!.output().includes('waiting for address'));
	running.signal('SIGTERM');
	expect(await running.waitForEnd(endMs)).toBe(0);
});

test('SIGHUP ends no router', async () => {
	running = await program.start('--settings', await program.writeSettings(settings));
	running.signal('SIGHUP');
	expect(await running.waitForEnd(inUseMs)).toBeUndefined();
});
