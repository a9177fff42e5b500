/*
Run records of requests that may run at most once. The record is created, conditionally and with this router's nonce,
before the first byte of the request leaves; its end holds the outcome and a small answer. The same key at any router
finds the record and gets the same answer or a truthful "unknown". See docs/design/at-most-once.md.

Object `run/WORKSPACE/KEY`: JSON of `Run`, below.
*/
import {AttemptEnd} from '../messages.ts';
import {LogPart} from '../ports.ts';
import {Outcome, RefusalKind} from '../refusal.ts';
import {RequestState, type Request} from '../rows.ts';
import {second} from '../units.ts';
import {
	due, log, nonce, store, type StoreReply, type World,
} from '../world.ts';
import {
	enqueue, giveBack, refuse, startAnswer,
} from './requests.ts';

type Run = {
	nonce: string;
	/** Router and incarnation that runs the request. */
	router: string;
	incarnation: string;
	/** Undefined while it runs. */
	outcome?: Outcome;
	/** Whole answer, when it was small enough to keep. */
	answer?: string;
};

function keyOf(request: Request): string {
	return `run/${encodeURIComponent(request.workspace)}/${encodeURIComponent(request.idempotencyKey)}`;
}

function parseRun(value: string): Run | undefined {
	try {
		return JSON.parse(value) as Run;
	} catch {
		return undefined;
	}
}

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
	request.state = RequestState.Checking;
	store(world, {kind: 'get', key: keyOf(request)}, reply => {
		if (isHere(world, request, RequestState.Checking)) {
			onChecked(world, request, reply);
		}
	});
}

function onChecked(world: World, request: Request, {result}: StoreReply) {
	if (result.kind === 'absent') {
		enqueue(world, request);
		return;
	}

	if (result.kind === 'ok') {
		follow(world, request, result.value);
		return;
	}

	refuseForStore(world, request);
}

/** Answers from a run record, or waits while the run goes on. */
function follow(world: World, request: Request, value: string) {
	const run = parseRun(value);
	if (run?.outcome === Outcome.Ran) {
		answerFromRun(world, request, run);
		return;
	}

	const runner = run ? world.members.get(run.router) : undefined;
	const isRunning = run && run.outcome === undefined && runner?.incarnation === run.incarnation;
	if (!isRunning) {
		refuse(world, request, {kind: RefusalKind.RunOutcomeUnknown, outcome: Outcome.Unknown, detail: ''});
		return;
	}

	request.state = RequestState.Following;
}

function answerFromRun(world: World, request: Request, run: Run) {
	if (run.answer === undefined) {
		refuse(world, request, {kind: RefusalKind.AnswerNotKept, outcome: Outcome.Ran, detail: ''});
		return;
	}

	world.requests.delete(request.id);
	world.outbox.push({kind: 'replay', request: request.id, answer: run.answer});
}

/** Creates the run record of a request that has a permit; the answer starts only once the record is surely there. */
export function claimRun(world: World, request: Request) {
	if (request.runNonce !== '') {
		// An earlier attempt didn't leave; its record stands.
		startAnswer(world, request);
		return;
	}

	request.state = RequestState.Claiming;
	const run: Run = {nonce: nonce(world), router: world.self.id, incarnation: world.self.incarnation};
	store(world, {
		kind: 'put', key: keyOf(request), value: JSON.stringify(run), ifVersion: 0,
	}, reply => {
		onClaimed(world, request, run, reply);
	});
}

type ClaimHandler = (world: World, request: Request, run: Run, reply: StoreReply) => void;

const claimHandlers: Record<StoreReply['result']['kind'], ClaimHandler> = {
	ok(world, request, run, {result}) {
		request.runNonce = run.nonce;
		request.runVersion = result.kind === 'ok' ? result.version : 0;
		startAnswer(world, request);
	},
	conflict: recheckClaim,
	unknown: recheckClaim,
	absent: giveUpClaim,
	unavailable: giveUpClaim,
};

function onClaimed(world: World, request: Request, run: Run, reply: StoreReply) {
	claimHandlers[reply.result.kind](world, request, run, reply);
}

function giveUpClaim(world: World, request: Request) {
	giveBack(world, request, AttemptEnd.Unused);
	refuseForStore(world, request);
}

/** Reads the record again after a lost answer or a conflict: it may be this router's own. */
function recheckClaim(world: World, request: Request, run: Run) {
	store(world, {kind: 'get', key: keyOf(request)}, reply => {
		const {result} = reply;
		if (result.kind === 'ok' && parseRun(result.value)?.nonce === run.nonce) {
			claimHandlers.ok(world, request, run, reply);
			return;
		}

		if (result.kind === 'ok') {
			giveBack(world, request, AttemptEnd.Unused);
			follow(world, request, result.value);
			return;
		}

		// The put may still take effect, but nothing has left: whoever finds the record without an end says "unknown".
		giveUpClaim(world, request);
	});
}

/** Writes the end of a run. A lost write leaves the record without an end, which reads as "unknown". */
export function endRun(world: World, request: Request, outcome: Outcome, answer?: string) {
	const isKept = answer !== undefined && answer.length <= world.limits.keptAnswerBytes;
	const run: Run = {
		nonce: request.runNonce,
		router: world.self.id,
		incarnation: world.self.incarnation,
		outcome,
		...(isKept && {answer}),
	};
	putEnd(world, request, JSON.stringify(run), 3);
}

function putEnd(world: World, request: Request, value: string, tries: number) {
	store(world, {
		kind: 'put', key: keyOf(request), value, ifVersion: request.runVersion,
	}, ({result}) => {
		if (result.kind === 'ok' || result.kind === 'conflict') {
			return;
		}

		if (tries > 0) {
			putEnd(world, request, value, tries - 1);
			return;
		}

		log(world, LogPart.Run, `the end of run ${request.id} could not be written`, 'error');
	});
}

/** Removes the record of a request that never left for a target, so that its key can be used again. */
export function dropRun(world: World, request: Request) {
	if (request.runNonce !== '') {
		store(world, {kind: 'delete', key: keyOf(request), ifVersion: request.runVersion}, () => {
			// A record that stays reads as "unknown", never as a second run.
		});
	}
}

/** Looks at the records of requests that wait for a duplicate. */
export function runsSystem(world: World) {
	if (!due(world, 'runs', world.limits.runPollMs)) {
		return;
	}

	for (const request of world.requests.rows()) {
		if (request.state === RequestState.Following) {
			pollRun(world, request);
		}
	}
}

function pollRun(world: World, request: Request) {
	if (request.deadline <= world.now) {
		refuse(world, request, {
			kind: RefusalKind.RunInProgress, outcome: Outcome.Unknown, detail: '', retryAfterMs: second,
		});
		return;
	}

	store(world, {kind: 'get', key: keyOf(request)}, ({result}) => {
		if (!isHere(world, request, RequestState.Following)) {
			return;
		}

		if (result.kind === 'ok') {
			follow(world, request, result.value);
		} else if (result.kind === 'absent') {
			enqueue(world, request);
		}
	});
}
