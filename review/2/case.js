/* eslint camelcase: "off" -- The platform's documents have such names. */
/*
A worker spoils a few of its streams: it loses the ends of the events, so that one event never ends. Checks that requests to another
service are answered at the time-out of their route. With TROUBLE=0 no stream is spoiled.
*/
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {openChannel, sendOn, sendOnce} from '../support/channel.js';
import {resolveAddresses, startDeployment} from '../support/deployment.js';
import {
	createConfig, createLookupRequest, createStreamRequest, streamLimitMs,
} from '../support/documents.js';
import {createEntry, startWorker} from '../support/worker.js';

const isTroubled = process.env.TROUBLE !== '0';
const durationMs = 40_000;

/** Rates of requests of a deployment, per second. */
const streamsPerSecond = 30;
const lookupsPerSecond = 12;

/** One of four workers spoils this share of its answers: `garble` has up to 0.5 of the workers, and 0.02 of their answers. */
const spoiltShare = 0.02;
const workerCount = 4;

const eventCount = 42;
const eventPauseMs = 20;

/** Time-out of the route of look-ups, and the time limit of their requesters. */
const lookupTimeoutMs = 400;
const lookupLimitMs = 1000;

/** Time after the time-out by which an answer is due. */
const slackMs = 500;

/** A token as a chunk of its own, many times. */
const spoiltBytes = Buffer.from('4\r\nabcd\r\n'.repeat(1000));

const spoilt = [];

/** Writes an event without end until the channel is closed. */
function writeEndlessEvent(response, record) {
	const entry = {
		worker: record.worker, requestId: record.requestId, at: record.startedAt, bytes: 0, endedAt: undefined,
	};
	spoilt.push(entry);
	const {socket} = response;
	response.write('id: 1\ndata: ');
	const writeMore = () => {
		while (!socket.destroyed) {
			entry.bytes += spoiltBytes.length;
			if (!socket.write(spoiltBytes)) {
				socket.once('drain', writeMore);
				return;
			}
		}
	};

	socket.once('close', () => {
		entry.endedAt = performance.now();
	});
	writeMore();
}

async function runStream({response, headers, record}) {
	response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
	if (isTroubled && record.worker === 'i-0' && Math.random() < spoiltShare) {
		writeEndlessEvent(response, record);
		return;
	}

	for (let number = 1; number <= eventCount && !response.destroyed; number += 1) {
		await sleep(eventPauseMs);
		response.write(`id: ${number}\ndata: ${'x'.repeat(65)}\n\n`);
	}

	response.end();
}

async function runLookup({response, headers}) {
	await sleep(21);
	const body = 'x'.repeat(800);
	response.writeHead(200, {...headers, 'content-length': body.length}).end(body);
}

const kinds = {
	stream: {
		limitMs: streamLimitMs,
		create: createStreamRequest,
	},
	lookup: {
		limitMs: lookupLimitMs,
		create: id => createLookupRequest(id, lookupLimitMs),
	},
};

const sent = [];

/** Sends one request on a channel of its own. */
async function sendRequest(kind, addresses) {
	const channel = await openChannel(addresses[Math.floor(Math.random() * addresses.length)]);
	const record = {
		kind, id: randomBytes(8).toString('hex'), address: channel?.address, sentAt: performance.now(), answer: undefined,
	};
	sent.push(record);
	if (channel) {
		record.answer = await sendOn(channel, kinds[kind].create(record.id), kinds[kind].limitMs);
		channel.socket.destroy();
	}
}

async function sendAtRate(kind, perSecond, deployment, until) {
	const pending = new Set();
	let known;
	while (performance.now() < until) {
		if (!known || performance.now() >= known.until) {
			const resolved = await resolveAddresses(deployment.routers, 'waco-a');
			known = resolved ? {addresses: resolved.addresses, until: performance.now() + resolved.ttlMs} : known;
		}

		if (known) {
			const request = sendRequest(kind, known.addresses);
			pending.add(request);
			request.then(() => pending.delete(request));
		}

		await sleep(2 * Math.random() * 1000 / perSecond);
	}

	await Promise.all(pending);
}

