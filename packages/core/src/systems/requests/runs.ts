/*
Requests that may run at most once. The run record is created, conditionally and with this router's nonce, before the
first byte of the request leaves; its end holds the outcome and a small answer. The same key at any router finds the
record and gets the same answer or a truthful "unknown". See docs/design/at-most-once.md.
*/
import {Outcome, RefusalKind} from '../../refusal.ts';
import {RequestState, type Request} from '../../rows.ts';
import {second} from '../../units.ts';
import {
	startPeriodIfDue, createNonce, startStoreOperation, type StoreReply, type World,
} from '../../world.ts';
import {hasQuorum, isAlive} from '../membership/quorum.ts';
import {
	enqueue, giveBack, refuse, startAnswer,
} from './requests.ts';
import {
	dropOrphan, isKnownRun, parseRun, runKey, settleDrop, unwrittenEnd, type Run,
} from './run-records.ts';

function isHere(world: World, request: Request, state: RequestState): boolean {
	return world.requests.get(request.id)?.state === state;
}

function refuseForStore(world: World, request: Request) {
	refuse(world, request, {
		kind: RefusalKind.StoreUnavailable, outcome: Outcome.NotRun, detail: '', retryAfterMs: 2 * second,
	});
}

/** Reads the run record of a request before it queues, so that an answer that was already given is given again. */
export function checkRun(world: World, request: Request) {
	const ended = unwrittenEnd(world, runKey(request));
	if (ended) {
		answerFromRun(world, request, ended);
		return;
	}

	request.state = RequestState.Checking;
	startStoreOperation(world, {kind: 'get', key: runKey(request)}, ({result}) => {
		if (!isHere(world, request, RequestState.Checking)) {
			return;
		}

		if (result.kind === 'absent') {
			enqueue(world, request);
		} else if (result.kind === 'ok') {
			follow(world, request, result);
		} else {
			refuseForStore(world, request);
		}
	});
}

/** Answers from a run record, or waits while the run goes on. */
function follow(world: World, request: Request, {value, version}: {value: string; version: number}) {
	const run = parseRun(value);
	if (run === undefined || run.outcome !== undefined) {
		answerFromRun(world, request, run);
		return;
	}

	if (isLive(world, run)) {
		request.state = RequestState.AwaitingDuplicate;
		if (run.router === world.self.id && !isKnownRun(world, run.nonce)) {
			// Its creation took effect after the request was given up.
			dropOrphan(world, request, run, version);
		}

		return;
	}

	const isGone = isSurelyGone(world, run);
	if (isGone) {
		closeRun(world, request, run, version);
	}

	refuse(world, request, {
		kind: RefusalKind.RunOutcomeUnknown, outcome: Outcome.Unknown, detail: '', ...(!isGone && {retryAfterMs: 2 * second}),
	});
}

function answerFromRun(world: World, request: Request, run: Run | undefined) {
	if (run?.outcome !== Outcome.Ran) {
		refuse(world, request, {kind: RefusalKind.RunOutcomeUnknown, outcome: Outcome.Unknown, detail: ''});
		return;
	}

	if (run.answer === undefined) {
		refuse(world, request, {kind: RefusalKind.AnswerNotKept, outcome: Outcome.Ran, detail: ''});
		return;
	}

	world.requests.delete(request.id);
	world.outbox.push({kind: 'replay', request: request.id, answer: run.answer});
}

/** Whether the incarnation of the router that wrote a record lives, as far as it is heard here. */
function isLive(world: World, {router, incarnation}: Run): boolean {
	const member = world.members.get(router);
	const lives = member?.incarnation === incarnation && isAlive(world, member);
	if (lives) {
		world.lostRunRoutersSeenAt.delete(incarnation);
	}

	return lives;
}

/**
Whether a runner that isn't heard is gone: for the length of a lease no digest of it came, although this router heard a
majority. The time counts from the first look at one of its records.
*/
function isSurelyGone(world: World, {incarnation}: Run): boolean {
	const lostAt = world.lostRunRoutersSeenAt.get(incarnation) ?? world.now;
	world.lostRunRoutersSeenAt.set(incarnation, lostAt);
	return world.now - lostAt >= world.limits.leaseDurationMs && hasQuorum(world);
}

