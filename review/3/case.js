/*
All routers are killed at the same moment and come back a second later, while workers of two software versions serve. Requesters take up
their broken streams again. Checks that these go on about as often as new streams begin. With TROUBLE=0 no router is killed.
*/
import {randomBytes} from 'node:crypto';
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {openChannel, sendOn} from '../support/channel.js';
import {resolveAddresses, startDeployment} from '../support/deployment.js';
import {
	bounds, createConfig, createStreamRequest, streamLimitMs,
} from '../support/documents.js';
import {createEntry, startWorker} from '../support/worker.js';

const isTroubled = process.env.TROUBLE !== '0';
const requesterCount = 80;

/** Two workers of each software version. */
const versions = ['v1', 'v1', 'v2', 'v2'];

const eventCount = 42;
const eventPauseMs = 25;

/** Ends of all routers, and the time until they start again. */
const killCount = 3;
const killPauseMs = 15_000;
const restartDelayMs = 1000;

/** Requesters retry a few times; without Retry-After they wait for a second, then for two. */
const maxResumptions = 3;
const firstRetryPauseMs = 1000;

async function runStream({request, response, headers, record}) {
	const from = Number(request.headers['last-event-id'] ?? 0);
	record.from = from;
	response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
	for (let number = from + 1; number <= eventCount && !response.destroyed; number += 1) {
		await sleep(eventPauseMs);
		response.write(`id: ${number}\ndata: ${'x'.repeat(65)}\n\n`);
	}

	response.end();
}

/** The reason of a refusal, or the number of the last whole event. */
function describeAnswer(answer) {
	return /"kind":"(?<kind>[^"]*)"/v.exec(answer.body)?.groups.kind ?? findLastEvent(answer);
}

const attempts = [];
const state = {isOver: false};

/** Finds the number of the last whole event of an answer; 0 when there is none. */
function findLastEvent({body}) {
	return Number(/^id: (?<id>\d+)$/mv.exec(body.split('\n\n').slice(0, -1).at(-1) ?? '')?.groups.id ?? 0);
}

/** Sends one attempt on a new channel; undefined while none can be opened. */
async function sendAttempt(deployment, zone, resumption) {
	const resolved = await resolveAddresses(deployment.routers, zone);
	const address = resolved?.addresses[Math.floor(Math.random() * resolved.addresses.length)];
	const channel = address && await openChannel(address);
	if (!channel) {
		return undefined;
	}

	const id = randomBytes(8).toString('hex');
	const router = deployment.routers.find(({front}) => front === address);
	const attempt = {
		id, address, resumption, sentAt: performance.now(), routerStartedAt: router.startedAt, answer: undefined,
	};
	attempts.push(attempt);
	const request = createStreamRequest(id);
	const lines = resumption ? `Resumes: ${resumption.firstId}\r\nLast-Event-Id: ${resumption.lastEvent}\r\n` : '';
	attempt.answer = await sendOn(channel, request.replace('Content-Length', `${lines}Content-Length`), streamLimitMs);
	channel.socket.destroy();
	return attempt;
}

/** Takes a broken stream up again, a few times within the time limit. */
async function resume(deployment, zone, {id, sentAt, answer}) {
	const resumption = {firstId: id, lastEvent: findLastEvent(answer)};
	let pauseMs = firstRetryPauseMs;
	for (let count = 0; count < maxResumptions && performance.now() < sentAt + streamLimitMs;) {
		const attempt = await sendAttempt(deployment, zone, resumption);
		if (!attempt) {
			await sleep(200);
			continue;
		}

		count += 1;
		if (attempt.answer.end === 'complete' && attempt.answer.status === 200) {
			return;
		}

		resumption.lastEvent = Math.max(resumption.lastEvent, findLastEvent(attempt.answer));
		await sleep(1000 * Number(attempt.answer.headers['retry-after'] ?? pauseMs / 1000));
		pauseMs *= 2;
	}
}