/** Asks each router each second whether it is ready, as the platform does; records how long the answers took. */
async function watchReadiness(deployment, until) {
	const tookMs = [];
	const watchOne = async ({ready}) => {
		while (performance.now() < until) {
			const startedAt = performance.now();
			const {status} = await sendOnce(ready, 'GET /shallotloom/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n', 5000);
			tookMs.push(status === 200 ? performance.now() - startedAt : Number.POSITIVE_INFINITY);
			await sleep(1000);
		}
	};

	await Promise.all(deployment.routers.map(async router => watchOne(router)));
	return tookMs;
}

async function run() {
	const engines = await Promise.all(Array.from({length: workerCount}, async (_, index) => startWorker({id: `i-${index}`, run: runStream})));
	const desks = await Promise.all(Array.from({length: 3}, async (_, index) => startWorker({id: `d-${index}`, slots: 6, run: runLookup})));
	const deployment = await startDeployment({
		count: 3,
		config: createConfig({lookupTimeoutMs}),
		entries: Object.fromEntries([
			...engines.map(({id, address}) => [id, createEntry({service: 'loom-pool', address})]),
			...desks.map(({id, address}) => [id, createEntry({service: 'order-desk', address, slots: 6})]),
		]),
	});
	let readyMs;
	try {
		const until = performance.now() + durationMs;
		[readyMs] = await Promise.all([
			watchReadiness(deployment, until), sendAtRate('stream', streamsPerSecond, deployment, until), sendAtRate('lookup', lookupsPerSecond, deployment, until),
		]);
	} finally {
		await deployment.stop();
		await Promise.all([...engines, ...desks].map(async worker => worker.stop()));
	}

	const lookups = sent.filter(({kind, address}) => kind === 'lookup' && address);
	const getTookMs = ({sentAt, answer}) => answer.end === 'complete' ? answer.at - sentAt : Number.POSITIVE_INFINITY;
	const overdue = lookups.filter(record => getTookMs(record) > lookupTimeoutMs);
	const unanswered = overdue.filter(record => getTookMs(record) > lookupTimeoutMs + slackMs);
	const isBroken = unanswered.length >= 8 && unanswered.length > overdue.length / 4;
	const served = lookups.filter(({answer}) => answer.status === 200 && answer.end === 'complete').length;
	writeFileSync('review/2/record.txt', [
		`disruption: ${isTroubled ? `i-0 spoils ${spoiltShare} of its streams` : 'none'}`,
		`sent: ${sent.length}, of which ${lookups.length} look-ups; run: ${[...engines, ...desks].flatMap(({records}) => records).length}`,
		`look-ups with a whole answer 200: ${served}`,
		`look-ups without an answer at the time-out of ${lookupTimeoutMs} ms: ${overdue.length}; of these without one ${slackMs} ms later: ${unanswered.length}`,
		`readiness checks: ${readyMs.length}, longest ${Math.round(Math.max(...readyMs))} ms, over 500 ms: ${readyMs.filter(ms => ms > 500).length}`,
		...spoilt.map(({worker, requestId, bytes, at, endedAt}) => `spoilt by ${worker}: ${requestId}, ${bytes} bytes written, channel closed after ${Math.round((endedAt ?? Number.NaN) - at)} ms`),
		'',
		'kind, id, router, sent at ms, status, end, took ms',
		...sent.map(({kind, id, address, sentAt, answer}) => `${kind} ${id} ${address} ${Math.round(sentAt)} ${answer?.status} ${answer?.end} ${Math.round((answer?.at ?? 0) - sentAt)}`),
	].join('\n'));
	console.log(`look-ups ${lookups.length}, served ${served}, overdue ${overdue.length}, unanswered ${unanswered.length}; spoilt ${spoilt.length}`);
	return {isBroken, served, hasRun: !isTroubled || spoilt.length > 0};
}

try {
	const {isBroken, served, hasRun} = await run();
	process.exitCode = isBroken ? 1 : (served < 50 || !hasRun ? 2 : 0);
} catch (error) {
	console.error(error);
	process.exitCode = 2;
}