/** Ends the record of a runner that is gone, so that every router says the same. */
function closeRun(world: World, request: Request, run: Run, version: number) {
	startStoreOperation(world, {
		kind: 'put', key: runKey(request), value: JSON.stringify({...run, outcome: Outcome.Unknown}), ifVersion: version,
	}, () => {
		// A router that comes back later finds the record as it is and closes it again.
	});
}

/** Creates the run record of a request that has a permit; the answer starts only once the record is surely there. */
export function claimRun(world: World, request: Request) {
	if (request.runVersion > 0) {
		// An earlier attempt didn't leave; its record stands.
		startAnswer(world, request);
		return;
	}

	request.state = RequestState.Claiming;
	request.runNonce = createNonce(world);
	const run: Run = {nonce: request.runNonce, router: world.self.id, incarnation: world.self.incarnation};
	startStoreOperation(world, {
		kind: 'put', key: runKey(request), value: JSON.stringify(run), ifVersion: 0,
	}, reply => {
		if (isClaiming(world, request, run)) {
			claimHandlers[reply.result.kind](world, request, run, reply);
		} else {
			settleDrop(world, run.nonce, reply);
		}
	});
}

function isClaiming(world: World, request: Request, run: Run): boolean {
	return isHere(world, request, RequestState.Claiming) && request.runNonce === run.nonce;
}

type ClaimHandler = (world: World, request: Request, run: Run, reply: StoreReply) => void;

const claimHandlers: Record<StoreReply['result']['kind'], ClaimHandler> = {
	ok(world, request, _run, {result}) {
		request.runVersion = result.kind === 'ok' ? result.version : 0;
		startAnswer(world, request);
	},
	conflict: recheckClaim,
	unknown: recheckClaim,
	absent: giveUpClaim,
	unavailable: giveUpClaim,
};

/** The creation took no effect. */
function giveUpClaim(world: World, request: Request) {
	request.runNonce = '';
	refuseForStore(world, request);
}

/** Reads the record again after a lost answer or a conflict: it may be this router's own. */
function recheckClaim(world: World, request: Request, run: Run, {result: created}: StoreReply) {
	startStoreOperation(world, {kind: 'get', key: runKey(request)}, reply => {
		if (!isClaiming(world, request, run)) {
			return;
		}

		const {result} = reply;
		if (result.kind === 'ok' && parseRun(result.value)?.nonce === run.nonce) {
			claimHandlers.ok(world, request, run, reply);
			return;
		}

		if (created.kind === 'conflict') {
			request.runNonce = '';
		}

		if (result.kind === 'ok') {
			request.runNonce = '';
			giveBack(world, request);
			follow(world, request, result);
			return;
		}

		// A creation that may still take effect is removed when it does.
		refuseForStore(world, request);
	});
}

/** Looks at the records of requests that wait for a duplicate. */
export function runsSystem(world: World) {
	if (!startPeriodIfDue(world, 'runs', world.limits.runPollMs)) {
		return;
	}

	for (const request of world.requests.rows()) {
		if (request.state === RequestState.AwaitingDuplicate) {
			pollRun(world, request);
		}
	}
}

function pollRun(world: World, request: Request) {
	const ended = unwrittenEnd(world, runKey(request));
	if (ended) {
		answerFromRun(world, request, ended);
		return;
	}

	startStoreOperation(world, {kind: 'get', key: runKey(request)}, ({result}) => {
		if (!isHere(world, request, RequestState.AwaitingDuplicate)) {
			return;
		}

		if (result.kind === 'ok') {
			follow(world, request, result);
		} else if (result.kind === 'absent') {
			enqueue(world, request);
		}
	});
}

/** Refuses a request whose duplicate still runs. */
export function refuseRunning(world: World, request: Request) {
	refuse(world, request, {
		kind: RefusalKind.RunInProgress, outcome: Outcome.Unknown, detail: '', retryAfterMs: second,
	});
}
