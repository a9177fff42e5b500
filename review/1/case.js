/* eslint camelcase: "off" -- The platform's documents have such names. */
/*
Planned stops of the routers one after another, while requesters draw streams one after another on channels that they keep.
Checks LOST around planned work. With TROUBLE=0 no router is stopped.
*/
import {randomBytes} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {openChannel, sendOn} from '../support/channel.js';
import {graceMs, resolveAddresses, startDeployment} from '../support/deployment.js';
import {createConfig, createStreamRequest, streamLimitMs} from '../support/documents.js';
import {createEntry, startWorker} from '../support/worker.js';

const isTroubled = process.env.TROUBLE !== '0';
const requesterCount = 90;
const workerCount = 4;

/** Some requesters keep an answer of the directory three times as long as it says: one in three here. */
const isPatient = index => index % 3 === 0;

/** Events of a stream, and the pause between two: the sheet allows 500 ms. */
const minEvents = 42;
const maxEvents = 55;
const eventPauseMs = 100;

/** Streams events at an even pace. */
async function runStream({response, headers, record}) {
	const count = minEvents + Math.floor(Math.random() * (maxEvents - minEvents + 1));
	record.events = count;
	response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
	for (let number = 1; number <= count && !response.destroyed; number += 1) {
		await sleep(eventPauseMs);
		response.write(`id: ${number}\ndata: ${'x'.repeat(65)}\n\n`);
	}

	response.end();
}

const sent = [];
const state = {isOver: false};

/** Draws one stream after another, on one channel as long as that stays open and its address is in the newest answer of the directory. */
async function runRequester(deployment, index) {
	const {zone} = deployment.routers[index % deployment.routers.length];
	let known;
	let channel;
	await sleep(Math.random() * 5000);
	while (!state.isOver) {
		if (!known || performance.now() >= known.until) {
			const resolved = await resolveAddresses(deployment.routers, zone);
			if (resolved) {
				known = {addresses: resolved.addresses, until: performance.now() + (resolved.ttlMs * (isPatient(index) ? 3 : 1))};
			}
		}

		if (channel && (channel.isClosed || !known?.addresses.includes(channel.address))) {
			channel.socket.destroy();
			channel = undefined;
		}

		if (!channel && known) {
			channel = await openChannel(known.addresses[Math.floor(Math.random() * known.addresses.length)]);
		}

		if (!channel) {
			await sleep(200);
			continue;
		}

		const id = randomBytes(8).toString('hex');
		const record = {
			id, requester: index, address: channel.address, sentAt: performance.now(), answer: undefined,
		};
		sent.push(record);
		record.answer = await sendOn(channel, createStreamRequest(id), streamLimitMs);
		if (record.answer.headers.connection === 'close' || record.answer.end !== 'complete') {
			channel.socket.destroy();
			channel = undefined;
		}

		if (record.answer.status === 503) {
			await sleep(Number(record.answer.headers['retry-after'] ?? 1) * 1000);
		}
	}

	channel?.socket.destroy();
}

/** Stops and restarts each router in turn. */
async function rollRouters({routers, startRouter, stopRouter}, stops) {
	for (const router of routers) {
		await stopRouter(router);
		stops.push({
			name: router.name, address: router.front, at: router.stoppedAt, endedAt: router.endedAt, end: router.end,
		});
		await startRouter(router);
		await sleep(6000);
	}
}

/** Finds the requests that the rule counts: taken by a router that was told to stop, passed on, and cut. */
function findLost(stops, runs) {
	const lost = [];
	for (const record of sent) {
		const stop = stops.find(({address, at, endedAt}) => address === record.address
			&& record.sentAt > at - streamLimitMs && record.sentAt < Math.min(endedAt, at + graceMs + 1000) && record.answer?.at > at);
		const requestRuns = runs.filter(({requestId}) => requestId === record.id);
		if (!stop || !record.answer || record.answer.end === 'complete' || requestRuns.length === 0) {
			continue;
		}

		const tookMs = record.answer.at - record.sentAt;
		const sinceStopMs = record.sentAt - stop.at;
		const isExcused = tookMs >= streamLimitMs - 100 || (sinceStopMs <= 3000 && record.answer.at >= stop.at + (graceMs * 5 / 6));
		lost.push({
			id: record.id,
			router: stop.name,
			sentAfterStopMs: Math.round(sinceStopMs),
			cutAfterStopMs: Math.round(record.answer.at - stop.at),
			end: record.answer.end,
			events: record.answer.body.split('\n\n').length - 1,
			of: requestRuns.at(-1).events,
			isExcused,
		});
	}

	return lost;
}

async function run() {
	const workers = await Promise.all(Array.from({length: workerCount}, async (_, index) => startWorker({id: `i-${index}`, run: runStream})));
	const entries = Object.fromEntries(workers.map(({id, address}) => [id, createEntry({service: 'loom-pool', address})]));
	const deployment = await startDeployment({count: 3, config: createConfig(), entries});
	const stops = [];
	try {
		const requesters = Array.from({length: requesterCount}, async (_, index) => runRequester(deployment, index));
		await sleep(12_000);
		await (isTroubled ? rollRouters(deployment, stops) : sleep(45_000));
		state.isOver = true;
		await Promise.all(requesters);
	} finally {
		await deployment.stop();
		await Promise.all(workers.map(async worker => worker.stop()));
	}

	const runs = workers.flatMap(({records}) => records);
	const lost = findLost(stops, runs);
	const counted = lost.filter(({isExcused}) => !isExcused);
	const ends = new Map();
	for (const {answer} of sent) {
		const end = `${answer?.status} ${answer?.end}`;
		ends.set(end, (ends.get(end) ?? 0) + 1);
	}

	writeFileSync('review/1/record.txt', [
		`disruption: ${isTroubled ? 'SIGTERM to each router in turn' : 'none'}`,
		`sent: ${sent.length}; run: ${runs.length}; answers: ${[...ends].map(([end, count]) => `${end}: ${count}`).join(', ')}`,
		...stops.map(({name, at, endedAt, end}) => `stop of ${name}: ended after ${Math.round(endedAt - at)} ms with ${end}`),
		`cut after being passed on: ${lost.length}, of which the rule counts ${counted.length}`,
		...lost.map(entry => JSON.stringify(entry)),
		'',
		'id, router, sent at ms, status, end, took ms',
		...sent.map(({id, address, sentAt, answer}) => `${id} ${address} ${Math.round(sentAt)} ${answer?.status} ${answer?.end} ${Math.round((answer?.at ?? 0) - sentAt)}`),
	].join('\n'));
	return {counted, served: sent.filter(({answer}) => answer?.status === 200 && answer.end === 'complete').length};
}

try {
	const {counted, served} = await run();
	console.log(`served ${served}; lost ${counted.length}`);
	process.exitCode = served < requesterCount ? 2 : (counted.length > 0 ? 1 : 0);
} catch (error) {
	console.error(error);
	process.exitCode = 2;
}