async function runRequester(deployment, index) {
	const {zone} = deployment.routers[index % deployment.routers.length];
	await sleep(Math.random() * 2000);
	while (!state.isOver) {
		const attempt = await sendAttempt(deployment, zone);
		if (attempt && attempt.answer.end !== 'complete' && findLastEvent(attempt.answer) > 0) {
			await resume(deployment, zone, attempt);
		} else if (!attempt || attempt.answer.status !== 200) {
			await sleep(300);
		}
	}
}

/** Kills all routers at once and starts them again. */
async function killAll({routers, startRouter}) {
	for (const {child} of routers) {
		child.kill('SIGKILL');
	}

	await sleep(restartDelayMs);
	await Promise.all(routers.map(async router => {
		router.startedAt = performance.now();
		await startRouter(router);
	}));
}

const hasBegun = ({answer}) => answer.status === 200 && findLastEvent(answer) > 0;

async function run() {
	const workers = await Promise.all(versions.map(async (_, index) => startWorker({id: `i-${index}`, run: runStream})));
	const entries = Object.fromEntries(workers.map(({id, address}, index) => [id, {...createEntry({service: 'loom-pool', address}), version: versions[index]}]));
	const deployment = await startDeployment({count: 3, config: createConfig(), entries});
	try {
		for (const router of deployment.routers) {
			router.startedAt = performance.now();
		}

		const requesters = Array.from({length: requesterCount}, async (_, index) => runRequester(deployment, index));
		await sleep(8000);
		for (let count = 0; count < killCount; count += 1) {
			await (isTroubled ? killAll(deployment) : sleep(restartDelayMs));
			await sleep(killPauseMs);
		}

		state.isOver = true;
		await Promise.all(requesters);
	} finally {
		await deployment.stop();
		await Promise.all(workers.map(async worker => worker.stop()));
	}

	const ended = attempts.filter(({answer}) => answer);
	const resumed = ended.filter(({resumption}) => resumption);
	const inTouch = ended.filter(({sentAt, routerStartedAt}) => sentAt >= routerStartedAt + bounds.contact_ms);
	const resumedInTouch = inTouch.filter(({resumption}) => resumption);
	const fresh = inTouch.filter(({resumption}) => !resumption);
	const wentOn = resumedInTouch.filter(attempt => hasBegun(attempt)).length;
	const resumedShare = wentOn / resumedInTouch.length;
	const freshShare = fresh.filter(attempt => hasBegun(attempt)).length / fresh.length;
	const isBroken = resumedInTouch.length >= 12 && resumedShare < freshShare / 2;
	const summary = `resumed in touch ${resumedInTouch.length}, of which ${wentOn} went on; new ${fresh.length}, of which ${(100 * freshShare).toFixed(1)} in 100 began`;
	writeFileSync('review/3/record.txt', [
		`disruption: ${isTroubled ? `all routers killed ${killCount} times, started again ${restartDelayMs} ms later` : 'none'}`,
		`attempts: ${ended.length}; run: ${workers.flatMap(({records}) => records).length}`,
		summary,
		`attempts that resume, at any time: ${resumed.length}, of which ${resumed.filter(attempt => hasBegun(attempt)).length} went on`,
		`streams taken up again, at any time: ${new Set(resumed.map(({resumption}) => resumption.firstId)).size}`,
		'',
		'id, router, sent at ms, ms since the start of the router, resumes, status, end, answer',
		...ended.map(({id, address, sentAt, routerStartedAt, resumption, answer}) =>
			[id, address, Math.round(sentAt), Math.round(sentAt - routerStartedAt), resumption?.firstId ?? '-', answer.status, answer.end, describeAnswer(answer)].join(' ')),
	].join('\n'));
	console.log(summary);
	return {isBroken, served: ended.filter(({answer}) => answer.status === 200 && answer.end === 'complete').length};
}

try {
	const {isBroken, served} = await run();
	process.exitCode = served < requesterCount ? 2 : (isBroken ? 1 : 0);
} catch (error) {
	console.error(error);
	process.exitCode = 2;
}
