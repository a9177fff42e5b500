/*
Requests that may run at most once. The run record is created, conditionally and with a nonce of this router, before the
first byte of the request is sent; at the end of the run, the outcome and a small answer are written to it. A duplicate with
the same idempotency key finds the record at any router and gets the same answer, or a refusal with the outcome "unknown".
See docs/design/at-most-once.md.
*/
import {Outcome, RefusalKind} from '../../refusal.ts';
import {RequestState, type Request} from '../../rows.ts';
import {second} from '../../units.ts';
import {
	startPeriodIfDue, createNonce, startStoreOperation, type StoreReply, type World,
} from '../../world.ts';
import {hasQuorum, isAlive} from '../membership/quorum.ts';
import {
	enqueue, returnUnusedPermit, refuse, startAnswer,
} from './requests.ts';
import {
	deleteOrphanRecord, isKnownRun, parseRun, getRunKey, applyLateCreation, findPendingEnd, type Run,
} from './run-records.ts';

/** Returns whether a request still exists and is in a state; used by callbacks of the Object API. */
function isInState(world: World, request: Request, state: RequestState): boolean {
	return world.requests.get(request.id)?.state === state;
}

function refuseStoreUnavailable(world: World, request: Request) {
	refuse(world, request, {
		kind: RefusalKind.StoreUnavailable, outcome: Outcome.NotRun, detail: '', retryAfterMs: 2 * second,
	});
}

/** Reads the run record of a request before the request queues, so that a duplicate gets the stored answer. */
export function checkRunRecord(world: World, request: Request) {
	const ended = findPendingEnd(world, getRunKey(request));
	if (ended) {
		answerFromRun(world, request, ended);
		return;
	}

	request.state = RequestState.Checking;
	startStoreOperation(world, {kind: 'get', key: getRunKey(request)}, ({result}) => {
		if (!isInState(world, request, RequestState.Checking)) {
			return;
		}

		if (result.kind === 'absent') {
			enqueue(world, request);
		} else if (result.kind === 'ok') {
			resolveDuplicate(world, request, result);
		} else {
			refuseStoreUnavailable(world, request);
		}
	});
}

/**
Answers a duplicate from the run record. While the run goes on the duplicate waits; it is refused when the router of the run is
silent.
*/
function resolveDuplicate(world: World, request: Request, {value, version}: {value: string; version: number}) {
	const run = parseRun(value);
	if (run === undefined || run.outcome !== undefined) {
		answerFromRun(world, request, run);
		return;
	}

	if (isRunRouterAlive(world, run)) {
		request.state = RequestState.AwaitingDuplicate;
		if (run.router === world.self.id && !isKnownRun(world, run.nonce)) {
			// The creation of the record took effect after its request had ended.
			deleteOrphanRecord(world, request, run, version);
		}

		return;
	}

	const isLost = isRunRouterLost(world, run);
	if (isLost) {
		closeLostRun(world, request, run, version);
	}

	refuse(world, request, {
		kind: RefusalKind.RunOutcomeUnknown, outcome: Outcome.Unknown, detail: '', ...(!isLost && {retryAfterMs: 2 * second}),
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

/** Returns whether the incarnation of the router that wrote a record is alive, as far as this router knows. */
function isRunRouterAlive(world: World, {router, incarnation}: Run): boolean {
	const member = world.members.get(router);
	const isRouterAlive = member?.incarnation === incarnation && isAlive(world, member);
	if (isRouterAlive) {
		world.lostRunRoutersSeenAt.delete(incarnation);
	}

	return isRouterAlive;
}

/**
Returns whether a router that is not alive is certainly gone: for the duration of a lease it was not seen alive, and this
router receives digests from a majority. The duration counts from the first read of one of the lost router's records.
*/
function isRunRouterLost(world: World, {incarnation}: Run): boolean {
	const lostAt = world.lostRunRoutersSeenAt.get(incarnation) ?? world.now;
	world.lostRunRoutersSeenAt.set(incarnation, lostAt);
	return world.now - lostAt >= world.limits.leaseDurationMs && hasQuorum(world);
}

/** Writes the outcome "unknown" to the record of a lost router, so that every router gives the same answer. */
function closeLostRun(world: World, request: Request, run: Run, version: number) {
	startStoreOperation(world, {
		kind: 'put', key: getRunKey(request), value: JSON.stringify({...run, outcome: Outcome.Unknown}), ifVersion: version,
	}, () => {
		// If the write fails, the next duplicate finds the record unchanged and closes it.
	});
}

/** Creates the run record of a request that has a permit. The request is sent only once the record is known to exist. */
export function claimRun(world: World, request: Request) {
	if (request.runVersion > 0) {
		// The record of an earlier attempt, which was not sent, is still valid.
		startAnswer(world, request);
		return;
	}

	request.state = RequestState.Claiming;
	request.runNonce = createNonce(world);
	const run: Run = {nonce: request.runNonce, router: world.self.id, incarnation: world.self.incarnation};
	startStoreOperation(world, {
		kind: 'put', key: getRunKey(request), value: JSON.stringify(run), ifVersion: 0,
	}, reply => {
		if (isStillClaiming(world, request, run)) {
			claimHandlers[reply.result.kind](world, request, run, reply);
		} else {
			applyLateCreation(world, run.nonce, reply);
		}
	});
}

function isStillClaiming(world: World, request: Request, run: Run): boolean {
	return isInState(world, request, RequestState.Claiming) && request.runNonce === run.nonce;
}

type ClaimHandler = (world: World, request: Request, run: Run, reply: StoreReply) => void;

const claimHandlers: Record<StoreReply['result']['kind'], ClaimHandler> = {
	ok(world, request, _run, {result}) {
		request.runVersion = result.kind === 'ok' ? result.version : 0;
		startAnswer(world, request);
	},
	conflict: verifyClaim,
	unknown: verifyClaim,
	absent: abandonClaim,
	unavailable: abandonClaim,
};

/** Refuses a request whose run record was certainly not created. */
function abandonClaim(world: World, request: Request) {
	request.runNonce = '';
	refuseStoreUnavailable(world, request);
}

/** Reads the record after a lost answer or a conflict: the creation may have taken effect, which its nonce shows. */
function verifyClaim(world: World, request: Request, run: Run, {result: created}: StoreReply) {
	startStoreOperation(world, {kind: 'get', key: getRunKey(request)}, reply => {
		if (!isStillClaiming(world, request, run)) {
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
			returnUnusedPermit(world, request);
			resolveDuplicate(world, request, result);
			return;
		}

		// After a lost answer the nonce is still set, so the refusal also deletes the record if its creation takes effect later.
		refuseStoreUnavailable(world, request);
	});
}

/** Polls the run records for which duplicates wait. */
export function duplicatesSystem(world: World) {
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
	const ended = findPendingEnd(world, getRunKey(request));
	if (ended) {
		answerFromRun(world, request, ended);
		return;
	}

	startStoreOperation(world, {kind: 'get', key: getRunKey(request)}, ({result}) => {
		if (!isInState(world, request, RequestState.AwaitingDuplicate)) {
			return;
		}

		if (result.kind === 'ok') {
			resolveDuplicate(world, request, result);
		} else if (result.kind === 'absent') {
			enqueue(world, request);
		}
	});
}

/** Refuses a request while a run with its idempotency key is in progress. */
export function refuseRunInProgress(world: World, request: Request) {
	refuse(world, request, {
		kind: RefusalKind.RunInProgress, outcome: Outcome.Unknown, detail: '', retryAfterMs: second,
	});
}
