/*
Run records in the Object API, and the writes to them that must still be done: ends of runs, and removals of records
whose request never left for a target. A write is tried with growing pauses until it is known to be done, also through a
long outage; a planned stop waits for it. docs/design/at-most-once.md has the argument.

Object `run/WORKSPACE/KEY`: JSON of `Run`, below.
*/
import {LogPart} from '../../ports.ts';
import type {Outcome} from '../../refusal.ts';
import {RunWriteKind, type Request, type RunWrite} from '../../rows.ts';
import {second} from '../../units.ts';
import {
	log, randomFraction, startStoreOperation, type StoreReply, type World,
} from '../../world.ts';

/** Value of `run/WORKSPACE/KEY`. */
export type Run = {
	nonce: string;
	/** Router and incarnation that runs the request. */
	router: string;
	incarnation: string;
	/** Undefined while it runs. */
	outcome?: Outcome;
	/** Whole answer, when it was small enough to keep. */
	answer?: string;
};

/** First and longest pause between two tries of a write, in milliseconds. */
const firstPauseMs = 100;
const longestPauseMs = 5 * second;

/** Time in which a creation that got no answer may still take effect, in milliseconds. */
const lateEffectMs = 30 * second;

/** Tries after which the log tells of a write that isn't done. */
const triesBeforeLog = 5;

/** Key of the run record of a request. */
export function runKey({workspace, idempotencyKey}: Request): string {
	return `run/${encodeURIComponent(workspace)}/${encodeURIComponent(idempotencyKey)}`;
}

/** Reads a stored run record; undefined when it isn't one. Never throws. */
export function parseRun(value: string): Run | undefined {
	try {
		return JSON.parse(value) as Run;
	} catch {
		return undefined;
	}
}

function addWrite(world: World, write: Pick<RunWrite, 'key' | 'nonce' | 'kind' | 'value' | 'version'>) {
	const row: RunWrite = {
		...write, attempts: 0, isInFlight: false, retryAt: world.now, giveUpAt: world.now + lateEffectMs,
	};
	world.runWrites.set(row);
	tryWrite(world, row);
}

/** Writes the end of the run of a request, with its answer if that is small enough to keep. */
export function endRun(world: World, request: Request, outcome: Outcome, answer?: string) {
	const isKept = answer !== undefined && answer.length <= world.limits.maxStoredAnswerBytes;
	const run: Run = {
		nonce: request.runNonce,
		router: world.self.id,
		incarnation: world.self.incarnation,
		outcome,
		...(isKept && {answer}),
	};
	addWrite(world, {
		key: runKey(request), nonce: request.runNonce, kind: RunWriteKind.End, value: JSON.stringify(run), version: request.runVersion,
	});
}

/** Removes the record of a request of which nothing left for a target, so that its key can be used again. */
export function dropRun(world: World, request: Request) {
	addWrite(world, {
		key: runKey(request), nonce: request.runNonce, kind: RunWriteKind.Delete, value: '', version: request.runVersion,
	});
	request.runNonce = '';
	request.runVersion = 0;
}

/** Removes a record of this incarnation that stands for no request. */
export function dropOrphan(world: World, request: Request, run: Run, version: number) {
	addWrite(world, {
		key: runKey(request), nonce: run.nonce, kind: RunWriteKind.Delete, value: '', version,
	});
}

/** Takes the late result of a creation whose request was given up meanwhile. */
export function settleDrop(world: World, runNonce: string, {result}: StoreReply) {
	const write = world.runWrites.get(runNonce);
	if (write?.kind !== RunWriteKind.Delete || write.version !== 0) {
		return;
	}

	if (result.kind === 'ok') {
		write.version = result.version;
		write.retryAt = world.now;
	} else if (result.kind !== 'unknown') {
		world.runWrites.delete(runNonce);
	}
}

/** The end of a run of this router that is still to be written; undefined when there is none for the key. */
export function unwrittenEnd(world: World, key: string): Run | undefined {
	for (const write of world.runWrites.rows()) {
		if (write.key === key && write.kind === RunWriteKind.End) {
			return parseRun(write.value);
		}
	}

	return undefined;
}

/** Whether this router still has something to do with a record that it wrote. */
export function isKnownRun(world: World, runNonce: string): boolean {
	if (world.runWrites.has(runNonce)) {
		return true;
	}

	for (const request of world.requests.rows()) {
		if (request.runNonce === runNonce) {
			return true;
		}
	}

	return false;
}

function tryWrite(world: World, write: RunWrite) {
	write.isInFlight = true;
	write.attempts += 1;
	writers[write.kind](world, write);
}

const writers: Record<RunWriteKind, (world: World, write: RunWrite) => void> = {
	[RunWriteKind.End](world, write) {
		const {key, value, version} = write;
		startStoreOperation(world, {
			kind: 'put', key, value, ifVersion: version,
		}, ({result}) => {
			settle(world, write, result.kind);
		});
	},
	[RunWriteKind.Delete](world, write) {
		if (write.version === 0) {
			findRecord(world, write);
			return;
		}

		startStoreOperation(world, {kind: 'delete', key: write.key, ifVersion: write.version}, ({result}) => {
			settle(world, write, result.kind);
		});
	},
};

/** Looks for a record whose creation got no answer: it may still appear. */
function findRecord(world: World, write: RunWrite) {
	startStoreOperation(world, {kind: 'get', key: write.key}, ({result}) => {
		if (result.kind === 'ok' && parseRun(result.value)?.nonce === write.nonce) {
			write.version = result.version;
			tryWrite(world, write);
			return;
		}

		const mayAppear = result.kind !== 'ok' && !(result.kind === 'absent' && world.now >= write.giveUpAt);
		settle(world, write, mayAppear ? 'unknown' : 'ok');
	});
}

/** A conflict or an absent record shows that an earlier try took effect, or that another router closed the record. */
function settle(world: World, write: RunWrite, result: StoreReply['result']['kind']) {
	write.isInFlight = false;
	if (result !== 'unknown' && result !== 'unavailable') {
		world.runWrites.delete(write.nonce);
		return;
	}

	const pauseMs = Math.min(longestPauseMs, firstPauseMs * (2 ** (write.attempts - 1)));
	write.retryAt = world.now + (pauseMs * (0.5 + (randomFraction(world) / 2)));
	if (write.attempts === triesBeforeLog) {
		log(world, LogPart.Run, `the record ${write.key} can't be written; it is tried until the Object API answers`, 'warn');
	}
}

/** Tries again what is due. */
export function runWritesSystem(world: World) {
	for (const write of world.runWrites.rows()) {
		if (!write.isInFlight && write.retryAt <= world.now) {
			tryWrite(world, write);
		}
	}
}
