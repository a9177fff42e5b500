/*
Run records in the Object API, and pending writes to them: ends of runs, and deletions of records whose request was never
sent to a target. A write is retried with exponential backoff until it is known to have taken effect, also through a long
outage; a planned stop waits for it. docs/design/at-most-once.md explains why this keeps runs at most once.

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
	/** Undefined while the request runs. */
	outcome?: Outcome;
	/** Complete answer; undefined when it was too large to store. */
	answer?: string;
};

/** Initial and maximum pause between two attempts of a write, in milliseconds. */
const initialBackoffMs = 100;
const maxBackoffMs = 5 * second;

/** Time in which a creation that got no answer may still take effect, in milliseconds. */
const unconfirmedCreationMs = 30 * second;

/** Number of attempts after which a pending write is logged. */
const attemptsBeforeLog = 5;

/** Returns the key of the run record of a request. */
export function getRunKey({workspace, idempotencyKey}: Request): string {
	return `run/${encodeURIComponent(workspace)}/${encodeURIComponent(idempotencyKey)}`;
}

/** Parses a stored run record; returns undefined when the value isn't JSON. Never throws. */
export function parseRun(value: string): Run | undefined {
	try {
		return JSON.parse(value) as Run;
	} catch {
		return undefined;
	}
}

function startWrite(world: World, write: Pick<RunWrite, 'key' | 'nonce' | 'kind' | 'value' | 'version'>) {
	const row: RunWrite = {
		...write, attempts: 0, isInFlight: false, retryAt: world.now, giveUpAt: world.now + unconfirmedCreationMs,
	};
	world.runWrites.set(row);
	attemptWrite(world, row);
}

/** Writes the end of the run of a request, with its answer if that is small enough to store. */
export function recordRunEnd(world: World, request: Request, outcome: Outcome, answer?: string) {
	const isStored = answer !== undefined && answer.length <= world.limits.maxStoredAnswerBytes;
	const run: Run = {
		nonce: request.runNonce,
		router: world.self.id,
		incarnation: world.self.incarnation,
		outcome,
		...(isStored && {answer}),
	};
	startWrite(world, {
		key: getRunKey(request), nonce: request.runNonce, kind: RunWriteKind.End, value: JSON.stringify(run), version: request.runVersion,
	});
}

/** Deletes the record of a request that was never sent to a target, so that its idempotency key can be used again. */
export function deleteRunRecord(world: World, request: Request) {
	startWrite(world, {
		key: getRunKey(request), nonce: request.runNonce, kind: RunWriteKind.Delete, value: '', version: request.runVersion,
	});
	request.runNonce = '';
	request.runVersion = 0;
}

/** Deletes a record that this incarnation created for a request that no longer exists. */
export function deleteOrphanRecord(world: World, request: Request, run: Run, version: number) {
	startWrite(world, {
		key: getRunKey(request), nonce: run.nonce, kind: RunWriteKind.Delete, value: '', version,
	});
}

/**
Applies the late reply to a creation whose request has ended: the pending deletion then knows whether the record
exists.
*/
export function applyLateCreation(world: World, runNonce: string, {result}: StoreReply) {
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

/** Finds the end of a run that this router has not managed to write yet; undefined when there is none for the key. */
export function findPendingEnd(world: World, key: string): Run | undefined {
	for (const write of world.runWrites.rows()) {
		if (write.key === key && write.kind === RunWriteKind.End) {
			return parseRun(write.value);
		}
	}

	return undefined;
}

/** Whether a record of this router still has a request or a pending write here. */
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

function attemptWrite(world: World, write: RunWrite) {
	write.isInFlight = true;
	write.attempts += 1;
	writeHandlers[write.kind](world, write);
}

const writeHandlers: Record<RunWriteKind, (world: World, write: RunWrite) => void> = {
	[RunWriteKind.End](world, write) {
		const {key, value, version} = write;
		startStoreOperation(world, {
			kind: 'put', key, value, ifVersion: version,
		}, ({result}) => {
			applyWriteResult(world, write, result.kind);
		});
	},
	[RunWriteKind.Delete](world, write) {
		if (write.version === 0) {
			readUnconfirmedRecord(world, write);
			return;
		}

		startStoreOperation(world, {kind: 'delete', key: write.key, ifVersion: write.version}, ({result}) => {
			applyWriteResult(world, write, result.kind);
		});
	},
};

/** Reads a record whose creation got no answer, and deletes it when it exists. An absent record may still appear. */
function readUnconfirmedRecord(world: World, write: RunWrite) {
	startStoreOperation(world, {kind: 'get', key: write.key}, ({result}) => {
		if (result.kind === 'ok' && parseRun(result.value)?.nonce === write.nonce) {
			write.version = result.version;
			attemptWrite(world, write);
			return;
		}

		const mayAppear = result.kind !== 'ok' && !(result.kind === 'absent' && world.now >= write.giveUpAt);
		applyWriteResult(world, write, mayAppear ? 'unknown' : 'ok');
	});
}

/**
Completes a write or schedules its next attempt. A conflict or an absent record completes it too: either an earlier attempt
took effect, or another router closed the record.
*/
function applyWriteResult(world: World, write: RunWrite, result: StoreReply['result']['kind']) {
	write.isInFlight = false;
	if (result !== 'unknown' && result !== 'unavailable') {
		world.runWrites.delete(write.nonce);
		return;
	}

	const pauseMs = Math.min(maxBackoffMs, initialBackoffMs * (2 ** (write.attempts - 1)));
	write.retryAt = world.now + (pauseMs * (0.5 + (randomFraction(world) / 2)));
	if (write.attempts === attemptsBeforeLog) {
		log(world, LogPart.Run, `run record ${write.key} still not written after several attempts; retrying until the Object API answers`, 'warn');
	}
}

/** Retries pending writes that are due. */
export function runWritesSystem(world: World) {
	for (const write of world.runWrites.rows()) {
		if (!write.isInFlight && write.retryAt <= world.now) {
			attemptWrite(world, write);
		}
	}
}
